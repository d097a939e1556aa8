// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE AcknowledgedCommits
#include <boost/test/unit_test.hpp>

#include "Promotion/PromotionWorld.h"

#include <chrono>
#include <string>

// Where a commit is acknowledged once a replica has received it, a promotion
// must not take a target that lacks it. The emulated group keeps what every
// promotion rolls back.

using namespace cicadawind;
using namespace cicadawind::test;
using std::chrono::milliseconds;

namespace {

/// A PromotionWorld of a group that promises that one replica has received what
/// it acknowledges.
struct SyncWorld : PromotionWorld {
  SyncWorld() { setSynchronousReplicas(1); }

  /// Commits a write that "b" does not receive.
  void writeWithoutB() {
    Group.at("b").ReplicationPaused = true;
    BOOST_TEST(Writer.ask("WRITE i1 kept").starts_with("COMPLETE"));
  }
  /// Returns whether the store has the decision to promote \p Instance.
  bool hasDecisionFor(const std::string &Instance) {
    nlohmann::json Json = nlohmann::json::parse(
        Store.valueOf("cicadawind-promotions", "g"), nullptr, false);
    return Json.is_object() && Json.value("target", "") == Instance;
  }
  /// Lets the primary leave, and commits a write that "b" does not receive as
  /// soon as the hand-over to "b" is decided.
  void leaveAndWriteAfterTheDecision() {
    for (const char *Id : {"a", "c"})
      instance(Id).Faults.Work = milliseconds(5);
    onSweep([this](TimePoint Now) {
      Driver.sweep(Now);
      bool IsDue = Group.primary() == "a" && hasDecisionFor("b");
      if (!IsDue || Group.at("b").ReplicationPaused)
        return;
      Group.at("b").ReplicationPaused = true;
      Group.commit("a", "i1", "kept", "late", Now);
    });
    Leaving = {"a"};
    applyListedTargets();
  }

  ProxyCaller Writer{*this, "latest"};
};

} // namespace

// Guards against review/11: a target that a VM which has ended had only named
// is promoted, although another replica that replies has received more.
BOOST_AUTO_TEST_CASE(targetThatWasOnlyNamedIsNotPromotedIfAnotherIsAhead) {
  SyncWorld World;
  World.prepareDecision(5, "a", "b");
  World.writeWithoutB();
  World.instance("a").crash();
  BOOST_TEST(World.waitForPrimary("c"));
  BOOST_TEST(World.Group.rolledBack() == 0);
}

// The same with an order that another VM had decided on and that nobody knows
// to have been carried out.
BOOST_AUTO_TEST_CASE(recordedTargetIsNotPromotedIfAnotherIsAhead) {
  SyncWorld World;
  World.recordDecision(5, "b");
  World.writeWithoutB();
  World.instance("a").crash();
  BOOST_TEST(World.waitForPrimary("c"));
  BOOST_TEST(World.Group.rolledBack() == 0);
}

// The same while the store, which alone could record another target, is away.
BOOST_AUTO_TEST_CASE(namedTargetThatIsBehindIsNotPromotedWithoutTheStore) {
  SyncWorld World;
  BOOST_REQUIRE(
      World.runUntil([&] { return World.storedPreparedTarget() == "b"; }));
  World.writeWithoutB();
  World.Store.Outage = true;
  World.instance("a").crash();
  World.runFor(milliseconds(2500));
  BOOST_TEST(World.Group.primary() == "a");
  World.Store.Outage = false;
  BOOST_TEST(World.waitForPrimary("c"));
  BOOST_TEST(World.Group.rolledBack() == 0);
}

// Guards against review/15: a replica that is busy is passed over, and the
// acknowledged commits with it.
BOOST_AUTO_TEST_CASE(busyReplicaIsAskedAgain) {
  SyncWorld World;
  World.writeWithoutB();
  World.instance("c").Faults.Busy = 20;
  World.instance("a").crash();
  BOOST_TEST(World.waitForPrimary("c"));
  BOOST_TEST(World.Group.rolledBack() == 0);
}

// Guards against a choice without a replica that does not answer. It may hold
// acknowledged commits until the registry drops it.
BOOST_AUTO_TEST_CASE(silentReplicaIsAwaitedWhileItIsListed) {
  SyncWorld World;
  World.writeWithoutB();
  World.instance("c").Faults.Silent = true;
  World.instance("a").crash();
  World.runFor(milliseconds(3000));
  BOOST_TEST(World.Group.primary() == "a");
  World.instance("c").Faults.Silent = false;
  World.instance("c").resetConnections();
  BOOST_TEST(World.waitForPrimary("c"));
  BOOST_TEST(World.Group.rolledBack() == 0);
}

// Guards against a wait that never ends.
BOOST_AUTO_TEST_CASE(replicaThatTheRegistryDropsIsNotAwaited) {
  SyncWorld World;
  World.instance("c").crash();
  World.instance("a").crash();
  World.runFor(milliseconds(1500));
  BOOST_TEST(World.Group.primary() == "a");
  World.applyListedTargets();
  BOOST_TEST(World.waitForPrimary("b"));
}

// Guards against an outage that the proof would bring where one target is lost.
BOOST_AUTO_TEST_CASE(lostPrimaryAloneDelaysNothing) {
  SyncWorld World;
  TimePoint Start = BootClock::now();
  World.instance("a").crash();
  BOOST_TEST(World.runUntil([&] { return World.Group.primary() != "a"; }));
  BOOST_TEST((BootClock::now() - Start < milliseconds(1500)));
}

// Guards against review/12: a hand-over goes on to a target that is known to
// lack what the leaving primary wrote before it stepped down.
BOOST_AUTO_TEST_CASE(handOverDecidesAfterTheFinalPosition) {
  SyncWorld World;
  World.leaveAndWriteAfterTheDecision();
  BOOST_TEST(World.waitForPrimary("c"));
  BOOST_TEST(World.Group.at("b").ReplicationPaused);
  BOOST_TEST(World.Group.rolledBack() == 0);
}

// The same where the store cannot record another target: nobody is promoted
// until it can, or until the chosen one has received the rest.
BOOST_AUTO_TEST_CASE(handOverWithoutTheStoreWaitsForTheChosenTarget) {
  SyncWorld World;
  World.leaveAndWriteAfterTheDecision();
  BOOST_REQUIRE(World.runUntil([&] { return World.hasDecisionFor("b"); }));
  World.Store.Outage = true;
  World.runFor(milliseconds(1500));
  BOOST_TEST(World.Group.primary() != "b");
  World.Group.at("b").ReplicationPaused = false;
  World.Store.Outage = false;
  BOOST_TEST(World.runUntil([&] { return !World.Group.primary().empty(); }));
  BOOST_TEST(World.Group.rolledBack() == 0);
}

// Guards against an order while the leaving primary goes on writing.
BOOST_AUTO_TEST_CASE(primaryThatRefusesToStepDownIsAskedAgain) {
  SyncWorld World;
  World.leaveAndWriteAfterTheDecision();
  World.instance("a").Faults.BusyDemotes = 5;
  BOOST_TEST(World.waitForPrimary("c"));
  BOOST_TEST(World.Group.rolledBack() == 0);
}

// Guards against a hand-over that waits for a primary which is lost meanwhile.
BOOST_AUTO_TEST_CASE(leavingPrimaryThatIsLostIsReplacedWithoutItsStepDown) {
  SyncWorld World;
  World.Leaving = {"a"};
  World.applyListedTargets();
  World.instance("a").crash();
  BOOST_TEST(World.runUntil([&] { return World.Group.primary() != "a"; }));
  BOOST_TEST(World.Group.rolledBack() == 0);
}
