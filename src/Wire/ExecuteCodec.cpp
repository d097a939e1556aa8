#include "Documents/JsonParsing.h"
#include "Wire/ExecuteRequest.h"
#include "Wire/ExecuteResponse.h"

#include <nlohmann/json.hpp>

#include <array>
#include <string_view>
#include <utility>

namespace cicadawind {
namespace internal {

static constexpr std::array<std::pair<ExecuteAction, std::string_view>, 5>
    ActionNames{{{ExecuteAction::Statement, "statement"},
                 {ExecuteAction::Begin, "begin"},
                 {ExecuteAction::Commit, "commit"},
                 {ExecuteAction::Rollback, "rollback"},
                 {ExecuteAction::Confirm, "confirm"}}};

static nlohmann::json positionJson(LogPosition Position) {
  return nlohmann::json::array({Position.WrittenIn, Position.Index});
}

static LogPosition positionFrom(const nlohmann::json &Json) {
  return {.WrittenIn = Json.at(0).get<Term>(),
          .Index = Json.at(1).get<LogIndex>()};
}

static Millis millisFrom(const nlohmann::json &Json, const char *Key) {
  return Millis(Json.value(Key, std::int64_t{0}));
}

static nlohmann::json errorJson(const Error &E) {
  nlohmann::json Json{{"code", toString(E.Code)},
                      {"verdict", toString(E.Outcome)},
                      {"message", E.Message}};
  if (E.RetryAfter)
    Json["retry_after_ms"] = E.RetryAfter->count();
  return Json;
}

static Error errorFrom(const nlohmann::json &Json) {
  Error E;
  E.Code = parseErrorCode(Json.value("code", std::string()));
  E.Outcome = parseVerdict(Json.value("verdict", std::string()))
                  .value_or(Verdict::MayHaveRun);
  E.Message = Json.value("message", std::string());
  if (Json.contains("retry_after_ms"))
    E.RetryAfter = millisFrom(Json, "retry_after_ms");
  return E;
}

} // namespace internal

std::string encode(const ExecuteRequest &Request) {
  nlohmann::json Json{{"id", Request.Id},
                      {"database", Request.Database},
                      {"target", Request.Target},
                      {"caller", Request.Caller},
                      {"left_ms", Request.TimeLeft.count()},
                      {"known_term", Request.KnownTerm}};
  for (const auto &[Action, Name] : internal::ActionNames)
    if (Action == Request.Action)
      Json["action"] = Name;
  if (!Request.Statement.empty())
    Json["statement"] = Request.Statement;
  if (Request.Kind == StatementKind::Write)
    Json["write"] = true;
  if (!Request.IdempotencyKey.empty())
    Json["key"] = Request.IdempotencyKey;
  if (!Request.Transaction.empty())
    Json["transaction"] = Request.Transaction;
  if (Request.Constraints.AcceptedAge > Millis::zero())
    Json["accepted_age_ms"] = Request.Constraints.AcceptedAge.count();
  if (Request.Constraints.MinPosition != LogPosition())
    Json["at_least"] = internal::positionJson(Request.Constraints.MinPosition);
  return Json.dump();
}

Result<ExecuteRequest> decodeExecuteRequest(const std::string &Text) {
  try {
    nlohmann::json Json = parseJson(Text);
    ExecuteRequest Request;
    std::string Action = Json.at("action");
    for (const auto &[Value, Name] : internal::ActionNames)
      if (Name == Action)
        Request.Action = Value;
    Json.at("id").get_to(Request.Id);
    Json.at("database").get_to(Request.Database);
    Json.at("target").get_to(Request.Target);
    Json.at("caller").get_to(Request.Caller);
    Json.at("known_term").get_to(Request.KnownTerm);
    Request.TimeLeft = internal::millisFrom(Json, "left_ms");
    Request.Statement = Json.value("statement", std::string());
    Request.Kind =
        Json.value("write", false) ? StatementKind::Write : StatementKind::Read;
    Request.IdempotencyKey = Json.value("key", std::string());
    Request.Transaction = Json.value("transaction", std::string());
    Request.Constraints.AcceptedAge =
        internal::millisFrom(Json, "accepted_age_ms");
    if (Json.contains("at_least"))
      Request.Constraints.MinPosition =
          internal::positionFrom(Json.at("at_least"));
    return Request;
  } catch (const nlohmann::json::exception &E) {
    return Error{.Code = ErrorCode::BadRequest,
                 .Message = std::string("malformed request: ") + E.what()};
  }
}

std::string encode(const ExecuteResponse &Response) {
  nlohmann::json Json{{"handled_ms", Response.ProcessingTime.count()},
                      {"queued_ms", Response.Queued.count()},
                      {"term", Response.Hint.CurrentTerm},
                      {"primary", Response.Hint.Primary}};
  if (Response.EndsIn)
    Json["ends_in_ms"] = Response.EndsIn->count();
  if (Response.Failure) {
    Json["error"] = internal::errorJson(*Response.Failure);
    if (Response.FreshnessAge > Millis::zero()) {
      Json["position"] = internal::positionJson(Response.Position);
      Json["evidence_age_ms"] = Response.FreshnessAge.count();
    }
    return Json.dump();
  }
  Json["position"] = internal::positionJson(Response.Position);
  Json["from_primary"] = Response.FromPrimary;
  Json["evidence_age_ms"] = Response.FreshnessAge.count();
  Json["lease_ms"] = Response.LeaseLength.count();
  if (!Response.Transaction.empty())
    Json["transaction"] = Response.Transaction;
  // The rows are appended as raw text, so that large results are not parsed
  // and dumped again here.
  std::string Text = Json.dump();
  Text.pop_back();
  return Text + ",\"rows\":" + Response.Rows + "}";
}

ExecuteResponse decodeExecuteResponse(const std::string &Text) {
  ExecuteResponse Response;
  try {
    nlohmann::json Json = parseJson(Text);
    Response.ProcessingTime = internal::millisFrom(Json, "handled_ms");
    Response.Queued = internal::millisFrom(Json, "queued_ms");
    Json.at("term").get_to(Response.Hint.CurrentTerm);
    Json.at("primary").get_to(Response.Hint.Primary);
    if (Json.contains("ends_in_ms"))
      Response.EndsIn = internal::millisFrom(Json, "ends_in_ms");
    if (Json.contains("error")) {
      Response.Failure = internal::errorFrom(Json.at("error"));
      Response.FreshnessAge = internal::millisFrom(Json, "evidence_age_ms");
      if (Json.contains("position"))
        Response.Position = internal::positionFrom(Json.at("position"));
      return Response;
    }
    Response.Position = internal::positionFrom(Json.at("position"));
    Json.at("from_primary").get_to(Response.FromPrimary);
    Response.FreshnessAge = internal::millisFrom(Json, "evidence_age_ms");
    Response.LeaseLength = internal::millisFrom(Json, "lease_ms");
    Response.Transaction = Json.value("transaction", std::string());
    Response.Rows = Json.at("rows").dump();
  } catch (const nlohmann::json::exception &E) {
    Response.Failure =
        Error{.Code = ErrorCode::AnswerMismatch,
              .Outcome = Verdict::MayHaveRun,
              .Message = std::string("malformed answer: ") + E.what()};
  }
  return Response;
}

} // namespace cicadawind
