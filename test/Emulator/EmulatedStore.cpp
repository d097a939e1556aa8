// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Emulator/EmulatedStore.h"

#include <boost/asio/io_context.hpp>

namespace cicadawind::emulator {

using nlohmann::json;

static const std::string ObjectsPath = "/api/objects/";

static HttpResponse answer(int Status, const json &Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = Body.dump();
  return Response;
}

EmulatedStore::EmulatedStore(boost::asio::io_context &Loop,
                             const std::string &Address, std::uint16_t Port)
    : Changed(Loop), Server(
                         Loop, Address, Port,
                         [this](HttpRequest Request, std::uint64_t,
                                fakes::ResponseAction &Action) {
                           return handle(std::move(Request), Action);
                         },
                         nullptr) {}

void EmulatedStore::put(const std::string &Kind, const std::string &Name,
                        json Spec) {
  json &Object = Objects[{Kind, Name}];
  if (Object.is_object() && Object["spec"] == Spec)
    return;
  std::uint64_t Created =
      Object.is_object() ? Object["meta"]["createdRev"].get<std::uint64_t>()
                         : Revision + 1;
  ++Revision;
  Object = {{"meta",
             {{"name", Name},
              {"revision", Revision},
              {"createdRev", Created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", std::move(Spec)},
            {"status", nullptr}};
  History.push_back({.Revision = Revision, .Kind = Kind, .Object = Object});
  Changed.notifyAll();
}

void EmulatedStore::remove(const std::string &Kind, const std::string &Name) {
  auto It = Objects.find({Kind, Name});
  if (It == Objects.end())
    return;
  ++Revision;
  History.push_back({.Revision = Revision,
                     .Kind = Kind,
                     .Removed = true,
                     .Object = It->second});
  Objects.erase(It);
  Changed.notifyAll();
}

void EmulatedStore::compact() {
  History.clear();
  OldestKept = Revision + 1;
  Changed.notifyAll();
}

void EmulatedStore::keepCopy() {
  Kept = {.Objects = Objects, .History = History, .Revision = Revision};
}

void EmulatedStore::restoreCopy() {
  Objects = Kept.Objects;
  History = Kept.History;
  Revision = Kept.Revision;
  ++Era;
  Changed.notifyAll();
}

boost::asio::awaitable<HttpResponse>
EmulatedStore::handle(HttpRequest Request, fakes::ResponseAction &Action) {
  HttpResponse Response = co_await execute(std::move(Request), Action);
  Response.Headers["Store-Era"] = std::to_string(Era);
  co_return Response;
}

boost::asio::awaitable<HttpResponse>
EmulatedStore::execute(HttpRequest Request, fakes::ResponseAction &Action) {
  if (Request.Path.starts_with("/admin") && Admin)
    co_return answer(200, Admin(Request));
  if (Faults.Outage) {
    Action = fakes::ResponseAction::Drop;
    co_return HttpResponse();
  }
  if (Faults.Refusal != 0)
    co_return answer(Faults.Refusal, json::object());
  if (Request.Path == "/promote")
    co_return promote(Request, Action);
  if (!Request.Path.starts_with(ObjectsPath))
    co_return answer(404, json::object());
  std::string Kind = Request.Path.substr(ObjectsPath.size());
  std::string Name;
  std::size_t Slash = Kind.find('/');
  if (Slash != std::string::npos) {
    Name = Kind.substr(Slash + 1);
    Kind.resize(Slash);
  }
  if (Request.Method == "GET")
    co_return co_await get(Request, Kind, Name);
  if (Request.Method == "DELETE")
    co_return erase(Request, Kind, Name, Action);
  co_return write(Request, Kind, Name, Action);
}

boost::asio::awaitable<HttpResponse>
EmulatedStore::get(const HttpRequest &Request, std::string Kind,
                   std::string Name) {
  if (!Name.empty()) {
    ++Calls["read"];
    auto It = Objects.find({Kind, Name});
    co_return It == Objects.end() ? answer(404, json::object())
                                  : answer(200, It->second);
  }
  if (Request.Query.count("watch"))
    co_return co_await watch(Request, Kind);
  ++Calls["list"];
  co_return list(Request, Kind);
}

HttpResponse EmulatedStore::list(const HttpRequest &Request,
                                 const std::string &Kind) {
  auto After = Request.Query.find("after");
  std::string Last = After == Request.Query.end() ? "" : After->second;
  json Items = json::array();
  bool HasMore = false;
  for (auto It = Objects.upper_bound({Kind, Last});
       It != Objects.end() && It->first.first == Kind; ++It) {
    if (Items.size() >= Faults.PageSize) {
      HasMore = true;
      break;
    }
    Items.push_back(It->second);
  }
  return answer(
      200, {{"items", Items}, {"hasMore", HasMore}, {"currentRev", Revision}});
}

boost::asio::awaitable<HttpResponse>
EmulatedStore::watch(const HttpRequest &Request, std::string Kind) {
  ++Calls["watch"];
  std::uint64_t Since = std::stoull(Request.Query.at("watch"));
  TimePoint End =
      BootClock::now() + Millis(std::stoll(Request.Query.at("waitMs")));
  while (true) {
    if (Since + 1 < OldestKept || Since > Revision)
      co_return answer(410, json::object());
    json Events = json::array();
    for (const Event &Each : History)
      if (Each.Revision > Since && Each.Kind == Kind)
        Events.push_back({{"removed", Each.Removed}, {"object", Each.Object}});
    if (!Events.empty() || BootClock::now() >= End)
      co_return answer(200, {{"events", Events}, {"currentRev", Revision}});
    co_await Changed.wait(End - BootClock::now());
  }
}

HttpResponse EmulatedStore::write(const HttpRequest &Request,
                                  const std::string &Kind,
                                  const std::string &Name,
                                  fakes::ResponseAction &Action) {
  ++Calls["write"];
  json Body = json::parse(Request.Body, nullptr, false);
  bool Creates = Request.Method == "POST";
  if (!Body.is_object() || !Body.contains("meta"))
    return answer(400, json::object());
  std::string Written =
      Creates ? Body["meta"].value("name", std::string()) : Name;
  auto It = Objects.find({Kind, Written});
  if (Creates && It != Objects.end())
    return answer(409, It->second);
  if (!Creates && It == Objects.end())
    return answer(404, json::object());
  if (!Creates && Body["meta"].contains("revision") &&
      Body["meta"]["revision"] != It->second["meta"]["revision"])
    return answer(409, It->second);
  put(Kind, Written, Body.value("spec", json()));
  if (Faults.LoseAnswers > 0) {
    --Faults.LoseAnswers;
    Action = fakes::ResponseAction::Drop;
  }
  return answer(200, Objects[{Kind, Written}]);
}

HttpResponse EmulatedStore::erase(const HttpRequest &Request,
                                  const std::string &Kind,
                                  const std::string &Name,
                                  fakes::ResponseAction &Action) {
  ++Calls["remove"];
  auto It = Objects.find({Kind, Name});
  if (It == Objects.end())
    return answer(404, json::object());
  auto Expected = Request.Query.find("revision");
  if (Expected != Request.Query.end() &&
      Expected->second != It->second["meta"]["revision"].dump())
    return answer(409, It->second);
  json Removed = It->second;
  remove(Kind, Name);
  if (Faults.LoseAnswers > 0) {
    --Faults.LoseAnswers;
    Action = fakes::ResponseAction::Drop;
  }
  return answer(200, Removed);
}

HttpResponse EmulatedStore::promote(const HttpRequest &Request,
                                    fakes::ResponseAction &Action) {
  ++Calls["promote"];
  json Body = json::parse(Request.Body, nullptr, false);
  if (!Body.is_object() || Request.header("cicadawind-lease-holder").empty())
    return answer(400, json::object());
  std::string Group = Body.value("service", std::string());
  std::uint64_t Token = std::strtoull(
      Request.header("cicadawind-fencing-token").c_str(), nullptr, 10);
  if (Token < HighestToken[Group])
    return answer(409, json::object());
  HighestToken[Group] = Token;
  if (!Promote || !Promote(Group, Body.value("id", std::string())))
    return answer(409, json::object());
  if (Faults.LoseAnswers > 0) {
    --Faults.LoseAnswers;
    Action = fakes::ResponseAction::Drop;
  }
  return answer(200, json::object());
}

} // namespace cicadawind::emulator
