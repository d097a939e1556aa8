// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE HttpObjectStore
#include <boost/test/unit_test.hpp>

#include "Emulator/EmulatedStore.h"
#include "Fakes/FakeHttpServer.h"
#include "Http/HttpClient.h"
#include "HttpObjectStore.h"
#include "HttpPromotionClient.h"
#include "LoopRunner.h"
#include "Observability/Log.h"
#include "Observability/Metrics.h"

using namespace cicadawind;
using namespace std::chrono_literals;

namespace {

struct ClientAndStore {
  ClientAndStore()
      : Store(Loop, "127.0.0.1", 0), Http(Loop, HttpClient::Options{}),
        Address("127.0.0.1:" + std::to_string(Store.port())),
        Client(Loop, Http, {.Address = Address}, Meter),
        Promotions(Http, Address, Meter) {
    Log::start("test", LogLevel::Error);
  }

  WriteResult write(const std::string &Value, std::uint64_t Expected) {
    return test::runOn(Loop, Client.write("k", "n", Value, Expected, 1s));
  }
  WriteResult remove(std::uint64_t Expected) {
    return test::runOn(Loop, Client.remove("k", "n", Expected, 1s));
  }
  Result<StoredObject> read() {
    return test::runOn(Loop, Client.read("k", "n", 1s));
  }
  PromotionOutcome promote(std::uint64_t Token) {
    return test::runOn(Loop, Promotions.promote("g", "a", "vm-1", Token, 1s));
  }
  /// Watches the kind "k" and counts the reported changes.
  void startWatch() {
    Client.watchKind(
        "k", {.MinInterval = 300ms, .Wait = 300ms},
        [this](const ObjectsByName &Objects, std::uint64_t) {
          Seen = Objects;
          ++Changes;
        },
        [this](bool Reachable) { Reached = Reachable; });
  }
  bool runUntil(const std::function<bool()> &Done) {
    TimePoint End = BootClock::now() + 5s;
    while (!Done() && BootClock::now() < End) {
      Loop.restart();
      Loop.run_one_for(5ms);
    }
    return Done();
  }

  boost::asio::io_context Loop;
  Metrics Meter;
  emulator::EmulatedStore Store;
  HttpClient Http;
  std::string Address;
  platform::HttpObjectStore Client;
  platform::HttpPromotionClient Promotions;
  ObjectsByName Seen;
  int Changes = 0;
  bool Reached = true;
};

} // namespace

BOOST_AUTO_TEST_CASE(objectsAreCreatedReplacedAndRead) {
  ClientAndStore T;
  BOOST_TEST(!valueOf(T.read()).exists());
  WriteResult Created = T.write(R"({"x":1})", 0);
  BOOST_TEST((Created.Outcome == WriteOutcome::Accepted));
  BOOST_TEST(valueOf(T.read()).Version == Created.Version);
  BOOST_TEST((T.write(R"({"x":2})", 0).Outcome == WriteOutcome::Conflict));
  WriteResult Replaced = T.write(R"({"x":3})", Created.Version);
  BOOST_TEST((Replaced.Outcome == WriteOutcome::Accepted));
  BOOST_TEST(valueOf(T.read()).Value == R"({"x":3})");
  BOOST_TEST((T.write(R"({"x":4})", Created.Version).Outcome ==
              WriteOutcome::Conflict));
}

BOOST_AUTO_TEST_CASE(failedWritesTellWhetherTheyMayHaveTakenEffect) {
  struct Case {
    int Refusal;
    WriteOutcome Outcome;
  };
  for (const Case &Each :
       {Case{503, WriteOutcome::NotWritten},
        Case{429, WriteOutcome::NotWritten}, Case{500, WriteOutcome::Unknown}})
    BOOST_TEST_CONTEXT(Each.Refusal) {
      ClientAndStore T;
      T.Store.Faults.Refusal = Each.Refusal;
      BOOST_TEST((T.write("{}", 0).Outcome == Each.Outcome));
    }
  ClientAndStore Lost;
  Lost.Store.Faults.LoseAnswers = 1;
  BOOST_TEST((Lost.write("{}", 0).Outcome == WriteOutcome::Unknown));
  BOOST_TEST(valueOf(Lost.read()).exists());
}

BOOST_AUTO_TEST_CASE(objectsAreRemovedOnCondition) {
  ClientAndStore T;
  std::uint64_t Created = T.write("{}", 0).Version;
  std::uint64_t Replaced = T.write(R"({"x":1})", Created).Version;
  BOOST_TEST((T.remove(Created).Outcome == WriteOutcome::Conflict));
  BOOST_TEST((T.remove(Replaced).Outcome == WriteOutcome::Accepted));
  BOOST_TEST(!valueOf(T.read()).exists());
  BOOST_TEST((T.remove(Replaced).Outcome == WriteOutcome::Conflict));
  std::uint64_t Again = T.write("{}", 0).Version;
  T.Store.Faults.Refusal = 503;
  BOOST_TEST((T.remove(Again).Outcome == WriteOutcome::NotWritten));
  T.Store.Faults.Refusal = 0;
  T.Store.Faults.LoseAnswers = 1;
  BOOST_TEST((T.remove(Again).Outcome == WriteOutcome::Unknown));
  BOOST_TEST(!valueOf(T.read()).exists());
}

// Each call to the store is charged for, and the instances of a fleet register
// within seconds of one another.
BOOST_AUTO_TEST_CASE(changesInQuickSuccessionAreReportedTogether) {
  ClientAndStore T;
  T.startWatch();
  constexpr int ObjectCount = 20;
  T.runUntil([&] { return T.Changes > 0; });
  TimePoint NextWrite = BootClock::now();
  int Written = 0;
  BOOST_TEST(T.runUntil([&] {
    if (Written < ObjectCount && BootClock::now() >= NextWrite) {
      T.Store.put("k", "n" + std::to_string(++Written), Written);
      NextWrite = BootClock::now() + 20ms;
    }
    return T.Seen.size() == ObjectCount;
  }));
  // The writes take 400 ms, and at least 300 ms pass between a reported change
  // and the next watch.
  BOOST_TEST(T.Changes <= 5);
}

BOOST_AUTO_TEST_CASE(watchesReportPagesChangesAndRemovals) {
  ClientAndStore T;
  T.Store.Faults.PageSize = 2;
  for (const char *Name : {"a", "b", "c", "d", "e"})
    T.Store.put("k", Name, Name);
  T.Store.put("other", "z", 1);
  T.startWatch();
  BOOST_TEST(T.runUntil([&] { return T.Seen.size() == 5; }));
  T.Store.put("k", "f", "f");
  T.Store.remove("k", "a");
  BOOST_TEST(T.runUntil(
      [&] { return T.Seen.count("f") == 1 && T.Seen.count("a") == 0; }));
}

BOOST_AUTO_TEST_CASE(aKindIsListedAgainAfterItsHistoryWasDropped) {
  ClientAndStore T;
  T.Store.put("k", "a", 1);
  T.startWatch();
  BOOST_TEST(T.runUntil([&] { return T.Seen.size() == 1; }));
  T.Store.Faults.Outage = true;
  T.Store.put("k", "b", 2);
  BOOST_TEST(T.runUntil([&] { return !T.Reached; }));
  T.Store.put("k", "c", 3);
  T.Store.compact();
  T.Store.Faults.Outage = false;
  BOOST_TEST(T.runUntil([&] { return T.Seen.size() == 3; }));
  BOOST_TEST(T.Reached);
}

BOOST_AUTO_TEST_CASE(aChangeIsNotMissedByAWatchFromBeforeARestore) {
  ClientAndStore T;
  T.Store.put("k", "a", 1);
  T.Store.keepCopy();
  T.Store.put("k", "b", 1);
  T.Store.put("k", "c", 1);
  T.startWatch();
  BOOST_TEST(T.runUntil([&] { return T.Seen.size() == 3; }));
  T.Store.Faults.Outage = true;
  T.Store.restoreCopy();
  BOOST_TEST(T.runUntil([&] { return !T.Reached; }));
  T.Store.put("k", "a", 2);
  for (int I = 0; I < 5; ++I)
    T.Store.put("other", "z", I);
  T.Store.Faults.Outage = false;
  BOOST_TEST(T.runUntil([&] { return T.Seen["a"].Value == "2"; }));
  BOOST_TEST(T.Seen.size() == 1U);
}

BOOST_AUTO_TEST_CASE(revisionsOfARestoredStoreAreHigherThanThoseOfBefore) {
  ClientAndStore T;
  T.Store.keepCopy();
  WriteResult Before = T.write(R"({"x":1})", 0);
  T.Store.restoreCopy();
  WriteResult After = T.write(R"({"x":2})", 0);
  BOOST_TEST(After.Version > Before.Version);
}

BOOST_AUTO_TEST_CASE(revisionsThatDoNotFitAreRefusedAsMalformed) {
  ClientAndStore T;
  T.Store.setRevision(std::uint64_t{1} << 40);
  T.Store.put("k", "n", 1);
  BOOST_TEST(errorOf(T.read()));
  BOOST_TEST(errorOf(test::runOn(T.Loop, T.Client.listAll("k"))));
}

// A watch counts as one call, so a store without changes must not be polled.
BOOST_AUTO_TEST_CASE(watchesWithoutChangesCostOneCallPerWait) {
  ClientAndStore T;
  T.startWatch();
  TimePoint End = BootClock::now() + 1s;
  T.runUntil([&] { return BootClock::now() > End; });
  BOOST_TEST(T.Store.Calls["list"] == 1U);
  BOOST_TEST(T.Store.Calls["watch"] <= 5U);
}

BOOST_AUTO_TEST_CASE(promotionOutcomesFollowThePlatformsResponse) {
  ClientAndStore T;
  int Promoted = 0;
  T.Store.onPromote([&](const std::string &Group, const std::string &Id) {
    ++Promoted;
    return Group == "g" && Id == "a";
  });
  BOOST_TEST((T.promote(5) == PromotionOutcome::Accepted));
  BOOST_TEST((T.promote(4) == PromotionOutcome::Refused));
  BOOST_TEST(Promoted == 1);
  T.Store.Faults.LoseAnswers = 1;
  BOOST_TEST((T.promote(6) == PromotionOutcome::Unknown));
  T.Store.Faults.Refusal = 503;
  BOOST_TEST((T.promote(7) == PromotionOutcome::NotStarted));
}

// A VM that takes the state from its peers must cost the store nothing.
BOOST_AUTO_TEST_CASE(aSuspendedWatchMakesNoCallsAndListsAgainWhenResumed) {
  ClientAndStore T;
  T.Client.setWatching(false);
  T.startWatch();
  TimePoint End = BootClock::now() + 500ms;
  T.runUntil([&] { return BootClock::now() >= End; });
  BOOST_TEST(T.Store.Calls.empty());
  T.write("{}", 0);
  T.Client.setWatching(true);
  BOOST_TEST(T.runUntil([&] { return T.Seen.count("n") == 1; }));
}

// Another writer may store any JSON. Serializing one object whose lists are
// nested 200,000 levels deep exhausted the stack, and the process ended again
// after each restart.
BOOST_AUTO_TEST_CASE(aDeeplyNestedObjectHidesNoOtherAndEndsNoProcess) {
  constexpr std::size_t Depth = 200000;
  const std::string Items =
      R"([{"meta":{"name":"deep","revision":4},"spec":{"service":)" +
      std::string(Depth, '[') + std::string(Depth, ']') +
      R"(}},{"meta":{"name":"plain","revision":5},"spec":{"x":1}}])";
  boost::asio::io_context Loop;
  fakes::FakeHttpServer Store(
      Loop, "127.0.0.1", 0,
      [&](HttpRequest, std::uint64_t,
          fakes::ResponseAction &) -> boost::asio::awaitable<HttpResponse> {
        HttpResponse Response;
        Response.Body = R"({"currentRev":5,"items":)" + Items + "}";
        co_return Response;
      },
      [](std::uint64_t) {});
  HttpClient Http(Loop, HttpClient::Options{});
  Metrics Meter;
  platform::HttpObjectStore Client(
      Loop, Http, {.Address = "127.0.0.1:" + std::to_string(Store.port())},
      Meter);
  Result<ObjectsByName> Listed = test::runOn(Loop, Client.listAll("servers"));
  BOOST_REQUIRE(!errorOf(Listed));
  BOOST_TEST(valueOf(Listed).size() == 2U);
  BOOST_TEST(valueOf(Listed)["plain"].Value == R"({"x":1})");
}

// Writers use such strings for undecodable bytes. The whole list was refused,
// so that no VM learned of any change.
BOOST_AUTO_TEST_CASE(aValueThatCannotBeReadHidesNoOtherObject) {
  boost::asio::io_context Loop;
  Metrics Meter;
  fakes::FakeHttpServer Server(
      Loop, "127.0.0.1", 0,
      [](HttpRequest, std::uint64_t,
         fakes::ResponseAction &) -> boost::asio::awaitable<HttpResponse> {
        HttpResponse Response;
        Response.Body =
            R"({"currentRev":9,"items":[)"
            R"({"meta":{"name":"bad","revision":8},"spec":{"a":"\udcff"}},)"
            R"({"meta":{"name":"good","revision":9},"spec":{"a":"b"}}]})";
        co_return Response;
      },
      nullptr);
  HttpClient Http(Loop, HttpClient::Options{});
  platform::HttpObjectStore Client(
      Loop, Http, {.Address = "127.0.0.1:" + std::to_string(Server.port())},
      Meter);
  Result<ObjectsByName> Listed = test::runOn(Loop, Client.listAll("k"));
  BOOST_REQUIRE(!errorOf(Listed));
  BOOST_TEST(valueOf(Listed).at("good").Value == R"({"a":"b"})");
  BOOST_TEST(valueOf(Listed).at("bad").Value == R"({"a":null})");
}

// review/7: one such name hid all objects, in lists and in watches, so that no
// VM became ready after a start.
BOOST_AUTO_TEST_CASE(namesThatCannotBeReadHideNoOtherObject) {
  const std::string Name = "\"\xff\xfe\"";
  const std::string Objects[] = {
      R"({"meta":{"name":"spec","revision":4},"spec":{"a":"b",)" + Name +
          ":1}}",
      R"({"meta":{"name":"meta","revision":5,)" + Name + R"(:1},"spec":{}})",
      R"({"meta":{"name":)" + Name + R"(,"revision":6},"spec":{}})",
      "{" + Name + ":{}}",
      R"({"meta":{"name":"good","revision":7},"spec":{"a":"b"},"status":{)" +
          Name + ":[]}}"};
  std::string Items;
  std::string Events;
  for (const std::string &Each : Objects) {
    Items += (Items.empty() ? "" : ",") + Each;
    Events += (Events.empty() ? "" : ",") + std::string(R"({"object":)") +
              Each + "," + Name + ":0}";
  }
  boost::asio::io_context Loop;
  Metrics Meter;
  int Lists = 0;
  int Watches = 0;
  fakes::FakeHttpServer Server(
      Loop, "127.0.0.1", 0,
      [&](HttpRequest Request, std::uint64_t,
          fakes::ResponseAction &) -> boost::asio::awaitable<HttpResponse> {
        bool IsWatch = Request.Query.count("watch") > 0;
        ++(IsWatch ? Watches : Lists);
        if (IsWatch && Watches > 1)
          co_await sleepFor(10s);
        HttpResponse Response;
        Response.Body =
            "{" + Name + R"(:2,"currentRev":)" +
            std::to_string(6 + Lists + Watches) +
            (IsWatch ? R"(,"events":[)" + Events : R"(,"items":[)" + Items) +
            "]}";
        co_return Response;
      },
      nullptr);
  HttpClient Http(Loop, HttpClient::Options{});
  platform::HttpObjectStore Client(
      Loop, Http, {.Address = "127.0.0.1:" + std::to_string(Server.port())},
      Meter);
  std::vector<ObjectsByName> Seen;
  Client.watchKind(
      "servers", {.MinInterval = Duration::zero()},
      [&](const ObjectsByName &Objects, std::uint64_t) {
        Seen.push_back(Objects);
      },
      [](bool) {});
  Loop.run_for(500ms);
  BOOST_REQUIRE(Seen.size() == 2U);
  BOOST_TEST(Lists == 1);
  for (const ObjectsByName &Each : Seen) {
    BOOST_TEST(Each.size() == 3U);
    BOOST_TEST(Each.at("good").Value == R"({"a":"b"})");
    BOOST_TEST(Each.at("spec").Value == "{\"a\":\"b\",\"\xEF\xBF\xBD\":null}");
  }
}
