#define BOOST_TEST_MODULE PromotionPromise
#include <boost/test/unit_test.hpp>

#include "Leases/PromotionPromise.h"

using namespace cicadawind;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

TimePoint at(int Ms) { return Start + milliseconds(Ms); }

PromotionProposal proposal(const std::string &Holder, std::uint64_t Token,
                           const std::string &Successor = "",
                           Term NewTerm = 2) {
  return {.Holder = Holder,
          .Token = Token,
          .NewTerm = NewTerm,
          .Successor = Successor};
}

} // namespace

BOOST_AUTO_TEST_CASE(lowerTokensAreRefused) {
  PromotionPromise Promise({}, Start);
  BOOST_TEST(Promise.vote(proposal("vm-1", 5), at(20000)).Granted);
  PromotionVote Later = Promise.vote(proposal("vm-2", 4), at(30000));
  BOOST_TEST(!Later.Granted);
  BOOST_TEST(Later.HighestToken == 5);
}

BOOST_AUTO_TEST_CASE(oneHolderAtATime) {
  PromotionPromise Promise({}, Start);
  Promise.vote(proposal("vm-1", 5), at(20000));
  BOOST_TEST(!Promise.vote(proposal("vm-2", 6), at(21999)).Granted);
  BOOST_TEST(Promise.vote(proposal("vm-1", 7), at(21999)).Granted);
  BOOST_TEST(Promise.vote(proposal("vm-2", 8), at(23999)).Granted);
}

BOOST_AUTO_TEST_CASE(votesDoNotCountShortlyAfterTheStart) {
  PromotionPromise Promise({}, Start);
  BOOST_TEST(!Promise.vote(proposal("vm-1", 5), at(1999)).Counts);
  BOOST_TEST(Promise.vote(proposal("vm-1", 5), at(2000)).Counts);
}

BOOST_AUTO_TEST_CASE(aVmThatHasJustStartedDoesNotKnowEarlierOrders) {
  PromotionPromise Promise({}, Start);
  BOOST_TEST(!Promise.vote(proposal("vm-1", 5), at(14999)).RemembersOrders);
  BOOST_TEST(Promise.vote(proposal("vm-1", 5), at(15000)).RemembersOrders);
}

BOOST_AUTO_TEST_CASE(
    aNamedSuccessorStaysTheOnlyOneWhileItsOrderMayBeCarriedOut) {
  PromotionPromise Promise({}, Start);
  Promise.vote(proposal("vm-1", 5, "b"), at(20000));
  PromotionVote Next = Promise.vote(proposal("vm-2", 6), at(34999));
  BOOST_TEST(Next.PendingSuccessor == "b");
  BOOST_TEST(Next.NamedTerm == 2);
  BOOST_TEST(
      Promise.vote(proposal("vm-2", 6), at(35000)).PendingSuccessor.empty());
}

BOOST_AUTO_TEST_CASE(anAnsweredOrderIsNotPending) {
  PromotionPromise Promise({}, Start);
  Promise.vote(proposal("vm-1", 5, "b"), at(20000));
  Promise.settle("vm-1", 5);
  // The holder repeats its proposal until the successor leads.
  Promise.vote(proposal("vm-1", 5, "b"), at(20300));
  PromotionVote Next = Promise.vote(proposal("vm-2", 6), at(24000));
  BOOST_TEST(Next.PendingSuccessor.empty());
}

BOOST_AUTO_TEST_CASE(anEarlierUnansweredOrderStaysPending) {
  PromotionPromise Promise({}, Start);
  Promise.vote(proposal("vm-1", 5, "b"), at(20000));
  Promise.vote(proposal("vm-1", 6, "b"), at(20400));
  Promise.settle("vm-1", 6);
  PromotionVote Next = Promise.vote(proposal("vm-2", 7), at(24000));
  BOOST_TEST(Next.PendingSuccessor == "b");
}

BOOST_AUTO_TEST_CASE(anOpenProposalBlocksLeasesUntilItEnds) {
  PromotionPromise Promise({}, Start);
  BOOST_TEST((Promise.leaseVote(1, at(20000)) == LeaseVote::Supports));
  Promise.vote(proposal("vm-1", 5), at(20000));
  BOOST_TEST((Promise.leaseVote(1, at(60000)) == LeaseVote::Objects));
  BOOST_TEST((Promise.leaseVote(2, at(60000)) == LeaseVote::Supports));
  BOOST_TEST(Promise.cancel("vm-1", 5, false));
  BOOST_TEST((Promise.leaseVote(1, at(60000)) == LeaseVote::Supports));
}

BOOST_AUTO_TEST_CASE(aCancellationWithoutMajorityKeepsEarlierProposalsOpen) {
  PromotionPromise Promise({}, Start);
  Promise.vote(proposal("vm-1", 5), at(20000));
  Promise.vote(proposal("vm-2", 6), at(30000));
  BOOST_TEST(!Promise.cancel("vm-2", 6, false));
  BOOST_TEST((Promise.leaseVote(1, at(60000)) == LeaseVote::Objects));
  Promise.vote(proposal("vm-2", 7), at(61000));
  BOOST_TEST(Promise.cancel("vm-2", 7, true));
  BOOST_TEST((Promise.leaseVote(1, at(62000)) == LeaseVote::Supports));
}

BOOST_AUTO_TEST_CASE(aVmThatHasJustStartedDoesNotKnowWhatItPromised) {
  PromotionPromise Promise({}, Start);
  BOOST_TEST((Promise.leaseVote(1, at(14999)) == LeaseVote::Unknown));
  BOOST_TEST((Promise.leaseVote(1, at(15000)) == LeaseVote::Supports));
}

BOOST_AUTO_TEST_CASE(aPlannedPromotionKeepsTheLeases) {
  PromotionPromise Promise({}, Start);
  PromotionProposal Planned = proposal("vm-1", 5, "b");
  Planned.Kind = ProposalKind::Planned;
  PromotionVote Vote = Promise.vote(Planned, at(20000));
  BOOST_TEST(Vote.Granted);
  BOOST_TEST(!Vote.GaveUp);
  BOOST_TEST((Promise.leaseVote(1, at(20000)) == LeaseVote::Supports));
}

BOOST_AUTO_TEST_CASE(proposalsForAKnownTermAreRefused) {
  PromotionPromise Promise({}, Start);
  Promise.recordLeader(2);
  PromotionVote Vote = Promise.vote(proposal("vm-1", 5), at(20000));
  BOOST_TEST(!Vote.Granted);
  BOOST_TEST(Vote.KnownTerm == 2);
  BOOST_TEST((Promise.leaseVote(1, at(20000)) == LeaseVote::Objects));
}
