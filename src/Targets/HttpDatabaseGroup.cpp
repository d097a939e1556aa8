// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Targets/HttpDatabaseGroup.h"

#include "Documents/JsonParsing.h"
#include "Http/HttpClient.h"
#include "Targets/HttpTargetConnection.h"
#include "Targets/ReportCodec.h"

namespace cicadawind {

HttpDatabaseGroup::HttpDatabaseGroup(boost::asio::io_context &Loop,
                                     HttpClient &Http)
    : Loop(Loop), Http(Http) {}

boost::asio::awaitable<Result<std::unique_ptr<TargetConnection>>>
HttpDatabaseGroup::open(std::string Address, Duration Timeout) {
  auto Link = std::make_unique<HttpTargetConnection>(Loop, std::move(Address));
  Status Opened = co_await Link->open(Timeout);
  if (const Error *E = errorOf(Opened))
    co_return *E;
  co_return std::unique_ptr<TargetConnection>(std::move(Link));
}

boost::asio::awaitable<Result<InstanceReport>>
HttpDatabaseGroup::sendControlRequest(std::string Address, std::string Path,
                                      std::string Body, Duration Timeout) {
  HttpRequest Request;
  Request.Path = std::move(Path);
  Request.Body = std::move(Body);
  HttpResult Reply =
      co_await Http.call(std::move(Address), std::move(Request), Timeout);
  if (const HttpFailure *Failure = std::get_if<HttpFailure>(&Reply))
    co_return Error{.Code = ErrorCode::Unreachable,
                    .Message = Failure->Message};
  const HttpResponse &Response = std::get<HttpResponse>(Reply);
  if (Response.Status != 200)
    co_return Error{.Code = ErrorCode::Unreachable,
                    .Message = "the target answered " +
                               std::to_string(Response.Status)};
  try {
    co_return reportFrom(parseJson(Response.Body));
  } catch (const nlohmann::json::exception &E) {
    co_return Error{.Code = ErrorCode::AnswerMismatch, .Message = E.what()};
  }
}

boost::asio::awaitable<Result<InstanceReport>>
HttpDatabaseGroup::report(std::string Address, LogIndex After, Duration Wait,
                          Duration Timeout) {
  nlohmann::json Body{{"after", After}, {"wait_ms", toMillis(Wait).count()}};
  co_return co_await sendControlRequest(std::move(Address), "/v1/report",
                                        Body.dump(), Timeout);
}

boost::asio::awaitable<Result<InstanceReport>>
HttpDatabaseGroup::fence(std::string Address, Term NewTerm, Duration Timeout) {
  nlohmann::json Body{{"term", NewTerm}};
  co_return co_await sendControlRequest(std::move(Address), "/v1/fence",
                                        Body.dump(), Timeout);
}

boost::asio::awaitable<Result<InstanceReport>>
HttpDatabaseGroup::promote(std::string Address, Term NewTerm,
                           Duration Timeout) {
  nlohmann::json Body{{"term", NewTerm}};
  co_return co_await sendControlRequest(std::move(Address), "/v1/promote",
                                        Body.dump(), Timeout);
}

boost::asio::awaitable<Result<InstanceReport>>
HttpDatabaseGroup::follow(std::string Address, Term NewTerm,
                          std::string Primary, std::string PrimaryAddress,
                          LogIndex LastIndex, Duration Timeout) {
  nlohmann::json Body{{"term", NewTerm},
                      {"primary", Primary},
                      {"primary_address", PrimaryAddress},
                      {"last_index", LastIndex}};
  co_return co_await sendControlRequest(std::move(Address), "/v1/follow",
                                        Body.dump(), Timeout);
}

} // namespace cicadawind
