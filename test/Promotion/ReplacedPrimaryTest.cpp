// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE ReplacedPrimary
#include <boost/test/unit_test.hpp>

#include "Promotion/PromotionWorld.h"

#include <string>
#include <vector>

// A primary that was replaced holds acknowledged writes that its successor
// lacks. Reads have been served without them, so they must not come back.

using namespace cicadawind;
using namespace cicadawind::test;

namespace {

/// A PromotionWorld in which "a", cut off from "b" and "c", has acknowledged a
/// write that they lack.
struct CutPrimaryWorld : PromotionWorld {
  CutPrimaryWorld() : Caller(*this, "latest") {
    Group.at("a").IsCut = true;
    BOOST_REQUIRE(Caller.ask("WRITE i1 x").starts_with("COMPLETE"));
  }
  /// Lets another VM promote \p Instance under the token \p Token, and this VM
  /// notice that "a" is not the primary any more.
  void promoteFromElsewhere(const std::string &Instance, std::uint64_t Token,
                            std::uint64_t NewerBy = 0) {
    recordDecision(Token, Instance, NewerBy);
    Promotions.carryOut(Instance, Token);
    Caller.send("QUERY read READ i1");
    BOOST_REQUIRE(runUntil([this] { return knownPrimary() != "a"; }));
  }
  const std::string &knownPrimary() {
    return Service->findGroup("g")->tracker().primary();
  }
  /// Lets no target but "a" reply.
  void silenceOthers() {
    for (const char *Id : {"b", "c"})
      instance(Id).Faults.Silent = true;
  }

  ProxyCaller Caller;
};

constexpr std::uint64_t OtherVmsToken = 100;

} // namespace

BOOST_AUTO_TEST_CASE(replacedPrimaryWithTheLongestLogIsNotPromotedAgain) {
  CutPrimaryWorld World;
  World.promoteFromElsewhere("b", OtherVmsToken);
  BOOST_REQUIRE(World.waitForPrimary("b"));
  World.instance("b").crash();
  BOOST_TEST(World.runUntil([&] { return World.Group.primary() != "b"; }));
  BOOST_TEST(World.Group.primary() == "c");
}

BOOST_AUTO_TEST_CASE(orderIsNotRepeatedOnceAnotherTargetBecamePrimary) {
  PromotionWorld World;
  World.Group.at("b").ReplicationPaused = true;
  ProxyCaller Caller(World, "latest");
  Caller.ask("WRITE i1 x");
  World.Promotions.LoseOrders = 1;
  World.Promotions.OnLostOrder = [&World] {
    World.recordDecision(OtherVmsToken, "b");
    World.Promotions.carryOut("b", OtherVmsToken);
  };
  World.instance("a").crash();
  BOOST_TEST(World.runUntil([&] { return World.Group.primary() == "b"; }));
  World.runFor(std::chrono::milliseconds(1500));
  BOOST_TEST(World.Group.primary() == "b");
  BOOST_TEST(World.Promotions.Instances.front() == "c");
}

BOOST_AUTO_TEST_CASE(vmThatKnowsNoPrimaryDoesNotPromoteTheReplacedOne) {
  CutPrimaryWorld World;
  World.silenceOthers();
  World.promoteFromElsewhere("b", OtherVmsToken);
  World.runFor(std::chrono::milliseconds(3500));
  BOOST_TEST(World.Group.primary() == "b");
  BOOST_TEST(World.Promotions.Tokens.empty());
}

BOOST_AUTO_TEST_CASE(
    vmWhoseListLacksTheNewPrimaryDoesNotPromoteTheReplacedOne) {
  CutPrimaryWorld World;
  std::vector<TargetEntry> Older = World.listedTargets();
  std::erase_if(Older,
                [](const TargetEntry &Each) { return Each.Instance != "a"; });
  World.Service->applyTargets(Older, World.Service->targetsRevision() + 1);
  constexpr Duration MissingRetention = std::chrono::milliseconds(2500);
  World.runFor(MissingRetention + std::chrono::milliseconds(500));
  constexpr std::uint64_t NewerBy = 1;
  World.promoteFromElsewhere("b", OtherVmsToken, NewerBy);
  World.runFor(std::chrono::milliseconds(2000));
  BOOST_TEST(World.Group.primary() == "b");
  BOOST_TEST(World.Promotions.Tokens.empty());
}

BOOST_AUTO_TEST_CASE(reservedTokenDoesNotPromoteTheReplacedPrimary) {
  CutPrimaryWorld World;
  World.silenceOthers();
  World.promoteFromElsewhere("b", OtherVmsToken);
  // A token that was reserved before would be refused. This one is reserved
  // after the other VM's claim, and used without the store.
  World.runFor(std::chrono::milliseconds(300));
  World.Store.Outage = true;
  World.runFor(std::chrono::milliseconds(3000));
  BOOST_TEST(World.Group.primary() == "b");
  BOOST_TEST(World.Promotions.Tokens.empty());
}

BOOST_AUTO_TEST_CASE(orderIsNotRepeatedOnceTheLostPrimaryRepliesAgain) {
  PromotionWorld World;
  ProxyCaller Caller(World, "latest");
  World.Promotions.LoseOrders = 1;
  World.Promotions.LostOrderTime = std::chrono::milliseconds(1000);
  World.Promotions.OnLostOrder = [&World] {
    World.instance("a").Faults.Silent = false;
  };
  World.instance("a").Faults.Silent = true;
  Caller.send("QUERY write WRITE i1 x");
  BOOST_REQUIRE(
      World.runUntil([&] { return !World.Promotions.Tokens.empty(); }));
  World.runFor(std::chrono::milliseconds(2000));
  BOOST_TEST(World.Promotions.Tokens.size() == 1);
  BOOST_TEST(World.Group.primary() == "a");
}

// The survey finds no target that may be promoted, and the store is away.
BOOST_AUTO_TEST_CASE(refusedDecisionDoesNotUseUpTheReservedToken) {
  PromotionWorld World;
  World.runFor(std::chrono::milliseconds(300));
  World.Store.Outage = true;
  for (const char *Id : {"b", "c"})
    World.instance(Id).Faults.Silent = true;
  World.instance("a").crash();
  World.runFor(std::chrono::milliseconds(1800));
  BOOST_TEST(World.Group.primary() == "a");
  for (const char *Id : {"b", "c"}) {
    World.instance(Id).Faults.Silent = false;
    World.instance(Id).resetConnections();
  }
  BOOST_TEST(World.runUntil([&] { return World.Group.primary() != "a"; }));
}

// The cause of review/6: another VM promoted "b" under a reserved token while
// the store was away, and this VM, which reaches "a" alone, is the first to
// reach the store again. Reads at "b" lacked the write that only "a" has.
BOOST_AUTO_TEST_CASE(vmBesideTheReplacedPrimaryKnowsWhatWasDecidedUnseen) {
  CutPrimaryWorld World;
  World.silenceOthers();
  World.prepareDecision(OtherVmsToken, "a", "b");
  World.Promotions.carryOut("b", OtherVmsToken);
  World.Caller.send("QUERY read READ i1");
  BOOST_REQUIRE(World.runUntil([&] { return World.knownPrimary() != "a"; }));
  World.runFor(std::chrono::milliseconds(3500));
  BOOST_TEST(World.Group.primary() == "b");
  BOOST_TEST(World.Promotions.Tokens.empty());
}

// The same while the primary that the store names is only out of this VM's
// reach: its silence alone is no evidence against it.
BOOST_AUTO_TEST_CASE(vmThatReachesTheNamedTargetAloneReplacesNoPrimary) {
  PromotionWorld World;
  World.prepareDecision(OtherVmsToken, "a", "b");
  World.instance("a").Faults.Silent = true;
  World.Service->findGroup("g")->tracker().forget("a");
  World.runFor(std::chrono::milliseconds(500));
  World.Service->findGroup("g")->tracker().forget("a");
  World.listSilentVms(2);
  World.runFor(std::chrono::milliseconds(2500));
  BOOST_TEST(World.Group.primary() == "a");
  BOOST_TEST(World.Promotions.Tokens.empty());
}

// A decision without the store is for the target that the store names, although
// another one has the longer log, so that every other VM can know of it.
BOOST_AUTO_TEST_CASE(decisionWithoutTheStoreIsTheOneThatTheStoreNames) {
  PromotionWorld World;
  ProxyCaller Caller(World, "latest");
  World.Group.at("b").ReplicationPaused = true;
  BOOST_REQUIRE(
      World.runUntil([&] { return World.storedPreparedTarget() == "b"; }));
  Caller.ask("WRITE i1 x");
  World.Store.Outage = true;
  World.instance("a").crash();
  BOOST_TEST(World.runUntil([&] { return World.Group.primary() != "a"; }));
  BOOST_TEST(World.Group.primary() == "b");
}
