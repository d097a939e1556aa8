// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Targets/HttpTargetConnection.h"

#include "Documents/JsonParsing.h"

#include <nlohmann/json.hpp>

namespace cicadawind {
namespace internal {

static Error transportError(const HttpFailure &Failure) {
  Error E;
  E.Code = Failure.TimedOut ? ErrorCode::DeadlineExceeded
                            : ErrorCode::ConnectionLost;
  E.Outcome = Failure.MayHaveBeenSent ? Verdict::MayHaveRun : Verdict::NotRun;
  E.Message = Failure.Message;
  return E;
}

static Error targetError(const nlohmann::json &Json) {
  Error E;
  nlohmann::json Detail = Json.value("error", nlohmann::json::object());
  E.Code = parseErrorCode(Detail.value("code", std::string()));
  E.Message = Detail.value("message", std::string("the target failed"));
  E.Outcome = parseVerdict(Json.value("verdict", std::string()))
                  .value_or(Verdict::MayHaveRun);
  return E;
}

static Result<StatementReply> toReply(const Result<nlohmann::json> &ReplyJson) {
  if (const Error *E = errorOf(ReplyJson))
    return *E;
  const nlohmann::json &Json = valueOf(ReplyJson);
  StatementReply Reply;
  try {
    Reply.Rows = Json.at("rows").dump();
    Reply.Position = {.WrittenIn = Json.at("written_in").get<Term>(),
                      .Index = Json.at("index").get<LogIndex>()};
    Reply.ExecutedTerm = Json.at("term").get<Term>();
    Reply.Tainted = Json.value("tainted", false);
  } catch (const nlohmann::json::exception &E) {
    return Error{.Code = ErrorCode::AnswerMismatch,
                 .Outcome = Verdict::MayHaveRun,
                 .Message = std::string("malformed answer: ") + E.what()};
  }
  return Reply;
}

static Status toStatus(const Result<nlohmann::json> &ReplyJson) {
  if (const Error *E = errorOf(ReplyJson))
    return *E;
  return std::monostate();
}

} // namespace internal

HttpTargetConnection::HttpTargetConnection(boost::asio::io_context &Loop,
                                           std::string Address)
    : Link(Loop, std::move(Address)) {}

boost::asio::awaitable<Result<nlohmann::json>>
HttpTargetConnection::call(std::string Path, std::string Id,
                           nlohmann::json Body, Duration Timeout) {
  HttpRequest Request;
  Request.Path = std::move(Path);
  Body["id"] = Id;
  Request.Body = Body.dump();
  HttpResult Reply = co_await Link.call(std::move(Request), Timeout);
  if (const HttpFailure *Failure = std::get_if<HttpFailure>(&Reply))
    co_return internal::transportError(*Failure);
  const HttpResponse &Response = std::get<HttpResponse>(Reply);
  nlohmann::json Json = tryParseJson(Response.Body);
  bool IsOwnReply = Json.is_object() && Json.value("id", std::string()) == Id;
  if (!IsOwnReply) {
    // The reply is malformed or belongs to another request, so the outcome of
    // this one is unknown.
    Link.close();
    co_return Error{.Code = ErrorCode::AnswerMismatch,
                    .Outcome = Verdict::MayHaveRun,
                    .Message = "the answer belongs to another request"};
  }
  if (Response.Status != 200)
    co_return internal::targetError(Json);
  co_return Json;
}

boost::asio::awaitable<Status> HttpTargetConnection::open(Duration Timeout) {
  bool Connected = co_await Link.connect(Timeout);
  if (!Connected)
    co_return Error{.Code = ErrorCode::Unreachable,
                    .Message = "cannot connect to " + Link.address()};
  Result<nlohmann::json> Reply =
      co_await call("/v1/open", "open", nlohmann::json::object(), Timeout);
  Status Opened = internal::toStatus(Reply);
  if (const Error *E = errorOf(Opened)) {
    // No statement was sent on the connection, even if the target has opened
    // it.
    Error NotOpened = *E;
    NotOpened.Outcome = Verdict::NotRun;
    if (NotOpened.Code != ErrorCode::Overloaded)
      NotOpened.Code = ErrorCode::Unreachable;
    co_return NotOpened;
  }
  co_return std::monostate();
}

boost::asio::awaitable<Result<StatementReply>>
HttpTargetConnection::execute(StatementCall Call, Duration Timeout) {
  nlohmann::json Body{
      {"statement", Call.Text},
      {"kind", Call.Kind == StatementKind::Write ? "write" : "read"},
      {"term", Call.ExpectedTerm}};
  if (!Call.IdempotencyKey.empty())
    Body["key"] = Call.IdempotencyKey;
  Result<nlohmann::json> Reply = co_await call(
      "/v1/execute", std::move(Call.Id), std::move(Body), Timeout);
  co_return internal::toReply(Reply);
}

boost::asio::awaitable<Status> HttpTargetConnection::begin(std::string Id,
                                                           Term ExpectedTerm,
                                                           Duration Timeout) {
  nlohmann::json Body{{"term", ExpectedTerm}};
  Result<nlohmann::json> Reply =
      co_await call("/v1/begin", std::move(Id), std::move(Body), Timeout);
  co_return internal::toStatus(Reply);
}

boost::asio::awaitable<Result<StatementReply>>
HttpTargetConnection::commit(std::string Id, std::string IdempotencyKey,
                             Duration Timeout) {
  nlohmann::json Body = nlohmann::json::object();
  if (!IdempotencyKey.empty())
    Body["key"] = IdempotencyKey;
  Result<nlohmann::json> Reply =
      co_await call("/v1/commit", std::move(Id), std::move(Body), Timeout);
  co_return internal::toReply(Reply);
}

boost::asio::awaitable<Status> HttpTargetConnection::reset(std::string Id,
                                                           Duration Timeout) {
  Result<nlohmann::json> Reply = co_await call(
      "/v1/reset", std::move(Id), nlohmann::json::object(), Timeout);
  Status Done = internal::toStatus(Reply);
  if (errorOf(Done))
    Link.close();
  co_return Done;
}

} // namespace cicadawind
