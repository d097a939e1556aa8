// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Fakes/FakePlatform.h"

#include <boost/asio/io_context.hpp>

#include <string_view>

namespace cicadawind::fakes {

constexpr std::string_view ObjectPrefix = "/v1/objects/";
constexpr std::string_view VmPrefix = "/v1/vms/";
constexpr std::size_t MaxValueBytes = std::size_t{1024} * 1024;

static HttpResponse jsonResponse(int Status, const nlohmann::json &Json) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = Json.dump();
  return Response;
}

FakePlatform::FakePlatform(boost::asio::io_context &Loop,
                           const std::string &Address, std::uint16_t Port)
    : Changed(Loop),
      Server(
          Loop, Address, Port,
          [this](HttpRequest Request, std::uint64_t, ResponseAction &Action) {
            return handle(std::move(Request), Action);
          },
          nullptr) {}

boost::asio::awaitable<HttpResponse>
FakePlatform::handle(HttpRequest Request, ResponseAction &Action) {
  if (Request.Path == "/v1/faults")
    co_return setFaults(Request);
  if (Request.Path == "/v1/counters")
    co_return jsonResponse(200, Counters);
  if (Request.Method == "PUT" && Request.Path.starts_with(VmPrefix))
    co_return vms(Request);
  if (Faults.Outage) {
    Action = ResponseAction::Drop;
    co_return HttpResponse();
  }
  if (Faults.Latency > Millis(0))
    co_await sleepFor(Faults.Latency);
  if (Request.Path == "/v1/vms")
    co_return vms(Request);
  if (!Request.Path.starts_with(ObjectPrefix))
    co_return jsonResponse(404, {{"error", "no such path"}});
  if (Request.Method == "PUT" || Request.Method == "DELETE")
    co_return writeObject(Request, Action);
  HttpResponse Response = co_await readObject(Request);
  if (Faults.Outage)
    Action = ResponseAction::Drop;
  co_return Response;
}

boost::asio::awaitable<HttpResponse>
FakePlatform::readObject(const HttpRequest &Request) {
  std::string Key = Request.Path.substr(ObjectPrefix.size());
  auto Watch = Request.Query.find("watch");
  ++Counters[Watch == Request.Query.end() ? "reads" : "watches"];
  if (Watch != Request.Query.end()) {
    std::uint64_t Known = std::stoull(Watch->second);
    Millis Wait(std::stoll(Request.Query.at("wait_ms")));
    TimePoint End = BootClock::now() + Wait;
    while (Objects[Key].Version == Known && BootClock::now() < End &&
           !Faults.Outage)
      co_await Changed.wait(End - BootClock::now());
  }
  const StoredObject &Object = Objects[Key];
  if (!Object.exists())
    co_return jsonResponse(404, {{"version", 0}});
  co_return jsonResponse(
      200, {{"value", Object.Value}, {"version", Object.Version}});
}

HttpResponse FakePlatform::writeObject(const HttpRequest &Request,
                                       ResponseAction &Action) {
  ++Counters["writes"];
  if (Request.Body.size() > MaxValueBytes)
    return jsonResponse(413, {{"error", "the value is too large"}});
  auto Version = Request.Query.find("version");
  if (Version == Request.Query.end())
    return jsonResponse(400, {{"error", "version is missing"}});
  StoredObject &Object = Objects[Request.Path.substr(ObjectPrefix.size())];
  if (std::stoull(Version->second) != Object.Version)
    return jsonResponse(409, {{"version", Object.Version}});
  if (Request.Method == "DELETE") {
    if (!Object.exists())
      return jsonResponse(409, {{"version", 0}});
    Object = StoredObject();
  } else {
    Object.Value = Request.Body;
    ++Object.Version;
  }
  Changed.notifyAll();
  if (Faults.LoseAnswers > 0) {
    --Faults.LoseAnswers;
    Action = ResponseAction::Drop;
  }
  return jsonResponse(200, {{"version", Object.Version}});
}

HttpResponse FakePlatform::setFaults(const HttpRequest &Request) {
  nlohmann::json Json = nlohmann::json::parse(Request.Body);
  Faults.Outage = Json.value("outage", Faults.Outage);
  Faults.Latency = Millis(Json.value("latency_ms", Faults.Latency.count()));
  Faults.LoseAnswers = Json.value("lose_answers", Faults.LoseAnswers);
  Faults.VmListLag =
      Millis(Json.value("vm_list_lag_ms", Faults.VmListLag.count()));
  Changed.notifyAll();
  return jsonResponse(200, nlohmann::json::object());
}

HttpResponse FakePlatform::vms(const HttpRequest &Request) {
  if (Request.Method == "PUT") {
    FormerVmLists.emplace_back(BootClock::now(), Vms);
    std::string Name = Request.Path.substr(VmPrefix.size());
    nlohmann::json Entry = nlohmann::json::parse(Request.Body);
    if (Entry.value("state", "") == "gone")
      Vms.erase(Name);
    else
      Vms[Name] = Entry;
    return jsonResponse(200, nlohmann::json::object());
  }
  ++Counters["vm_lists"];
  const std::map<std::string, nlohmann::json> *ListToSend = &Vms;
  TimePoint ListTime = BootClock::now() - Faults.VmListLag;
  for (const auto &[ReplacedAt, List] : FormerVmLists)
    if (ReplacedAt > ListTime) {
      ListToSend = &List;
      break;
    }
  nlohmann::json Out = nlohmann::json::array();
  for (const auto &[Name, Entry] : *ListToSend)
    Out.push_back(Entry);
  return jsonResponse(200, Out);
}

} // namespace cicadawind::fakes
