// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE PromotionDriver
#include <boost/test/unit_test.hpp>

#include "Promotion/PromotionWorld.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace cicadawind;
using namespace cicadawind::test;

BOOST_AUTO_TEST_CASE(lostPrimaryIsReplacedByReplicaWithLongestLog) {
  PromotionWorld World;
  ProxyCaller Caller(World, "latest");
  World.Group.at("b").ReplicationPaused = true;
  Caller.ask("WRITE i1 kept");
  TimePoint Start = BootClock::now();
  World.instance("a").crash();
  BOOST_TEST(World.waitForPrimary("c"));
  BOOST_TEST((BootClock::now() - Start < std::chrono::seconds(3)));
  BOOST_TEST(World.Group.rolledBack() == 0);
  BOOST_TEST(Caller.ask("READ i1").starts_with("ROW kept"));
}

BOOST_AUTO_TEST_CASE(healthyPrimaryIsNotReplaced) {
  PromotionWorld World;
  ProxyCaller Caller(World, "own");
  for (int I = 0; I < 100; ++I) {
    Caller.ask("WRITE i1 x");
    Caller.ask("READ i1");
    World.runFor(std::chrono::milliseconds(10));
  }
  BOOST_TEST(World.Promotions.Tokens.empty());
}

// Callers hold all connections to the replicas. If the survey waited behind
// their queued statements, failover would be late and a replica with a shorter
// log might be chosen.
BOOST_AUTO_TEST_CASE(surveyIsNotDelayedByQueuedStatements) {
  PromotionWorld World;
  for (const char *Id : {"b", "c"})
    World.instance(Id).Faults.Work = std::chrono::milliseconds(40);
  constexpr int CallerCount = 40;
  std::vector<std::unique_ptr<ProxyCaller>> Callers;
  Callers.reserve(CallerCount);
  for (int I = 0; I < CallerCount; ++I)
    Callers.push_back(std::make_unique<ProxyCaller>(World, "bounded"));
  ProxyCaller Writer(World, "latest");
  World.Group.at("b").ReplicationPaused = true;
  Writer.ask("WRITE i1 kept");
  // Two seconds of work for the connections to the replicas.
  constexpr int StatementsPerCaller = 20;
  for (auto &Caller : Callers)
    for (int I = 0; I < StatementsPerCaller; ++I)
      Caller->send("QUERY many READ i1");
  TimePoint Start = BootClock::now();
  World.instance("a").crash();
  BOOST_TEST(World.runUntil([&] { return World.Group.primary() == "c"; }));
  BOOST_TEST((BootClock::now() - Start < std::chrono::milliseconds(1500)));
  BOOST_TEST(World.Group.rolledBack() == 0);
}

BOOST_AUTO_TEST_CASE(plannedSwitchoverLosesNoWrite) {
  PromotionWorld World;
  ProxyCaller Caller(World, "latest");
  for (const char *Id : {"b", "c"}) {
    World.Group.at(Id).Lag = std::chrono::milliseconds(100);
    World.Group.at(Id).ReplicationPaused = true;
  }
  Caller.ask("WRITE i1 kept");
  World.Leaving = {"a"};
  World.applyListedTargets();
  // The old primary has been demoted, and the successor has not received the
  // write yet.
  BOOST_TEST(World.runUntil([&] { return World.Group.primary().empty(); }));
  World.runFor(std::chrono::milliseconds(60));
  BOOST_TEST(World.Group.primary() == "");
  for (const char *Id : {"b", "c"})
    World.Group.at(Id).ReplicationPaused = false;
  BOOST_TEST(World.runUntil([&] { return !World.Group.primary().empty(); }));
  BOOST_TEST(World.Group.rolledBack() == 0);
  BOOST_TEST(World.waitForPrimary(World.Group.primary()));
  BOOST_TEST(Caller.ask("READ i1").starts_with("ROW kept"));
}

BOOST_AUTO_TEST_CASE(orderWithoutReplyIsRepeatedAsItWas) {
  PromotionWorld World;
  World.Promotions.LoseOrders = 2;
  TimePoint Start = BootClock::now();
  World.instance("a").crash();
  BOOST_TEST(World.runUntil([&] { return World.Group.primary() != "a"; }));
  BOOST_TEST((BootClock::now() - Start < std::chrono::milliseconds(1500)));
  const std::vector<std::uint64_t> &Tokens = World.Promotions.Tokens;
  const std::vector<std::string> &Instances = World.Promotions.Instances;
  BOOST_TEST(Tokens.size() == 3);
  BOOST_TEST(std::set(Tokens.begin(), Tokens.end()).size() == 1);
  BOOST_TEST(std::set(Instances.begin(), Instances.end()).size() == 1);
}

// The platform may carry out an order late, after its reply was lost. If an
// order for another target had the same token, the platform could not refuse
// the outdated one.
BOOST_AUTO_TEST_CASE(ordersForDifferentTargetsCarryRisingTokens) {
  PromotionWorld World;
  World.Group.at("b").ReplicationPaused = true;
  ProxyCaller Caller(World, "latest");
  Caller.ask("WRITE i1 kept");
  World.Promotions.LoseOrders = 100;
  World.instance("a").crash();
  BOOST_REQUIRE(
      World.runUntil([&] { return !World.Promotions.Tokens.empty(); }));
  World.instance("c").crash();
  World.applyListedTargets();
  BOOST_REQUIRE(
      World.runUntil([&] { return World.Promotions.Instances.back() == "b"; }));
  World.Promotions.LoseOrders = 0;
  BOOST_TEST(World.runUntil([&] { return World.Group.primary() == "b"; }));
  const std::vector<std::uint64_t> &Tokens = World.Promotions.Tokens;
  const std::vector<std::string> &Instances = World.Promotions.Instances;
  BOOST_TEST(Instances.front() == "c");
  for (std::size_t I = 1; I < Tokens.size(); ++I)
    BOOST_TEST((Instances[I] == Instances[I - 1] || Tokens[I] > Tokens[I - 1]));
}

BOOST_AUTO_TEST_CASE(reservedTokenAllowsPromotionWhileStoreIsUnavailable) {
  PromotionWorld World;
  World.runFor(std::chrono::milliseconds(100));
  World.Store.Outage = true;
  TimePoint Start = BootClock::now();
  World.instance("a").crash();
  BOOST_TEST(World.runUntil([&] { return World.Group.primary() != "a"; }));
  BOOST_TEST((BootClock::now() - Start < std::chrono::seconds(3)));
}

BOOST_AUTO_TEST_CASE(tokenOfClaimWithoutReplyIsNotUsed) {
  PromotionWorld World;
  World.Store.LoseAnswers = 1;
  BOOST_REQUIRE(World.runUntil([&] { return World.Store.LoseAnswers == 0; }));
  World.Promotions.LoseOrders = 1;
  World.instance("a").crash();
  BOOST_TEST(World.runUntil([&] { return World.Group.primary() != "a"; }));
  constexpr std::uint64_t FirstToken = 1;
  for (std::uint64_t Token : World.Promotions.Tokens)
    BOOST_TEST(Token > FirstToken);
}

// If two VMs promoted one after the other, the second one would replace the
// primary that the first one had just promoted.
BOOST_AUTO_TEST_CASE(vmWaitsWhilePeerPromotes) {
  PromotionWorld World;
  World.addPeer();
  World.Peer->send(PromotionNotice{.From = "vm-2", .Group = "g", .Token = 5});
  World.runFor(std::chrono::milliseconds(50));
  TimePoint Start = BootClock::now();
  World.instance("a").crash();
  World.runFor(std::chrono::milliseconds(1200));
  BOOST_TEST(World.Promotions.Tokens.empty());
  BOOST_TEST(World.runUntil([&] { return World.Group.primary() != "a"; }));
  BOOST_TEST((BootClock::now() - Start < std::chrono::seconds(3)));
}

BOOST_AUTO_TEST_CASE(peersAreNotifiedBeforeOrder) {
  PromotionWorld World;
  World.addPeer();
  World.instance("a").crash();
  BOOST_TEST(World.runUntil(
      [&] { return !World.Peer->received<PromotionNotice>().empty(); }));
  BOOST_TEST(World.Promotions.Tokens.empty());
  BOOST_TEST(World.runUntil([&] { return World.Group.primary() != "a"; }));
}

// One request without a reply, while other requests get theirs, is slow. It
// must not make the primary suspect.
BOOST_AUTO_TEST_CASE(primaryThatRepliesToOtherRequestsIsNotSuspect) {
  PromotionWorld World;
  ProxyCaller Slow(World, "latest");
  ProxyCaller Others(World, "latest");
  World.instance("a").Faults.Silent = true;
  Slow.send("QUERY slow WRITE i1 x");
  World.runFor(std::chrono::milliseconds(20));
  World.instance("a").Faults.Silent = false;
  bool WasSuspect = false;
  World.onSweep([&](TimePoint Now) {
    WasSuspect |=
        World.Service->findGroup("g")->failureDetector().isSuspect(Now);
    World.Driver.sweep(Now);
  });
  TimePoint Start = BootClock::now();
  while (BootClock::now() - Start < std::chrono::milliseconds(600)) {
    Others.ask("WRITE i2 y");
    World.runFor(std::chrono::milliseconds(7));
  }
  BOOST_TEST(!WasSuspect);
  BOOST_TEST(World.Promotions.Tokens.empty());
}

// A VM that is cut off from the others and from the primary cannot tell whether
// the others still use the primary. A promotion would discard their writes.
BOOST_AUTO_TEST_CASE(vmThatReachesNoMajorityDoesNotReplaceThePrimary) {
  PromotionWorld World(std::chrono::milliseconds(500));
  ProxyCaller Caller(World, "latest");
  Caller.ask("WRITE i1 x");
  World.listSilentVms(2);
  World.instance("a").crash();
  // Three times the time after which the silent VMs no longer count as live.
  World.runFor(std::chrono::milliseconds(1500));
  BOOST_TEST(World.Peers.livePeers(BootClock::now()).empty());
  BOOST_TEST(World.Promotions.Tokens.empty());
}

// Peers wait for a limited time after each notice.
BOOST_AUTO_TEST_CASE(peersAreNotifiedBeforeEachRepeatedOrder) {
  PromotionWorld World;
  World.addPeer();
  World.Promotions.LoseOrders = 4;
  World.instance("a").crash();
  BOOST_TEST(World.runUntil([&] { return World.Group.primary() != "a"; }));
  std::size_t Notices = 0;
  for (const PromotionNotice &Each : World.Peer->received<PromotionNotice>())
    Notices += Each.Token > 0 ? 1 : 0;
  BOOST_TEST(World.Promotions.Tokens.size() == 5);
  BOOST_TEST(Notices >= World.Promotions.Tokens.size());
}
