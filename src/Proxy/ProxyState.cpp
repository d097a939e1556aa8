#include "Proxy/ProxyState.h"

#include "Documents/JsonParsing.h"

#include <nlohmann/json.hpp>

namespace cicadawind {
namespace internal {

using Json = nlohmann::json;

static Json toJson(const RouteConfig &Route) {
  return Json::array(
      {Route.Database, Route.Group, static_cast<int>(Route.Reads),
       Route.MaxStaleness.count(), Route.StatementTimeout.count(),
       Route.LatencyObjective.count(), Route.Priority, Route.Public});
}

static RouteConfig routeFrom(const Json &In) {
  RouteConfig Out;
  Out.Database = In.at(0).get<std::string>();
  Out.Group = In.at(1).get<std::string>();
  int Reads = In.at(2).get<int>();
  if (Reads < 0 || Reads > static_cast<int>(Consistency::ReadYourWrites))
    throw std::invalid_argument("unknown consistency");
  Out.Reads = static_cast<Consistency>(Reads);
  Out.MaxStaleness = Millis(In.at(3).get<std::int64_t>());
  Out.StatementTimeout = Millis(In.at(4).get<std::int64_t>());
  Out.LatencyObjective = Millis(In.at(5).get<std::int64_t>());
  Out.Priority = In.at(6).get<unsigned>();
  Out.Public = In.at(7).get<bool>();
  return Out;
}

static Json toJson(const ClientAccount &Account) {
  Json Out = Json::array({Account.Name, Account.Keys, Account.Priority});
  if (Account.Limit) {
    Out.push_back(Account.Limit->PerSecond);
    Out.push_back(Account.Limit->Burst);
  }
  return Out;
}

static ClientAccount accountFrom(const Json &In) {
  constexpr std::size_t SizeWithLimit = 5;
  ClientAccount Out;
  Out.Name = In.at(0).get<std::string>();
  Out.Keys = In.at(1).get<std::vector<std::string>>();
  Out.Priority = In.at(2).get<unsigned>();
  if (In.size() >= SizeWithLimit)
    Out.Limit = RateLimit{.PerSecond = In.at(3).get<double>(),
                          .Burst = In.at(4).get<double>()};
  return Out;
}

/// Stands for the age of a departure that nobody has heard of.
constexpr std::int64_t NoAge = -1;
/// Longest age that is accepted, so that no peer makes times overflow.
constexpr Millis MaxAge = std::chrono::hours(24 * 365);

/// Times are sent as ages, since the clocks of VMs differ.
static std::int64_t ageOf(const std::optional<TimePoint> &Since) {
  return Since ? toMillis(BootClock::now() - *Since).count() : NoAge;
}

static Json toJson(const TargetEntry &Entry) {
  return Json::array({Entry.Instance, Entry.Group, Entry.Address,
                      Entry.FailureDomain, Entry.Slots, Entry.Leaving,
                      Entry.ClaimsPrimary, Entry.Incarnation,
                      ageOf(Entry.LeavingSince)});
}

/// Returns the time at which something began that had the age \p In at
/// \p EncodedAt; empty if it has none.
static std::optional<TimePoint> beginOf(const Json &In, TimePoint EncodedAt) {
  std::int64_t Age = In.get<std::int64_t>();
  if (Age < NoAge || Age > MaxAge.count())
    throw std::invalid_argument("age of a departure out of range");
  if (Age == NoAge)
    return std::nullopt;
  return EncodedAt - Millis(Age);
}

static TargetEntry targetFrom(const Json &In, TimePoint EncodedAt) {
  TargetEntry Out;
  Out.Instance = In.at(0).get<std::string>();
  Out.Group = In.at(1).get<std::string>();
  Out.Address = In.at(2).get<std::string>();
  Out.FailureDomain = In.at(3).get<std::string>();
  Out.Slots = In.at(4).get<unsigned>();
  Out.Leaving = In.at(5).get<bool>();
  Out.ClaimsPrimary = In.at(6).get<bool>();
  Out.Incarnation = In.at(7).get<std::int64_t>();
  Out.LeavingSince = beginOf(In.at(8), EncodedAt);
  return Out;
}

static Json toJson(const CallerLimits &Limits) {
  return Json::array({Limits.MaxMessageBytes, Limits.IncompleteMessage.count(),
                      Limits.IdleSession.count(),
                      Limits.IdleTransaction.count()});
}

static CallerLimits limitsFrom(const Json &In) {
  CallerLimits Out;
  Out.MaxMessageBytes = In.at(0).get<std::size_t>();
  Out.IncompleteMessage = Millis(In.at(1).get<std::int64_t>());
  Out.IdleSession = Millis(In.at(2).get<std::int64_t>());
  Out.IdleTransaction = Millis(In.at(3).get<std::int64_t>());
  return Out;
}

/// A group without replicas to wait for, the usual one, is a plain number.
static Json toJson(const GroupLimits &Limits) {
  if (Limits.SynchronousReplicas == 0)
    return Limits.MaxConnections;
  return Json::array({Limits.MaxConnections, Limits.SynchronousReplicas});
}

static GroupLimits groupFrom(const Json &In) {
  if (!In.is_array())
    return {.MaxConnections = In.get<unsigned>()};
  return {.MaxConnections = In.at(0).get<unsigned>(),
          .SynchronousReplicas = In.at(1).get<unsigned>()};
}

static void addConfig(Json &Out, const ProxyConfig &Config) {
  Out["routes"] = Json::array();
  for (const auto &[Name, Route] : Config.Routes)
    Out["routes"].push_back(toJson(Route));
  Out["groups"] = Json::object();
  for (const auto &[Name, Limits] : Config.Groups)
    Out["groups"][Name] = toJson(Limits);
  Out["limits"] = toJson(Config.Callers);
  if (!Config.Accounts.isEnabled())
    return;
  Out["accounts"] = Json::array();
  for (const ClientAccount &Account : Config.Accounts.accounts())
    Out["accounts"].push_back(toJson(Account));
}

static ProxyConfig configFrom(const Json &In) {
  ProxyConfig Out;
  Out.Version = In.at("version").get<std::uint64_t>();
  if (Out.Version == 0)
    return Out;
  for (const Json &Each : In.at("routes")) {
    RouteConfig Route = routeFrom(Each);
    Out.Routes[Route.Database] = Route;
  }
  for (const auto &[Name, Limits] : In.at("groups").items())
    Out.Groups[Name] = groupFrom(Limits);
  Out.Callers = limitsFrom(In.at("limits"));
  if (!In.contains("accounts"))
    return Out;
  Out.Accounts.enable();
  for (const Json &Each : In["accounts"])
    Out.Accounts.add(accountFrom(Each));
  return Out;
}

static ProxyState stateFrom(const Json &In, TimePoint EncodedAt) {
  ProxyState Out;
  Out.Config = configFrom(In);
  for (const Json &Each : In.at("targets"))
    Out.Targets.push_back(targetFrom(Each, EncodedAt));
  Out.TargetsRevision = In.at("targets_revision").get<std::uint64_t>();
  Out.TargetsHash = In.value("targets_hash", std::uint64_t{0});
  if (In.contains("base")) {
    Out.Base = In["base"].get<std::uint64_t>();
    Out.Removed = In.at("removed").get<std::vector<std::string>>();
  }
  return Out;
}

} // namespace internal

std::string encodeState(const ProxyState &State) {
  internal::Json Out;
  Out["version"] = State.Config.Version;
  Out["targets"] = internal::Json::array();
  for (const TargetEntry &Entry : State.Targets)
    Out["targets"].push_back(internal::toJson(Entry));
  Out["targets_revision"] = State.TargetsRevision;
  Out["targets_hash"] = State.TargetsHash;
  if (State.Base) {
    Out["base"] = *State.Base;
    Out["removed"] = State.Removed;
  }
  if (State.Config.Version != 0)
    internal::addConfig(Out, State.Config);
  std::string Bytes;
  internal::Json::to_cbor(Out, Bytes);
  return Bytes;
}

std::string encodeDepartures(const std::vector<TargetDeparture> &Departures,
                             TimePoint Now) {
  internal::Json Out = internal::Json::array();
  for (const TargetDeparture &Each : Departures)
    Out.push_back(
        {Each.Instance, Each.Incarnation, toMillis(Now - Each.Since).count()});
  std::string Bytes;
  internal::Json::to_cbor(Out, Bytes);
  return Bytes;
}

Result<std::vector<TargetDeparture>> decodeDepartures(const std::string &Bytes,
                                                      TimePoint EncodedAt) {
  try {
    std::vector<TargetDeparture> Out;
    for (const internal::Json &Each : parseCbor(Bytes))
      if (auto Since = internal::beginOf(Each.at(2), EncodedAt))
        Out.push_back({.Instance = Each.at(0).get<std::string>(),
                       .Incarnation = Each.at(1).get<std::int64_t>(),
                       .Since = *Since});
    return Out;
  } catch (const std::exception &E) {
    return Error{.Code = ErrorCode::BadRequest,
                 .Message = std::string("malformed departures: ") + E.what()};
  }
}

Result<ProxyState> decodeState(const std::string &Bytes, TimePoint EncodedAt) {
  try {
    return internal::stateFrom(parseCbor(Bytes), EncodedAt);
  } catch (const std::exception &E) {
    return Error{.Code = ErrorCode::BadRequest,
                 .Message = std::string("malformed state: ") + E.what()};
  }
}

} // namespace cicadawind
