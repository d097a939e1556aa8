#ifndef CICADAWIND_REVIEW_STORE3_H
#define CICADAWIND_REVIEW_STORE3_H

// The platform's metadata store and its promotion call, as PROTOCOL.md tells
// them.

#include "Async/AsyncSignal.h"
#include "Core/Clock.h"
#include "Fakes/FakeHttpServer.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace review {

using namespace cicadawind;
using nlohmann::json;

class Store {
public:
  explicit Store(boost::asio::io_context &Loop)
      : Changed(Loop), Server(
                           Loop, "127.0.0.1", 0,
                           [this](HttpRequest Request, std::uint64_t, fakes::ResponseAction &Action) {
                             return handle(std::move(Request), Action);
                           },
                           nullptr) {}

  std::uint16_t port() const { return Server.port(); }

  /// Whether the store is down: it accepts connections and answers nothing. The
  /// promotion call is another service and stays up.
  bool IsDown = false;
  /// Orders the promotion of an instance; false if it is not running.
  std::function<bool(const std::string &Service, const std::string &Id)> Promote;

  void put(const std::string &Kind, const std::string &Name, json Spec) {
    json &Object = Objects[{Kind, Name}];
    if (Object.is_object() && Object["spec"] == Spec)
      return;
    std::uint64_t Created = Object.is_object() ? Object["meta"]["createdRev"].get<std::uint64_t>() : Revision + 1;
    ++Revision;
    Object = {{"meta",
               {{"name", Name},
                {"revision", Revision},
                {"createdRev", Created},
                {"finalizers", json::array()},
                {"deleting", false}}},
              {"spec", std::move(Spec)},
              {"status", nullptr}};
    History.push_back({Revision, Kind, false, Object});
    Changed.notifyAll();
  }

  void remove(const std::string &Kind, const std::string &Name) {
    auto It = Objects.find({Kind, Name});
    if (It == Objects.end())
      return;
    History.push_back({++Revision, Kind, true, It->second});
    Objects.erase(It);
    Changed.notifyAll();
  }

private:
  using Answer = boost::asio::awaitable<HttpResponse>;

  static HttpResponse answer(int Status, const json &Body = json::object()) {
    HttpResponse Out;
    Out.Status = Status;
    Out.Body = Body.dump();
    return Out;
  }

  Answer handle(HttpRequest Request, fakes::ResponseAction &Action) {
    if (Request.Path == "/promote")
      co_return promote(Request);
    const std::string Prefix = "/api/objects/";
    if (IsDown) {
      Action = fakes::ResponseAction::Withhold;
      co_return HttpResponse();
    }
    if (!Request.Path.starts_with(Prefix))
      co_return answer(404);
    std::string Kind = Request.Path.substr(Prefix.size()), Name;
    if (std::size_t Slash = Kind.find('/'); Slash != std::string::npos) {
      Name = Kind.substr(Slash + 1);
      Kind.resize(Slash);
    }
    if (Request.Method == "POST" || Request.Method == "PUT")
      co_return write(Request, Kind, Name);
    if (Request.Method == "DELETE")
      co_return erase(Request, Kind, Name);
    if (!Name.empty()) {
      auto It = Objects.find({Kind, Name});
      co_return It == Objects.end() ? answer(404) : answer(200, It->second);
    }
    if (!Request.Query.count("watch"))
      co_return list(Request, Kind);
    std::uint64_t Since = std::stoull(Request.Query.at("watch"));
    TimePoint End = BootClock::now() + Millis(std::stoll(Request.Query.at("waitMs")));
    while (true) {
      json Events = json::array();
      for (const Event &Each : History)
        if (Each.Revision > Since && Each.Kind == Kind)
          Events.push_back({{"removed", Each.IsRemoved}, {"object", Each.Object}});
      if (IsDown) {
        Action = fakes::ResponseAction::Withhold;
        co_return HttpResponse();
      }
      if (!Events.empty() || BootClock::now() >= End)
        co_return answer(200, {{"events", Events}, {"currentRev", Revision}});
      co_await Changed.wait(End - BootClock::now());
    }
  }

  HttpResponse list(const HttpRequest &Request, const std::string &Kind) {
    auto After = Request.Query.find("after");
    json Items = json::array();
    for (auto It = Objects.upper_bound({Kind, After == Request.Query.end() ? "" : After->second});
         It != Objects.end() && It->first.first == Kind; ++It)
      Items.push_back(It->second);
    return answer(200, {{"items", Items}, {"hasMore", false}, {"currentRev", Revision}});
  }

  HttpResponse write(const HttpRequest &Request, const std::string &Kind, std::string Name) {
    json Body = json::parse(Request.Body, nullptr, false);
    if (!Body.is_object() || !Body.contains("meta"))
      return answer(400);
    bool Creates = Request.Method == "POST";
    if (Creates)
      Name = Body["meta"].value("name", std::string());
    auto It = Objects.find({Kind, Name});
    if (Creates && It != Objects.end())
      return answer(409, It->second);
    if (!Creates && It == Objects.end())
      return answer(404);
    if (!Creates && Body["meta"].contains("revision") && Body["meta"]["revision"] != It->second["meta"]["revision"])
      return answer(409, It->second);
    put(Kind, Name, Body.value("spec", json()));
    return answer(200, Objects[{Kind, Name}]);
  }

  HttpResponse erase(const HttpRequest &Request, const std::string &Kind, const std::string &Name) {
    auto It = Objects.find({Kind, Name});
    if (It == Objects.end())
      return answer(404);
    auto Expected = Request.Query.find("revision");
    if (Expected != Request.Query.end() && Expected->second != It->second["meta"]["revision"].dump())
      return answer(409, It->second);
    json Removed = It->second;
    remove(Kind, Name);
    return answer(200, Removed);
  }

  HttpResponse promote(const HttpRequest &Request) {
    json Body = json::parse(Request.Body, nullptr, false);
    if (!Body.is_object() || Request.header("cicadawind-lease-holder").empty())
      return answer(400);
    std::string Service = Body.value("service", std::string());
    std::uint64_t Token = std::strtoull(Request.header("cicadawind-fencing-token").c_str(), nullptr, 10);
    if (Token < HighestToken[Service])
      return answer(409);
    HighestToken[Service] = Token;
    return answer(Promote(Service, Body.value("id", std::string())) ? 200 : 409);
  }

  struct Event {
    std::uint64_t Revision;
    std::string Kind;
    bool IsRemoved;
    json Object;
  };

  AsyncSignal Changed;
  std::map<std::pair<std::string, std::string>, json> Objects;
  std::vector<Event> History;
  std::uint64_t Revision = 100;
  std::map<std::string, std::uint64_t> HighestToken;
  fakes::FakeHttpServer Server;
};

} // namespace review

#endif
