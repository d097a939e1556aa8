// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE LeasedPromotion
#include <boost/test/unit_test.hpp>

#include "Daemons/ProxyStatus.h"
#include "Leases/LeasedPrimaryGuard.h"
#include "Promotion/LeasedFleet.h"

#include <nlohmann/json.hpp>

#include <set>

using namespace cicadawind;
using namespace cicadawind::test;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(writesRunUnderALease) {
  LeasedFleet Fleet;
  BOOST_REQUIRE(Fleet.waitForLeases("a"));
  BOOST_TEST(Fleet.ask(0, "latest", "WRITE i1 x").starts_with("COMPLETE"));
  BOOST_TEST(Fleet.ask(1, "latest", "READ i1") == "ROW x");
  BOOST_TEST(Fleet.Promotions.Orders.empty());
}

// All VMs have promised a promotion and given up their leases, so a primary of
// a newer term may serve soon.
BOOST_AUTO_TEST_CASE(nothingIsSentToThePrimaryWithoutALease) {
  LeasedFleet Fleet;
  BOOST_REQUIRE(Fleet.waitForLeases("a"));
  Fleet.openProposal("vm-9", 2);
  std::string Answer = Fleet.ask(0, "latest", "WRITE i1 x");
  BOOST_TEST(Answer.starts_with("ERROR BUSY"));
  BOOST_TEST(Fleet.runsOf("a", Fleet.lastId()) == 0);
  Answer = Fleet.ask(0, "latest", "READ i1");
  BOOST_TEST(Answer.starts_with("ERROR BUSY"));
  BOOST_TEST(Fleet.runsOf("a", Fleet.lastId()) == 0);
}

BOOST_AUTO_TEST_CASE(aLostPrimaryIsReplacedOnceNoVmLeasesIt) {
  LeasedFleet Fleet;
  BOOST_REQUIRE(Fleet.waitForLeases("a"));
  Fleet.cut("a");
  BOOST_REQUIRE(Fleet.runUntil([&] { return Fleet.Group.term() == 2; }));
  BOOST_TEST(Fleet.Promotions.Orders.size() == 1);
  std::string NewPrimary = Fleet.Group.primary();
  BOOST_TEST(NewPrimary != "a");
  BOOST_TEST(Fleet.waitForLeases(NewPrimary));
  BOOST_TEST(Fleet.ask(0, "latest", "WRITE i1 x").starts_with("COMPLETE"));
  BOOST_TEST(Fleet.runsOf(NewPrimary, Fleet.lastId()) == 1);
}

// A primary that returns after it was replaced still claims to lead. It must
// get nothing but the request to step down.
BOOST_AUTO_TEST_CASE(aReplacedPrimaryThatReturnsIsDemoted) {
  LeasedFleet Fleet;
  BOOST_REQUIRE(Fleet.waitForLeases("a"));
  Fleet.cut("a");
  BOOST_REQUIRE(Fleet.runUntil([&] { return Fleet.Group.term() == 2; }));
  std::string NewPrimary = Fleet.Group.primary();
  BOOST_REQUIRE(Fleet.waitForLeases(NewPrimary));
  Fleet.Group.at("a").IsPrimary = true;
  Fleet.Group.at("a").CurrentTerm = 1;
  Fleet.Group.at("a").ReplacedAt.reset();
  Fleet.heal("a");
  std::set<std::string> Ids;
  bool IsDemoted = Fleet.runUntil([&] {
    Fleet.ask(0, "latest", "WRITE i1 x");
    Ids.insert(Fleet.lastId());
    return !Fleet.Group.at("a").IsPrimary;
  });
  BOOST_TEST(IsDemoted);
  for (const std::string &Id : Ids)
    BOOST_TEST(Fleet.runsOf("a", Id) == 0);
}

// One VM is cut from the primary. The others reach it and refuse to replace it.
BOOST_AUTO_TEST_CASE(aPrimaryThatAVmReachesIsNotReplaced) {
  LeasedFleet Fleet;
  BOOST_REQUIRE(Fleet.waitForLeases("a"));
  Fleet.cut("a", 0);
  Fleet.runFor(milliseconds(2500));
  BOOST_TEST(Fleet.Promotions.Orders.empty());
  BOOST_TEST(Fleet.Vms[1]->leases("a"));
  BOOST_TEST(Fleet.ask(1, "latest", "WRITE i1 x").starts_with("COMPLETE"));
}

// The platform carries out an order late, after its reply was lost. An order
// for another target would then leave the group with two primaries.
BOOST_AUTO_TEST_CASE(anUnansweredOrderIsRepeatedForTheSameTargetOnly) {
  LeasedFleet Fleet;
  BOOST_REQUIRE(Fleet.waitForLeases("a"));
  Fleet.Promotions.Late = 2;
  Fleet.Promotions.LateBy = milliseconds(3000);
  Fleet.cut("a");
  BOOST_REQUIRE(Fleet.runUntil([&] { return Fleet.Group.term() == 2; }));
  std::set<std::string> Targets;
  std::set<std::uint64_t> Tokens;
  for (const auto &Order : Fleet.Promotions.Orders) {
    Targets.insert(Order.Instance);
    Tokens.insert(Order.Token);
  }
  BOOST_TEST(Targets.size() == 1);
  BOOST_TEST(Tokens.size() == Fleet.Promotions.Orders.size());
  // The late orders change nothing.
  Fleet.runFor(milliseconds(3500));
  BOOST_TEST(Fleet.Group.term() == 2);
}

// A VM that does not answer may still use the old primary, so the order waits
// until its lease is over.
BOOST_AUTO_TEST_CASE(theOrderWaitsForAVmThatDoesNotAnswer) {
  LeasedFleet Fleet;
  BOOST_REQUIRE(Fleet.waitForLeases("a"));
  Fleet.Vms[2]->Peers.reset();
  Fleet.Vms[2]->IsFrozen = true;
  TimePoint LeaseEnd = *Fleet.Vms[2]->group().guard().lease()->validUntil();
  Fleet.cut("a");
  BOOST_REQUIRE(
      Fleet.runUntil([&] { return !Fleet.Promotions.Orders.empty(); }));
  BOOST_TEST((BootClock::now() > LeaseEnd));
  for (const char *Id : {"b", "c"})
    BOOST_TEST(Fleet.Group.at(Id).PausedUpTo >= 2);
}

// The reply to a write arrives after the VM gave up its lease: the write may
// have been committed by a primary that had been replaced.
BOOST_AUTO_TEST_CASE(aReplyAfterTheEndOfTheLeaseIsInDoubt) {
  LeasedFleet Fleet;
  BOOST_REQUIRE(Fleet.waitForLeases("a"));
  Fleet.Vms[0]->Paths.at("a")->Faults.Work = milliseconds(250);
  boost::asio::steady_timer Timer(Fleet.Loop, milliseconds(120));
  Timer.async_wait([&](const auto &) {
    Fleet.openProposal("vm-9", 2);
    Fleet.Group.promote("b", BootClock::now());
  });
  std::string Answer = Fleet.ask(0, "latest", "WRITE i1 x");
  BOOST_TEST(Fleet.runsOf("a", Fleet.lastId()) == 1);
  BOOST_TEST(Answer.starts_with("ERROR INDOUBT"));
}

// A promotion that its holder did not finish blocks the use of a healthy
// primary until another VM ends it.
BOOST_AUTO_TEST_CASE(anAbandonedPromotionIsEnded) {
  LeasedFleet Fleet;
  BOOST_REQUIRE(Fleet.waitForLeases("a"));
  Fleet.openProposal("vm-9", 2);
  for (const char *Id : {"b", "c"})
    Fleet.Group.pause(Id, 2);
  BOOST_TEST(Fleet.waitForLeases("a"));
  BOOST_TEST(Fleet.Promotions.Orders.empty());
  for (const char *Id : {"b", "c"})
    BOOST_TEST(Fleet.Group.at(Id).PausedUpTo == 0);
}

BOOST_AUTO_TEST_CASE(theStatusContainsTheLease) {
  LeasedFleet Fleet;
  BOOST_REQUIRE(Fleet.waitForLeases("a"));
  LeasedFleet::Vm &Vm = *Fleet.Vms[0];
  auto LeaseOf = [&] {
    nlohmann::json Status = statusOf(*Vm.Service, *Vm.Peers, BootClock::now());
    return Status["groups"][0]["lease"];
  };
  nlohmann::json Lease = LeaseOf();
  BOOST_REQUIRE(Lease.is_object());
  BOOST_TEST(Lease["held"] == true);
  BOOST_TEST(Lease["remaining_ms"] > 0);
  BOOST_TEST(Lease["blocked"] == false);
  Fleet.openProposal("vm-9", 2);
  BOOST_TEST(LeaseOf()["held"] == false);
  BOOST_TEST(LeaseOf()["blocked"] == true);
}
