#define BOOST_TEST_MODULE PromotionBallot
#include <boost/test/unit_test.hpp>

#include "Leases/PromotionBallot.h"
#include "Statements/TargetStatus.h"

using namespace cicadawind;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};
const PromotionVote Grant{
    .Granted = true, .GaveUp = true, .Counts = true, .RemembersOrders = true};

TimePoint at(int Ms) { return Start + milliseconds(Ms); }

TargetStatus paused(Term UpTo) {
  return TargetStatus{.CurrentTerm = 1, .ReceivePausedUpToTerm = UpTo};
}

/// A ballot of five VMs to replace "a" in term 1; its successor is "b".
struct FiveVms : PromotionBallot {
  FiveVms()
      : PromotionBallot({.Proposal = {.Holder = "v1", .Token = 7, .NewTerm = 2},
                         .Vms = {"v1", "v2", "v3", "v4", "v5"},
                         .Instances = {"a", "b", "c"},
                         .OldPrimary = "a"}) {
    setSuccessor("b", at(0));
  }
  void grantBy(const std::vector<std::string> &Vms, TimePoint RequestedAt) {
    for (const std::string &Vm : Vms)
      recordVote(Vm, Grant, RequestedAt);
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(theOrderIsSentAtOnceIfAllVmsGaveUpTheirLeases) {
  FiveVms Ballot;
  Ballot.grantBy({"v1", "v2", "v3", "v4"}, at(0));
  BOOST_TEST(!Ballot.mayOrder(at(10)));
  Ballot.grantBy({"v5"}, at(0));
  BOOST_TEST(Ballot.mayOrder(at(10)));
}

BOOST_AUTO_TEST_CASE(theOrderWaitsForLeasesOfVmsThatDoNotAnswer) {
  FiveVms Ballot;
  Ballot.grantBy({"v1", "v2", "v3"}, at(0));
  Ballot.recordStatus("b", paused(2), at(20));
  BOOST_TEST(!Ballot.leasesEndAt().has_value());
  Ballot.recordStatus("c", paused(2), at(40));
  BOOST_TEST((Ballot.leasesEndAt() == at(40 + 1000 + 20)));
  BOOST_TEST(!Ballot.mayOrder(at(1059)));
  Ballot.grantBy({"v1", "v2", "v3"}, at(1000));
  BOOST_TEST(Ballot.mayOrder(at(1060)));
}

BOOST_AUTO_TEST_CASE(anOrderNeedsAMajorityThatVotedRecently) {
  FiveVms Ballot;
  Ballot.recordStatus("a", TargetStatus{.CurrentTerm = 1}, at(10));
  BOOST_TEST(Ballot.isDemoted());
  Ballot.grantBy({"v1", "v2"}, at(0));
  BOOST_TEST(!Ballot.mayOrder(at(20)));
  Ballot.grantBy({"v3"}, at(0));
  BOOST_TEST(Ballot.mayOrder(at(20)));
  BOOST_TEST(!Ballot.mayOrder(at(1500)));
}

BOOST_AUTO_TEST_CASE(votesBeforeTheSuccessorWasNamedDoNotCount) {
  FiveVms Ballot;
  Ballot.grantBy({"v1", "v2", "v3", "v4", "v5"}, at(0));
  Ballot.setSuccessor("c", at(100));
  BOOST_TEST(Ballot.allGaveUp());
  BOOST_TEST(!Ballot.mayOrder(at(110)));
  Ballot.grantBy({"v1", "v2", "v3"}, at(100));
  BOOST_TEST(Ballot.mayOrder(at(110)));
}

BOOST_AUTO_TEST_CASE(votesOfVmsThatJustStartedDoNotCount) {
  FiveVms Ballot;
  for (const char *Vm : {"v1", "v2", "v3", "v4", "v5"})
    Ballot.recordVote(Vm, {.Granted = true, .GaveUp = true, .Counts = false},
                      at(0));
  BOOST_TEST(Ballot.allGaveUp());
  BOOST_TEST(!Ballot.hasMajority(at(10)));
}

// An order of which v3 to v5 knew may still be carried out, but v4 and v5 have
// restarted since and v3 does not answer.
BOOST_AUTO_TEST_CASE(votersThatForgotEarlierOrdersAreNoMajorityByThemselves) {
  PromotionVote Restarted = Grant;
  Restarted.RemembersOrders = false;
  FiveVms Ballot;
  Ballot.grantBy({"v1", "v2"}, at(0));
  Ballot.recordVote("v4", Restarted, at(0));
  Ballot.recordVote("v5", Restarted, at(0));
  BOOST_TEST(!Ballot.hasMajority(at(10)));
  Ballot.recordVote("v3", Restarted, at(0));
  BOOST_TEST(Ballot.hasMajority(at(10)));
  FiveVms Remembered;
  Remembered.grantBy({"v1", "v2", "v4"}, at(0));
  BOOST_TEST(Remembered.hasMajority(at(10)));
}

BOOST_AUTO_TEST_CASE(aHigherTokenOrANewerTermEndsTheProposal) {
  FiveVms OtherToken;
  OtherToken.recordVote("v2", {.HighestToken = 8}, at(0));
  BOOST_TEST(OtherToken.isOutdated());
  BOOST_TEST(OtherToken.highestToken() == 8);
  FiveVms OtherTerm;
  OtherTerm.recordStatus("c", TargetStatus{.CurrentTerm = 2}, at(0));
  BOOST_TEST(OtherTerm.isOutdated());
  BOOST_TEST(OtherTerm.highestTerm() == 2);
}

BOOST_AUTO_TEST_CASE(aTermThatMayBeOpenIsOnlyOpenedForTheSameSuccessor) {
  FiveVms Ballot;
  Ballot.recordVote("v2", {.Granted = true, .Counts = true, .NamedTerm = 2},
                    at(0));
  BOOST_TEST(Ballot.isOutdated());
  Ballot.recordVote("v3",
                    {.Granted = true,
                     .Counts = true,
                     .NamedTerm = 2,
                     .PendingSuccessor = "c",
                     .PendingToken = 6},
                    at(0));
  BOOST_TEST(!Ballot.isOutdated());
  BOOST_TEST(Ballot.pendingSuccessor() == "c");
}

BOOST_AUTO_TEST_CASE(aVmThatReachesThePrimaryPreventsItsReplacement) {
  FiveVms Ballot;
  Ballot.recordVote("v2", {.ReachesPrimary = true}, at(0));
  BOOST_TEST(Ballot.isVetoed());
}
