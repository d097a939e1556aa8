#define BOOST_TEST_MODULE PrimaryLease
#include <boost/test/unit_test.hpp>

#include "Leases/LeasedPrimaryGuard.h"
#include "Leases/PrimaryLease.h"
#include "Statements/TargetStatus.h"

using namespace cicadawind;
using std::chrono::milliseconds;
using Outcome = PrimaryLease::VoteOutcome;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

TimePoint at(int Ms) { return Start + milliseconds(Ms); }

TargetStatus primaryOf(Term Leads) {
  return TargetStatus{.IsPrimary = true, .CurrentTerm = Leads};
}

TargetStatus replicaOf(Term Follows, Term PausedUpTo = 0) {
  return TargetStatus{.CurrentTerm = Follows,
                      .ReceivePausedUpToTerm = PausedUpTo};
}

/// A lease on "a" in term 1, with the replicas "b" and "c", on a VM that the
/// other VMs have supported once.
struct EstablishedLease : PrimaryLease {
  EstablishedLease() : PrimaryLease({}, Start) {
    setPrimary("a");
    setReplicas({"b", "c"}, at(0));
    recordStatus("a", primaryOf(1), at(0));
    recordVotes(1, Outcome::Supported, at(-900));
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(aReplicaSupportsTheLeaseForItsLength) {
  EstablishedLease Lease;
  Lease.recordStatus("b", replicaOf(1), at(100));
  BOOST_TEST(Lease.isValidAt(at(1099)));
  BOOST_TEST(!Lease.isValidAt(at(1100)));
}

BOOST_AUTO_TEST_CASE(aPausedReplicaDoesNotSupportTheLease) {
  EstablishedLease Lease;
  Lease.recordStatus("b", replicaOf(1, 2), at(100));
  BOOST_TEST(!Lease.isValidAt(at(150)));
  BOOST_TEST(Lease.isBlocked());
  Lease.recordStatus("c", replicaOf(1), at(100));
  BOOST_TEST(Lease.isValidAt(at(150)));
}

BOOST_AUTO_TEST_CASE(aNewerTermEndsTheLease) {
  EstablishedLease Lease;
  Lease.recordStatus("b", replicaOf(1), at(100));
  Lease.recordStatus("c", replicaOf(2), at(110));
  BOOST_TEST(Lease.isSuperseded());
  BOOST_TEST(!Lease.isValidAt(at(120)));
}

BOOST_AUTO_TEST_CASE(aPrimaryThatReportsToBeAReplicaIsNotLeased) {
  EstablishedLease Lease;
  Lease.recordStatus("b", replicaOf(1), at(100));
  Lease.recordStatus("a", replicaOf(1), at(110));
  BOOST_TEST(!Lease.isValidAt(at(120)));
}

BOOST_AUTO_TEST_CASE(replicasDoNotRenewALeaseThatWasGivenUp) {
  EstablishedLease Lease;
  Lease.recordStatus("b", replicaOf(1), at(100));
  Lease.giveUp(2, at(200));
  Lease.recordStatus("b", replicaOf(1), at(300));
  Lease.recordPeerEvidence(1, at(300), true);
  // Replies that arrived before the lease was given up are still covered.
  BOOST_TEST(Lease.isValidAt(at(199)));
  BOOST_TEST(!Lease.isValidAt(at(200)));
  BOOST_TEST(!Lease.isValidAt(at(301)));
}

BOOST_AUTO_TEST_CASE(votesRenewALeaseThatWasGivenUp) {
  EstablishedLease Lease;
  Lease.giveUp(2, at(200));
  Lease.recordVotes(1, Outcome::Supported, at(300));
  BOOST_TEST(Lease.isValidAt(at(310)));
}

BOOST_AUTO_TEST_CASE(replicasRenewTheLeaseAfterTheCancellation) {
  EstablishedLease Lease;
  Lease.giveUp(2, at(200));
  Lease.recordStatus("b", replicaOf(1), at(250));
  Lease.allowRenewal(at(300));
  BOOST_TEST(!Lease.isValidAt(at(310)));
  Lease.recordStatus("b", replicaOf(1), at(320));
  BOOST_TEST(Lease.isValidAt(at(330)));
}

BOOST_AUTO_TEST_CASE(aSecondProposalDoesNotExtendALeaseThatWasGivenUp) {
  EstablishedLease Lease;
  Lease.recordStatus("b", replicaOf(1), at(100));
  Lease.giveUp(2, at(200));
  Lease.recordStatus("b", replicaOf(1), at(300));
  Lease.giveUp(3, at(400));
  BOOST_TEST(!Lease.isValidAt(at(250)));
}

BOOST_AUTO_TEST_CASE(aVmThatHasJustStartedNeedsAllReplicas) {
  PrimaryLease Lease({}, Start);
  Lease.setPrimary("a");
  Lease.setReplicas({"b", "c"}, at(0));
  Lease.recordStatus("a", primaryOf(1), at(0));
  Lease.recordStatus("b", replicaOf(1), at(10));
  BOOST_TEST(!Lease.isValidAt(at(20))); // No VM was asked yet.
  Lease.recordVotes(1, Outcome::NoObjection, at(10));
  BOOST_TEST(!Lease.isValidAt(at(20)));
  Lease.recordStatus("c", replicaOf(1), at(15));
  BOOST_TEST(Lease.isValidAt(at(20)));
  BOOST_TEST(!Lease.isValidAt(at(1012)));
}

BOOST_AUTO_TEST_CASE(aReplicaThatJoinsLaterCountsAfterADelay) {
  EstablishedLease Lease;
  Lease.setReplicas({"b", "c", "d"}, at(1000));
  Lease.recordStatus("d", replicaOf(1), at(2400));
  BOOST_TEST(!Lease.isValidAt(at(2450)));
  Lease.recordStatus("d", replicaOf(1), at(2500));
  BOOST_TEST(Lease.isValidAt(at(2550)));
}

BOOST_AUTO_TEST_CASE(theNearestReplicaIsAskedWhileTheLeaseIsFresh) {
  EstablishedLease Lease;
  Lease.recordStatus("b", replicaOf(1), at(100));
  BOOST_TEST(Lease.statusDue(false, at(110)) == std::vector<std::string>{"b"});
  BOOST_TEST(Lease.statusDue(false, at(200)).empty());
  BOOST_TEST(Lease.statusDue(true, at(400)).empty());
  // Without renewal, the primary and all replicas are asked.
  BOOST_TEST(Lease.statusDue(true, at(900)).size() == 3);
}

BOOST_AUTO_TEST_CASE(aStatusThatArrivesLateDoesNotReplaceANewerOne) {
  LeasedPrimaryGuard Guard({}, Start);
  Guard.setPrimary("a");
  Guard.setReplicas({"b", "c"}, at(0));
  Guard.recordStatus("b", primaryOf(2), at(100));
  Guard.recordStatus("b", replicaOf(1), at(50));
  BOOST_TEST(Guard.newerPrimary() == "b");
}

BOOST_AUTO_TEST_CASE(thePrimaryOfTheNewestTermIsUsed) {
  LeasedPrimaryGuard Guard({}, Start);
  Guard.setPrimary("b");
  Guard.setReplicas({"a", "c"}, at(0));
  Guard.recordStatus("b", primaryOf(2), at(10));
  Guard.recordStatus("a", primaryOf(1), at(20));
  BOOST_TEST(Guard.newerPrimary().empty());
  BOOST_TEST(Guard.replacedPrimaries() == std::vector<std::string>{"a"});
  BOOST_TEST(!Guard.acceptsClaim("a", at(30)));
}

// The successor leads term 2, and a replica that does not know it yet still
// follows term 1. Writes on the old primary would be lost.
BOOST_AUTO_TEST_CASE(aCompletedPromotionLetsNoLowerTermBeRenewed) {
  EstablishedLease Lease;
  Lease.recordStatus("b", replicaOf(1), at(100));
  Lease.giveUp(2, at(200));
  Lease.allowRenewal(at(300), 2);
  Lease.recordStatus("c", replicaOf(1), at(310));
  BOOST_TEST(!Lease.isValidAt(at(320)));
  BOOST_TEST(Lease.isBlocked());
  // Nor by votes, nor after a later promotion is cancelled.
  Lease.recordVotes(1, Outcome::Supported, at(330));
  Lease.giveUp(3, at(400));
  Lease.allowRenewal(at(500));
  Lease.recordStatus("c", replicaOf(1), at(510));
  BOOST_TEST(!Lease.isValidAt(at(520)));
}
