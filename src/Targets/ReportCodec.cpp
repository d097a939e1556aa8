#include "Targets/ReportCodec.h"

namespace cicadawind {
namespace internal {

static nlohmann::json positionJson(LogPosition Position) {
  return nlohmann::json::array({Position.WrittenIn, Position.Index});
}

static LogPosition positionFrom(const nlohmann::json &Json) {
  return {.WrittenIn = Json.at(0).get<Term>(),
          .Index = Json.at(1).get<LogIndex>()};
}

} // namespace internal

nlohmann::json toJson(const InstanceReport &Report) {
  nlohmann::json Json{{"instance", Report.Instance},
                      {"promised", Report.PromisedTerm},
                      {"primary", Report.IsPrimary},
                      {"following", Report.ReplicatesFrom},
                      {"received", internal::positionJson(Report.Received)},
                      {"applied", internal::positionJson(Report.Applied)}};
  if (Report.SincePrimaryContact)
    Json["primary_heard_ms"] = Report.SincePrimaryContact->count();
  return Json;
}

InstanceReport reportFrom(const nlohmann::json &Json) {
  InstanceReport Report;
  Json.at("instance").get_to(Report.Instance);
  Json.at("promised").get_to(Report.PromisedTerm);
  Json.at("primary").get_to(Report.IsPrimary);
  Json.at("following").get_to(Report.ReplicatesFrom);
  Report.Received = internal::positionFrom(Json.at("received"));
  Report.Applied = internal::positionFrom(Json.at("applied"));
  if (Json.contains("primary_heard_ms"))
    Report.SincePrimaryContact =
        Millis(Json.at("primary_heard_ms").get<std::int64_t>());
  return Report;
}

} // namespace cicadawind
