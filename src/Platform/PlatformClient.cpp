// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Platform/PlatformClient.h"

#include "Documents/JsonParsing.h"
#include "Http/HttpClient.h"
#include "Membership/VmEntryCodec.h"

#include <nlohmann/json.hpp>

namespace cicadawind {
namespace internal {

/// Time that the response to a watch may take beyond the requested wait.
constexpr Duration WatchSlack = std::chrono::seconds(1);

static Error storeError(const std::string &Message) {
  return Error{.Code = ErrorCode::StoreUnavailable, .Message = Message};
}

static Result<StoredObject> decodeObject(const HttpResult &Result) {
  if (const HttpFailure *Failure = std::get_if<HttpFailure>(&Result))
    return storeError(Failure->Message);
  const HttpResponse &Response = std::get<HttpResponse>(Result);
  if (Response.Status == 404)
    return StoredObject();
  if (Response.Status != 200)
    return storeError("the platform answered " +
                      std::to_string(Response.Status));
  nlohmann::json Json = tryParseJson(Response.Body);
  bool IsObject = Json.is_object() && Json.contains("value") &&
                  Json.contains("version") && Json["value"].is_string() &&
                  Json["version"].is_number_unsigned();
  if (!IsObject)
    return storeError("the platform's answer is malformed");
  return StoredObject{.Value = Json["value"].get<std::string>(),
                      .Version = Json["version"].get<std::uint64_t>()};
}

static WriteResult decodeWriteResult(const HttpResult &Result) {
  if (const HttpFailure *Failure = std::get_if<HttpFailure>(&Result)) {
    WriteOutcome Outcome = Failure->MayHaveBeenSent ? WriteOutcome::Unknown
                                                    : WriteOutcome::NotWritten;
    return WriteResult{.Outcome = Outcome, .Message = Failure->Message};
  }
  const HttpResponse &Response = std::get<HttpResponse>(Result);
  nlohmann::json Json = tryParseJson(Response.Body);
  bool HasVersion = Json.is_object() && Json.contains("version") &&
                    Json["version"].is_number_unsigned();
  if (Response.Status == 200 && HasVersion)
    return WriteResult{.Outcome = WriteOutcome::Accepted,
                       .Version = Json["version"].get<std::uint64_t>()};
  if (Response.Status == 409)
    return WriteResult{.Outcome = WriteOutcome::Conflict};
  // With these statuses the platform refuses the request before the update.
  // After any other status it is unknown whether the update took effect.
  bool Refused = Response.Status == 429 || Response.Status == 503 ||
                 Response.Status == 413 || Response.Status == 400;
  return WriteResult{
      .Outcome = Refused ? WriteOutcome::NotWritten : WriteOutcome::Unknown,
      .Message = "the platform answered " + std::to_string(Response.Status)};
}

} // namespace internal

PlatformClient::PlatformClient(HttpClient &Http, std::string Address)
    : Http(Http), Address(std::move(Address)) {}

boost::asio::awaitable<Result<StoredObject>>
PlatformClient::read(std::string Kind, std::string Name, Duration Timeout) {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/v1/objects/" + Kind + "/" + Name;
  HttpResult Answer = co_await Http.call(Address, std::move(Request), Timeout);
  co_return internal::decodeObject(Answer);
}

boost::asio::awaitable<Result<StoredObject>>
PlatformClient::watch(std::string Kind, std::string Name,
                      std::uint64_t KnownVersion, Duration Wait) {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/v1/objects/" + Kind + "/" + Name;
  Request.Query["watch"] = std::to_string(KnownVersion);
  Request.Query["wait_ms"] = std::to_string(toMillis(Wait).count());
  HttpResult Answer = co_await Http.call(Address, std::move(Request),
                                         Wait + internal::WatchSlack);
  co_return internal::decodeObject(Answer);
}

boost::asio::awaitable<WriteResult>
PlatformClient::write(std::string Kind, std::string Name, std::string Value,
                      std::uint64_t Expected, Duration Timeout) {
  HttpRequest Request;
  Request.Method = "PUT";
  Request.Path = "/v1/objects/" + Kind + "/" + Name;
  Request.Query["version"] = std::to_string(Expected);
  Request.Body = std::move(Value);
  HttpResult Answer = co_await Http.call(Address, std::move(Request), Timeout);
  co_return internal::decodeWriteResult(Answer);
}

boost::asio::awaitable<WriteResult>
PlatformClient::remove(std::string Kind, std::string Name,
                       std::uint64_t Expected, Duration Timeout) {
  HttpRequest Request;
  Request.Method = "DELETE";
  Request.Path = "/v1/objects/" + Kind + "/" + Name;
  Request.Query["version"] = std::to_string(Expected);
  HttpResult Answer = co_await Http.call(Address, std::move(Request), Timeout);
  co_return internal::decodeWriteResult(Answer);
}

boost::asio::awaitable<Result<std::vector<VmEntry>>>
PlatformClient::list(Duration Timeout) {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/v1/vms";
  HttpResult Answer = co_await Http.call(Address, std::move(Request), Timeout);
  const HttpResponse *Response = std::get_if<HttpResponse>(&Answer);
  if (!Response || Response->Status != 200)
    co_return internal::storeError("cannot read the VM list");
  std::vector<VmEntry> Entries;
  try {
    for (const nlohmann::json &Row : parseJson(Response->Body))
      Entries.push_back(vmEntryFrom(Row));
  } catch (const nlohmann::json::exception &E) {
    co_return internal::storeError(std::string("malformed VM list: ") +
                                   E.what());
  }
  co_return Entries;
}

} // namespace cicadawind
