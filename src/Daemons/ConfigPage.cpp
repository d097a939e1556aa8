#include "Daemons/ConfigPage.h"

#include "Config/KeyDigest.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <random>
#include <stdexcept>
#include <utility>

namespace cicadawind {

const char *const ConfigPagePath = "/configuration";

namespace internal {

using Json = nlohmann::json;

static const char *nameOf(Consistency Reads) {
  switch (Reads) {
  case Consistency::Latest:
    return "latest";
  case Consistency::BoundedStaleness:
    return "bounded_staleness";
  case Consistency::ReadYourWrites:
    return "read_your_writes";
  }
  return "unknown";
}

static Consistency consistencyOf(const std::string &Name) {
  for (Consistency Each : {Consistency::Latest, Consistency::BoundedStaleness,
                           Consistency::ReadYourWrites})
    if (Name == nameOf(Each))
      return Each;
  throw std::invalid_argument("unknown consistency");
}

static Json toJson(const RouteConfig &Route) {
  return {{"database", Route.Database},
          {"group", Route.Group},
          {"reads", nameOf(Route.Reads)},
          {"max_staleness_ms", Route.MaxStaleness.count()},
          {"statement_timeout_ms", Route.StatementTimeout.count()},
          {"latency_objective_ms", Route.LatencyObjective.count()},
          {"priority", Route.Priority},
          {"public", Route.Public}};
}

static Millis millisOf(const Json &In, const char *Key) {
  return Millis(In.at(Key).get<std::int64_t>());
}

static RouteConfig routeFrom(const Json &In) {
  RouteConfig Out;
  Out.Database = In.at("database").get<std::string>();
  Out.Group = In.at("group").get<std::string>();
  Out.Reads = consistencyOf(In.at("reads").get<std::string>());
  Out.MaxStaleness = millisOf(In, "max_staleness_ms");
  Out.StatementTimeout = millisOf(In, "statement_timeout_ms");
  Out.LatencyObjective = millisOf(In, "latency_objective_ms");
  Out.Priority = In.at("priority").get<unsigned>();
  Out.Public = In.at("public").get<bool>();
  return Out;
}

static Json toJson(const CallerLimits &Limits) {
  return {{"max_message_bytes", Limits.MaxMessageBytes},
          {"incomplete_message_ms", Limits.IncompleteMessage.count()},
          {"idle_session_ms", Limits.IdleSession.count()},
          {"idle_transaction_ms", Limits.IdleTransaction.count()}};
}

static CallerLimits limitsFrom(const Json &In) {
  CallerLimits Out;
  Out.MaxMessageBytes = In.at("max_message_bytes").get<std::size_t>();
  Out.IncompleteMessage = millisOf(In, "incomplete_message_ms");
  Out.IdleSession = millisOf(In, "idle_session_ms");
  Out.IdleTransaction = millisOf(In, "idle_transaction_ms");
  return Out;
}

static Json toJson(const ClientAccount &Account) {
  Json Out{{"account", Account.Name},
           {"key_digests", Account.Keys},
           {"priority", Account.Priority}};
  if (Account.Limit) {
    Out["per_second"] = Account.Limit->PerSecond;
    Out["burst"] = Account.Limit->Burst;
  }
  return Out;
}

static ClientAccount accountFrom(const Json &In) {
  ClientAccount Out;
  Out.Name = In.at("account").get<std::string>();
  Out.Keys = In.at("key_digests").get<std::vector<std::string>>();
  Out.Priority = In.at("priority").get<unsigned>();
  if (In.contains("per_second"))
    Out.Limit = RateLimit{.PerSecond = In["per_second"].get<double>(),
                          .Burst = In.at("burst").get<double>()};
  return Out;
}

/// Returns the accounts of \p Config; null if it does not tell them apart.
static Json accountsOf(const ProxyConfig &Config) {
  if (!Config.Accounts.isEnabled())
    return nullptr;
  Json Out = Json::array();
  for (const ClientAccount &Each : Config.Accounts.accounts())
    Out.push_back(toJson(Each));
  return Out;
}

static ConfigPage pageFrom(const Json &In) {
  ConfigPage Out;
  Out.Salt = In.at("key_salt").get<std::string>();
  Out.Config.Version = In.at("version").get<std::uint64_t>();
  for (const Json &Each : In.at("routes")) {
    RouteConfig Route = routeFrom(Each);
    Out.Config.Routes[Route.Database] = Route;
  }
  for (const Json &Each : In.at("groups"))
    Out.Config.Groups[Each.at("group").get<std::string>()] = {
        .MaxConnections = Each.at("max_connections").get<unsigned>(),
        .SynchronousReplicas = Each.value("synchronous_replicas", 0U)};
  Out.Config.Callers = limitsFrom(In.at("limits"));
  const Json &Accounts = In.at("accounts");
  if (Accounts.is_null())
    return Out;
  Out.Config.Accounts.enable();
  for (const Json &Each : Accounts)
    Out.Config.Accounts.add(accountFrom(Each));
  return Out;
}

} // namespace internal

std::string makeSalt() {
  std::random_device Device;
  return std::to_string(Device()) + "-" + std::to_string(Device());
}

nlohmann::json configPageOf(const ProxyConfig &Config,
                            const std::string &Salt) {
  ProxyConfig Shown = withKeyDigests(Config, Salt);
  internal::Json Routes = internal::Json::array();
  for (const auto &[Name, Route] : Shown.Routes)
    Routes.push_back(internal::toJson(Route));
  internal::Json Groups = internal::Json::array();
  for (const auto &[Name, Limits] : Shown.Groups)
    Groups.push_back({{"group", Name},
                      {"max_connections", Limits.MaxConnections},
                      {"synchronous_replicas", Limits.SynchronousReplicas}});
  return {{"version", Shown.Version},
          {"routes", std::move(Routes)},
          {"groups", std::move(Groups)},
          {"limits", internal::toJson(Shown.Callers)},
          {"accounts", internal::accountsOf(Shown)},
          {"key_salt", Salt}};
}

Result<ConfigPage> readConfigPage(const nlohmann::json &Page) {
  try {
    return internal::pageFrom(Page);
  } catch (const std::exception &E) {
    return Error{.Code = ErrorCode::BadRequest,
                 .Message =
                     std::string("not a page of a configuration: ") + E.what()};
  }
}

} // namespace cicadawind
