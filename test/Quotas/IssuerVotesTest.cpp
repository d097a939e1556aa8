#define BOOST_TEST_MODULE IssuerVotes
#include <boost/test/unit_test.hpp>

#include "Quotas/IssuerVotes.h"

using namespace cicadawind;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration Time) { return TimePoint(1000s) + Time; }

IssuerVotes votes(TimePoint StartedAt = at(-10s)) {
  return IssuerVotes({.FailureDomain = "d", .StartedAt = StartedAt});
}

IssuerClaim claim(std::uint64_t Number, std::uint64_t Incarnation = 7) {
  return {.FailureDomain = "d",
          .Partition = 1,
          .Incarnation = Incarnation,
          .Number = Number,
          .DomainSize = 5};
}

IssuerRelease release(std::uint64_t Number, std::uint64_t Incarnation = 7) {
  return {.FailureDomain = "d",
          .Partition = 1,
          .Incarnation = Incarnation,
          .Number = Number};
}

} // namespace

BOOST_AUTO_TEST_CASE(aVoteIsKeptForTheLeaseLength) {
  IssuerVotes Votes = votes();
  BOOST_TEST(Votes.vote("v1", claim(1), 5, at(0s)));
  BOOST_TEST(!Votes.vote("v2", claim(1), 5, at(799ms)));
  BOOST_TEST(Votes.votedFor(1, at(799ms)) == "v1");
  BOOST_TEST(Votes.votedFor(2, at(799ms)) == "");
  BOOST_TEST(Votes.vote("v2", claim(1), 5, at(800ms)));
}

BOOST_AUTO_TEST_CASE(eachRenewalKeepsTheVoteLonger) {
  IssuerVotes Votes = votes();
  BOOST_TEST(Votes.vote("v1", claim(1), 5, at(0s)));
  BOOST_TEST(Votes.vote("v1", claim(2), 5, at(700ms)));
  BOOST_TEST(!Votes.vote("v2", claim(1), 5, at(1499ms)));
}

// An earlier process of this VM may have voted for another.
BOOST_AUTO_TEST_CASE(noVoteIsGivenInTheFirstLeaseLength) {
  IssuerVotes Votes = votes(at(0s));
  BOOST_TEST(!Votes.vote("v1", claim(1), 5, at(799ms)));
  BOOST_TEST(Votes.vote("v1", claim(2), 5, at(800ms)));
}

BOOST_AUTO_TEST_CASE(aCopyOfTheIssuerGetsNoVote) {
  IssuerVotes Votes = votes();
  BOOST_TEST(Votes.vote("v1", claim(1, 7), 5, at(0s)));
  BOOST_TEST(!Votes.vote("v1", claim(1, 8), 5, at(100ms)));
}

BOOST_AUTO_TEST_CASE(aVmThatKnowsTooFewOthersGetsNoVote) {
  IssuerVotes Votes = votes();
  BOOST_TEST(!Votes.vote("v1", claim(1), 7, at(0s)));
  BOOST_TEST(Votes.vote("v1", claim(2), 6, at(0s)));
  // A lease that lasts is not lost when others come.
  BOOST_TEST(Votes.vote("v1", claim(3), 7, at(1ms)));
}

BOOST_AUTO_TEST_CASE(aReleaseEndsTheVote) {
  IssuerVotes Votes = votes();
  BOOST_TEST(Votes.vote("v1", claim(1), 5, at(0s)));
  Votes.release("v2", release(9));
  Votes.release("v1", release(9, 8));
  BOOST_TEST(Votes.votedFor(1, at(1ms)) == "v1");
  Votes.release("v1", release(1));
  BOOST_TEST(Votes.votedFor(1, at(1ms)) == "");
  BOOST_TEST(Votes.vote("v2", claim(1), 5, at(1ms)));
}

// The candidate has claimed again after the release.
BOOST_AUTO_TEST_CASE(aLateReleaseDoesNotEndALaterVote) {
  IssuerVotes Votes = votes();
  BOOST_TEST(Votes.vote("v1", claim(5), 5, at(0s)));
  BOOST_TEST(Votes.vote("v1", claim(3), 5, at(1ms)));
  Votes.release("v1", release(4));
  BOOST_TEST(Votes.votedFor(1, at(2ms)) == "v1");
}

BOOST_AUTO_TEST_CASE(claimsOfOtherDomainsAndPartitionsGetNoVote) {
  IssuerVotes Votes = votes();
  IssuerClaim Other = claim(1);
  Other.FailureDomain = "e";
  BOOST_TEST(!Votes.vote("v1", Other, 5, at(0s)));
  Other = claim(1);
  Other.Partition = QuotaPartitions;
  BOOST_TEST(!Votes.vote("v1", Other, 5, at(0s)));
}
