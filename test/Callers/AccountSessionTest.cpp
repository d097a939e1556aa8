// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE AccountSession
#include <boost/test/unit_test.hpp>

#include "Proxy/ProxyWorld.h"

#include <algorithm>

using namespace cicadawind;
using namespace cicadawind::test;
using cicadawind::emulator::RunRecord;

namespace {

/// A ProxyWorld whose configuration lists client accounts. The key of the
/// account "a1" is "key-a1", and so on.
struct AccountWorld : ProxyWorld {
  explicit AccountWorld(int Count = 2) {
    AccountDirectory Accounts;
    for (int I = 1; I <= Count; ++I)
      Accounts.add({.Name = nameOf(I), .Keys = {keyOf(I)}});
    apply(Accounts);
  }

  static std::string nameOf(int Account) {
    return "a" + std::to_string(Account);
  }
  static std::string keyOf(int Account) { return "key-" + nameOf(Account); }

  /// Applies the next version of the configuration, with \p Accounts.
  void apply(AccountDirectory Accounts, bool Public = false) {
    auto Next = std::make_shared<ProxyConfig>(*Config);
    ++Next->Version;
    Next->Accounts = std::move(Accounts);
    for (auto &[Name, Route] : Next->Routes)
      Route.Public = Public;
    Config = Next;
    Service->applyConfig(Next);
  }

  /// Applies a version whose only account is \p Name with \p Key.
  void applyOnly(const std::string &Name, const std::string &Key) {
    AccountDirectory Accounts;
    Accounts.add({.Name = Name, .Keys = {Key}});
    apply(std::move(Accounts));
  }

  /// Returns the accounts of the connections on which \p Id arrived.
  std::vector<std::string> accountsOf(const std::string &Id) const {
    std::vector<std::string> Out;
    for (const RunRecord &Each : recordsOf(Id))
      Out.push_back(Each.Account);
    return Out;
  }
};

bool beginsWith(const std::string &Text, const std::string &Start) {
  return Text.substr(0, Start.size()) == Start;
}

} // namespace

BOOST_AUTO_TEST_CASE(targetsAreToldTheAccountAndNotTheKey) {
  AccountWorld World;
  ProxyCaller First(World, "latest", "key-a1");
  ProxyCaller Second(World, "latest", "key-a2");
  for (int I = 0; I < 5; ++I) {
    First.ask("WRITE i1 x");
    BOOST_TEST(World.accountsOf(First.lastId()) ==
               std::vector<std::string>{"a1"});
    Second.ask("READ i1");
    BOOST_TEST(World.accountsOf(Second.lastId()) ==
               std::vector<std::string>{"a2"});
  }
  for (const RunRecord &Each : World.callersRecords())
    BOOST_TEST(Each.Account.find("key") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(anUnknownKeyIsRefusedAtOnce) {
  AccountWorld World;
  for (const std::string Key : {"key-a3", "a1", ""}) {
    ProxyCaller Caller(World, "latest", Key);
    BOOST_REQUIRE(Caller.opening().size() == 1);
    BOOST_TEST(beginsWith(Caller.opening()[0], "ERROR NOAUTH "));
    BOOST_TEST(Caller.isClosed());
  }
  BOOST_TEST(World.callersRecords().empty());
}

// The target accepts 8 connections, and each serves one account.
BOOST_AUTO_TEST_CASE(moreAccountsThanConnectionsAreServed) {
  constexpr int Count = 20;
  constexpr int Rounds = 3;
  AccountWorld World(Count);
  std::vector<std::unique_ptr<ProxyCaller>> Callers;
  for (int I = 1; I <= Count; ++I)
    Callers.push_back(
        std::make_unique<ProxyCaller>(World, "latest", AccountWorld::keyOf(I)));
  for (int Round = 0; Round < Rounds; ++Round)
    for (int I = 1; I <= Count; ++I) {
      ProxyCaller &Caller = *Callers[static_cast<std::size_t>(I - 1)];
      BOOST_TEST(beginsWith(Caller.ask("WRITE i1 x"), "COMPLETE r-"));
      BOOST_TEST(World.accountsOf(Caller.lastId()) ==
                 std::vector<std::string>{AccountWorld::nameOf(I)});
    }
}

BOOST_AUTO_TEST_CASE(aPublicRouteNeedsNoKey) {
  AccountWorld World;
  AccountDirectory Accounts = World.Config->Accounts;
  World.apply(Accounts, true);
  ProxyCaller Unknown(World, "latest", "nobody");
  BOOST_TEST(beginsWith(Unknown.ask("WRITE i1 x"), "COMPLETE r-"));
  BOOST_TEST(World.accountsOf(Unknown.lastId()).front() != "nobody");
  ProxyCaller Known(World, "latest", "key-a1");
  Known.ask("WRITE i1 x");
  BOOST_TEST(World.accountsOf(Known.lastId()).front() == "a1");
}

BOOST_AUTO_TEST_CASE(idleSessionsOfARemovedKeyAreClosed) {
  AccountWorld World;
  ProxyCaller Removed(World, "latest", "key-a1");
  ProxyCaller Kept(World, "latest", "key-a2");
  World.applyOnly("a2", "key-a2");
  BOOST_TEST(Removed.isClosed());
  BOOST_TEST(beginsWith(Kept.ask("WRITE i1 x"), "COMPLETE r-"));
}

BOOST_AUTO_TEST_CASE(aRemovedKeyEndsAnOpenTransaction) {
  for (const std::string Next : {"WRITE i1 z", "COMMIT", "READ i1"}) {
    AccountWorld World;
    ProxyCaller Caller(World, "latest", "key-a1");
    Caller.ask("BEGIN");
    Caller.ask("WRITE i1 x");
    World.applyOnly("a2", "key-a2");
    BOOST_TEST(beginsWith(Caller.ask(Next), "ERROR NOAUTH "));
    BOOST_TEST(World.recordsOf(Caller.lastId()).empty());
    World.runFor(std::chrono::milliseconds(100));
    BOOST_TEST(World.Group.read("a", "i1") == "");
  }
}

// The target refuses the statement as busy until its key is removed.
BOOST_AUTO_TEST_CASE(aRetriedStatementOfARemovedKeyIsNotRun) {
  AccountWorld World;
  ProxyCaller Caller(World, "latest", "key-a1");
  World.instance("a").Faults.Busy = 3;
  Caller.send("QUERY w1 WRITE i1 x");
  World.runUntil([&] { return !World.recordsOf("w1").empty(); });
  World.applyOnly("a2", "key-a2");
  std::vector<std::string> Response = Caller.receive();
  BOOST_REQUIRE(!Response.empty());
  BOOST_TEST(beginsWith(Response[0], "ERROR NOAUTH "));
  BOOST_TEST(World.Group.read("a", "i1") == "");
}

BOOST_AUTO_TEST_CASE(aKeyThatMovesRunsUnderItsNewAccount) {
  AccountWorld World;
  ProxyCaller Caller(World, "latest", "key-a1");
  Caller.ask("WRITE i1 x");
  World.applyOnly("b", "key-a1");
  Caller.ask("WRITE i1 y");
  BOOST_TEST(World.accountsOf(Caller.lastId()) ==
             std::vector<std::string>{"b"});
}

BOOST_AUTO_TEST_CASE(anOperationOverTheLimitIsRefusedAtOnceAndNotRun) {
  AccountWorld World;
  World.Service->setAdmit(
      [](const std::string &, TimePoint, const auto &Hook) -> std::uint64_t {
        Hook(PermitOutcome{.Result = PermitOutcome::Kind::OverLimit,
                           .RetryAfter = std::chrono::milliseconds(120)});
        return 0;
      },
      [](std::uint64_t) {});
  ProxyCaller Caller(World, "latest", "key-a1");
  BOOST_TEST(Caller.ask("WRITE i1 x") ==
             "ERROR BUSY the account is over its rate limit; retry in 120 ms | "
             "READY I -");
  BOOST_TEST(World.recordsOf(Caller.lastId()).empty());
}

BOOST_AUTO_TEST_CASE(aTransactionTakesOnePermit) {
  AccountWorld World;
  int Permits = 0;
  World.Service->setAdmit(
      [&](const std::string &Account, TimePoint,
          const auto &Hook) -> std::uint64_t {
        BOOST_TEST(Account == "a1");
        ++Permits;
        Hook(PermitOutcome{.Result = PermitOutcome::Kind::Granted});
        return 0;
      },
      [](std::uint64_t) {});
  ProxyCaller Caller(World, "latest", "key-a1");
  Caller.ask("BEGIN");
  Caller.ask("WRITE i1 x");
  Caller.ask("READ i1");
  Caller.ask("COMMIT");
  BOOST_TEST(Permits == 1);
  Caller.ask("READ i1");
  BOOST_TEST(Permits == 2);
}

BOOST_AUTO_TEST_CASE(aCallerThatLeavesCancelsItsWaitForAPermit) {
  AccountWorld World;
  std::uint64_t Cancelled = 0;
  World.Service->setAdmit([](const std::string &, TimePoint,
                             const auto &) -> std::uint64_t { return 7; },
                          [&](std::uint64_t Ticket) { Cancelled = Ticket; });
  ProxyCaller Caller(World, "latest", "key-a1");
  Caller.send("QUERY w1 WRITE i1 x");
  World.runFor(std::chrono::milliseconds(50));
  Caller.close();
  BOOST_TEST(World.runUntil([&] { return Cancelled == 7; }));
}

// After the start of all VMs there is no issuer for a moment. An operation
// waits for the first one, beyond the time that it would wait for a connection.
BOOST_AUTO_TEST_CASE(anOperationWaitsForTheFirstPermits) {
  AccountWorld World;
  TimePoint Expected = BootClock::now() + std::chrono::milliseconds(400);
  TimePoint WaitsUntil;
  std::function<void(const PermitOutcome &)> Waiting;
  World.Service->setAdmit(
      [&](const std::string &, TimePoint GiveUpAt,
          const auto &Hook) -> std::uint64_t {
        WaitsUntil = GiveUpAt;
        Waiting = Hook;
        return 1;
      },
      [](std::uint64_t) {}, Expected);
  ProxyCaller Caller(World, "latest", "key-a1");
  Caller.send("QUERY w1 WRITE i1 x");
  World.runUntil([&] { return Waiting != nullptr; });
  BOOST_TEST((WaitsUntil == Expected));
  World.runFor(std::chrono::milliseconds(350));
  Waiting(PermitOutcome{.Result = PermitOutcome::Kind::Granted});
  BOOST_TEST(beginsWith(Caller.receive().at(0), "COMPLETE r-w1"));
}
