#include "ReleaseNotes/ServiceConfig.h"

#include "Documents/JsonParsing.h"

#include <nlohmann/json.hpp>

namespace cicadawind {

const TargetConfig *ServiceConfig::findTarget(const std::string &Database,
                                              const std::string &Target) const {
  auto Db = Databases.find(Database);
  if (Db == Databases.end())
    return nullptr;
  auto It = Db->second.Targets.find(Target);
  return It == Db->second.Targets.end() ? nullptr : &It->second;
}

std::string encodeConfig(const ServiceConfig &Config) {
  nlohmann::json Databases = nlohmann::json::array();
  for (const auto &[Name, Database] : Config.Databases) {
    nlohmann::json Targets = nlohmann::json::array();
    for (const auto &[TargetName, T] : Database.Targets)
      Targets.push_back({{"name", T.Name},
                         {"address", T.Address},
                         {"failure_domain", T.FailureDomain},
                         {"region", T.Region},
                         {"slots", T.Slots},
                         {"connections", T.Connections},
                         {"leaving", T.Leaving}});
    Databases.push_back(
        {{"name", Name},
         {"staleness_allowance_ms", Database.StalenessAllowance.count()},
         {"targets", std::move(Targets)}});
  }
  const LimitsConfig &L = Config.Limits;
  nlohmann::json Json{{"number", Config.Number},
                      {"databases", std::move(Databases)},
                      {"withdrawn_vms", Config.WithdrawnVms},
                      {"limits",
                       {{"max_deadline_ms", L.MaxDeadline.count()},
                        {"idle_transaction_ms", L.IdleTransaction.count()},
                        {"drain_limit_ms", L.DrainLimit.count()},
                        {"queue_limit", L.QueueLimit}}}};
  return Json.dump();
}

Result<ServiceConfig> decodeConfig(const std::string &Text) {
  try {
    nlohmann::json Json = parseJson(Text);
    ServiceConfig Config;
    Json.at("number").get_to(Config.Number);
    Json.at("withdrawn_vms").get_to(Config.WithdrawnVms);
    for (const nlohmann::json &Row : Json.at("databases")) {
      DatabaseConfig Database;
      Row.at("name").get_to(Database.Name);
      Database.StalenessAllowance =
          Millis(Row.at("staleness_allowance_ms").get<std::int64_t>());
      for (const nlohmann::json &Item : Row.at("targets")) {
        TargetConfig Target;
        Item.at("name").get_to(Target.Name);
        Item.at("address").get_to(Target.Address);
        Item.at("failure_domain").get_to(Target.FailureDomain);
        Item.at("region").get_to(Target.Region);
        Item.at("slots").get_to(Target.Slots);
        Item.at("connections").get_to(Target.Connections);
        Item.at("leaving").get_to(Target.Leaving);
        Database.Targets[Target.Name] = Target;
      }
      Config.Databases[Database.Name] = Database;
    }
    const nlohmann::json &L = Json.at("limits");
    auto Time = [&L](const char *Key) {
      return Millis(L.at(Key).get<std::int64_t>());
    };
    Config.Limits.MaxDeadline = Time("max_deadline_ms");
    Config.Limits.IdleTransaction = Time("idle_transaction_ms");
    Config.Limits.DrainLimit = Time("drain_limit_ms");
    L.at("queue_limit").get_to(Config.Limits.QueueLimit);
    return Config;
  } catch (const nlohmann::json::exception &E) {
    return Error{.Code = ErrorCode::BadRequest,
                 .Message = std::string("malformed snapshot: ") + E.what()};
  }
}

} // namespace cicadawind
