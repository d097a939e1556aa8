#define BOOST_TEST_MODULE ObjectStoreContract
// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Fakes/FakeHttpServer.h"
#include "Fakes/FakePlatform.h"
#include "Fakes/MemoryStore.h"
#include "Http/HttpClient.h"
#include "LoopRunner.h"
#include "Platform/PlatformClient.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>

using namespace cicadawind;
using namespace cicadawind::test;
using namespace std::chrono_literals;

/// A store under test, with functions that set its faults.
struct StoreUnderTest {
  const char *Name;
  boost::asio::io_context &Loop;
  ObjectStore &Store;
  std::function<void(bool)> SetOutage;
  std::function<void(int)> LoseAnswers;
};

static WriteResult write(StoreUnderTest &Tested, const char *Name,
                         const char *Value, std::uint64_t Expected) {
  return runOn(Tested.Loop,
               Tested.Store.write("kind", Name, Value, Expected, 1s));
}

static Result<StoredObject> read(StoreUnderTest &Tested, const char *Name) {
  return runOn(Tested.Loop, Tested.Store.read("kind", Name, 1s));
}

static void checkConditionalWrites(StoreUnderTest &Tested) {
  BOOST_TEST(!valueOf(read(Tested, "a")).exists(), Tested.Name);
  BOOST_TEST((write(Tested, "a", "one", 0).Outcome == WriteOutcome::Accepted),
             Tested.Name);
  BOOST_TEST((write(Tested, "a", "two", 0).Outcome == WriteOutcome::Conflict),
             Tested.Name);
  StoredObject One = valueOf(read(Tested, "a"));
  BOOST_TEST(One.Value == "one", Tested.Name);
  WriteResult Two = write(Tested, "a", "two", One.Version);
  BOOST_TEST((Two.Outcome == WriteOutcome::Accepted), Tested.Name);
  BOOST_TEST(Two.Version > One.Version, Tested.Name);
  BOOST_TEST((write(Tested, "a", "three", One.Version).Outcome ==
              WriteOutcome::Conflict),
             Tested.Name);
  BOOST_TEST(valueOf(read(Tested, "a")).Value == "two", Tested.Name);
}

static WriteResult remove(StoreUnderTest &Tested, const char *Name,
                          std::uint64_t Expected) {
  return runOn(Tested.Loop, Tested.Store.remove("kind", Name, Expected, 1s));
}

static void checkConditionalRemovals(StoreUnderTest &Tested) {
  write(Tested, "gone", "one", 0);
  std::uint64_t One = valueOf(read(Tested, "gone")).Version;
  write(Tested, "gone", "two", One);
  std::uint64_t Two = valueOf(read(Tested, "gone")).Version;
  BOOST_TEST((remove(Tested, "gone", One).Outcome == WriteOutcome::Conflict),
             Tested.Name);
  BOOST_TEST((remove(Tested, "gone", Two).Outcome == WriteOutcome::Accepted),
             Tested.Name);
  BOOST_TEST(!valueOf(read(Tested, "gone")).exists(), Tested.Name);
  BOOST_TEST((remove(Tested, "gone", Two).Outcome == WriteOutcome::Conflict),
             Tested.Name);
}

static void checkLostResponses(StoreUnderTest &Tested) {
  Tested.LoseAnswers(1);
  BOOST_TEST((write(Tested, "lost", "v", 0).Outcome == WriteOutcome::Unknown),
             Tested.Name);
  BOOST_TEST(valueOf(read(Tested, "lost")).Value == "v", Tested.Name);
}

static void checkOutages(StoreUnderTest &Tested) {
  Tested.SetOutage(true);
  Result<StoredObject> Read = read(Tested, "a");
  BOOST_REQUIRE(errorOf(Read));
  BOOST_TEST((errorOf(Read)->Code == ErrorCode::StoreUnavailable), Tested.Name);
  WriteOutcome Outcome = write(Tested, "out", "v", 0).Outcome;
  BOOST_TEST(
      (Outcome == WriteOutcome::NotWritten || Outcome == WriteOutcome::Unknown),
      Tested.Name);
  Tested.SetOutage(false);
  if (Outcome == WriteOutcome::NotWritten)
    BOOST_TEST(!valueOf(read(Tested, "out")).exists(), Tested.Name);
}

static void checkWatches(StoreUnderTest &Tested) {
  write(Tested, "w", "one", 0);
  std::uint64_t Known = valueOf(read(Tested, "w")).Version;
  Result<StoredObject> Same =
      runOn(Tested.Loop, Tested.Store.watch("kind", "w", Known, 30ms));
  BOOST_TEST(valueOf(Same).Version == Known, Tested.Name);
  auto WatchDuringWrite = [&]() -> boost::asio::awaitable<std::string> {
    spawn(Tested.Loop,
          [](StoreUnderTest &Under,
             std::uint64_t Version) -> boost::asio::awaitable<void> {
            co_await sleepFor(20ms);
            co_await Under.Store.write("kind", "w", "two", Version, 1s);
          }(Tested, Known));
    Result<StoredObject> Seen =
        co_await Tested.Store.watch("kind", "w", Known, 5s);
    co_return valueOf(Seen).Value;
  };
  BOOST_TEST(runOn(Tested.Loop, WatchDuringWrite()) == "two", Tested.Name);
}

static void checkContract(StoreUnderTest Tested) {
  checkConditionalWrites(Tested);
  checkConditionalRemovals(Tested);
  checkLostResponses(Tested);
  checkOutages(Tested);
  checkWatches(Tested);
}

BOOST_AUTO_TEST_CASE(MemoryStoreMeetsTheContract) {
  boost::asio::io_context Loop(1);
  fakes::MemoryStore Store(Loop);
  checkContract({.Name = "memory",
                 .Loop = Loop,
                 .Store = Store,
                 .SetOutage = [&](bool On) { Store.Outage = On; },
                 .LoseAnswers = [&](int N) { Store.LoseAnswers = N; }});
}

BOOST_AUTO_TEST_CASE(PlatformClientMeetsTheContract) {
  boost::asio::io_context Loop(1);
  fakes::FakePlatform Platform(Loop, "127.0.0.1", 0);
  HttpClient Http(Loop, HttpClient::Options{});
  std::string Address = "127.0.0.1:" + std::to_string(Platform.port());
  PlatformClient Client(Http, Address);
  auto SetFaults = [&](const std::string &Body) {
    HttpRequest Request;
    Request.Path = "/v1/faults";
    Request.Body = Body;
    runOn(Loop, Http.call(Address, Request, 1s));
  };
  checkContract(
      {.Name = "platform client",
       .Loop = Loop,
       .Store = Client,
       .SetOutage =
           [&](bool On) {
             SetFaults(On ? R"({"outage":true})" : R"({"outage":false})");
           },
       .LoseAnswers =
           [&](int N) {
             SetFaults("{\"lose_answers\":" + std::to_string(N) + "}");
           }});
}

// A response of the wrong type is an error of the store, not an exception that
// ends the process.
BOOST_AUTO_TEST_CASE(objectsWithAMalformedVersionAreRejected) {
  for (const char *Version : {R"("7")", "-7", "1.5", "null", "{}"}) {
    boost::asio::io_context Loop(1);
    fakes::FakeHttpServer Server(
        Loop, "127.0.0.1", 0,
        [Version](HttpRequest, std::uint64_t, fakes::ResponseAction &)
            -> boost::asio::awaitable<HttpResponse> {
          HttpResponse Response;
          Response.Body =
              R"({"value":"v","version":)" + std::string(Version) + "}";
          co_return Response;
        },
        nullptr);
    HttpClient Http(Loop, HttpClient::Options{});
    PlatformClient Client(Http, "127.0.0.1:" + std::to_string(Server.port()));
    Result<StoredObject> Read = runOn(Loop, Client.read("kind", "a", 1s));
    BOOST_REQUIRE(errorOf(Read));
    BOOST_TEST((errorOf(Read)->Code == ErrorCode::StoreUnavailable), Version);
    WriteResult Written = runOn(Loop, Client.write("kind", "a", "v", 0, 1s));
    BOOST_TEST((Written.Outcome == WriteOutcome::Unknown), Version);
  }
}
