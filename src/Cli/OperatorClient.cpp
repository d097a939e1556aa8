// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Cli/OperatorClient.h"

#include "Documents/JsonParsing.h"
#include "Http/HttpClient.h"

#include <boost/asio.hpp>

namespace cicadawind {

class OperatorClient::Impl {
public:
  explicit Impl(Options NewOpts)
      : Opts(std::move(NewOpts)), Http(Loop, HttpClient::Options{}) {}

  HttpResult send(const std::string &Address, HttpRequest Request,
                  Duration Timeout) {
    HttpResult Result;
    Loop.restart();
    boost::asio::co_spawn(
        Loop,
        [&]() -> boost::asio::awaitable<void> {
          Result = co_await Http.call(Address, std::move(Request), Timeout);
        },
        boost::asio::detached);
    Loop.run();
    return Result;
  }

  Options Opts;
  boost::asio::io_context Loop{1};
  HttpClient Http;
};

OperatorClient::OperatorClient(Options Opts)
    : Self(std::make_unique<Impl>(std::move(Opts))) {}

OperatorClient::~OperatorClient() = default;

Result<nlohmann::json> OperatorClient::callAt(const std::string &Address,
                                              const std::string &Path,
                                              const nlohmann::json &Body,
                                              Duration Timeout) {
  HttpRequest Request;
  Request.Method = Body.is_null() ? "GET" : "POST";
  Request.Path = Path;
  Request.Headers["x-operator-key"] = Self->Opts.Key;
  if (!Body.is_null())
    Request.Body = Body.dump();
  HttpResult Answer = Self->send(Address, std::move(Request), Timeout);
  if (const HttpFailure *Failure = std::get_if<HttpFailure>(&Answer)) {
    Error E{.Code = ErrorCode::Unreachable, .Message = Failure->Message};
    if (Failure->MayHaveBeenSent)
      E.Outcome = Verdict::MayHaveRun;
    return E;
  }
  const HttpResponse &Response = std::get<HttpResponse>(Answer);
  nlohmann::json Json = tryParseJson(Response.Body);
  if (Response.Status == 200 && Json.is_object())
    return Json;
  Error E{.Code = ErrorCode::Internal, .Message = Response.Body};
  if (Json.is_object() && Json.contains("error")) {
    E.Code = parseErrorCode(Json["error"].value("code", std::string()));
    E.Message = Json["error"].value("message", std::string());
    E.Outcome = parseVerdict(Json.value("verdict", std::string()))
                    .value_or(Verdict::NotRun);
  }
  return E;
}

Result<nlohmann::json> OperatorClient::call(const std::string &Path,
                                            const nlohmann::json &Body) {
  Result<nlohmann::json> Last =
      Error{.Code = ErrorCode::Unreachable, .Message = "no daemon was given"};
  bool MayHaveRun = false;
  for (const std::string &Daemon : Self->Opts.Daemons) {
    Last = callAt(Daemon, Path, Body, Self->Opts.Timeout);
    const Error *E = errorOf(Last);
    if (!E || E->Code != ErrorCode::Unreachable)
      return Last;
    MayHaveRun |= E->Outcome == Verdict::MayHaveRun;
  }
  if (MayHaveRun)
    std::get<Error>(Last).Outcome = Verdict::MayHaveRun;
  return Last;
}

std::vector<std::pair<std::string, std::string>>
OperatorClient::addressesOf(const nlohmann::json &Members) {
  std::vector<std::pair<std::string, std::string>> Out;
  for (const nlohmann::json &Member : Members) {
    std::string Vm = Member.value("vm", std::string());
    Out.emplace_back(Vm + " router", Member.value("router", std::string()));
    Out.emplace_back(Vm + " pooler", Member.value("pooler", std::string()));
  }
  return Out;
}

} // namespace cicadawind
