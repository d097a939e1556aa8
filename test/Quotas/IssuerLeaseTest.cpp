#define BOOST_TEST_MODULE IssuerLease
#include <boost/test/unit_test.hpp>

#include "Quotas/IssuerCandidacy.h"
#include "Quotas/IssuerLease.h"

using namespace cicadawind;
using namespace std::chrono_literals;
using Action = IssuerCandidacy::Action;

namespace {

TimePoint at(Duration Time) { return TimePoint(1000s) + Time; }

IssuerLease lease() { return IssuerLease(IssuerLease::Options{}); }

IssuerCandidacy candidacy() {
  return {QuotaTimes{.RenewInterval = 250ms,
                     .ClaimTimeout = 150ms,
                     .RankDelay = 150ms},
          [] { return std::uint64_t{0}; }};
}

const std::set<std::string> Voters = {"v1", "v2", "v3"};

} // namespace

BOOST_AUTO_TEST_CASE(aLeaseLastsFromTheSendingOfItsClaim) {
  IssuerLease Lease = lease();
  Lease.recordClaim(1, Voters, 2, 3, at(0s));
  BOOST_TEST(!Lease.recordVote(1, "v1", 0s, at(0s)));
  BOOST_TEST(!Lease.isHeld(at(100ms)));
  BOOST_TEST(Lease.recordVote(1, "v2", 0s, at(100ms)));
  BOOST_TEST(Lease.isHeld(at(779ms)));
  BOOST_TEST(!Lease.isHeld(at(780ms)));
}

BOOST_AUTO_TEST_CASE(onlyVotesOfDistinctVotersForOneClaimCount) {
  IssuerLease Lease = lease();
  Lease.recordClaim(1, Voters, 2, 3, at(0s));
  Lease.recordClaim(2, Voters, 2, 3, at(250ms));
  BOOST_TEST(!Lease.recordVote(1, "v1", 0s, at(260ms)));
  BOOST_TEST(!Lease.recordVote(1, "v1", 0s, at(260ms)));
  BOOST_TEST(!Lease.recordVote(1, "v9", 0s, at(260ms)));
  BOOST_TEST(!Lease.recordVote(2, "v2", 0s, at(260ms)));
  BOOST_TEST(!Lease.recordVote(3, "v2", 0s, at(260ms)));
  BOOST_TEST(!Lease.isHeld(at(260ms)));
}

BOOST_AUTO_TEST_CASE(aRenewalProlongsTheLease) {
  IssuerLease Lease = lease();
  Lease.recordClaim(1, Voters, 2, 3, at(0s));
  Lease.recordVote(1, "v1", 0s, at(0s));
  BOOST_TEST(Lease.recordVote(1, "v2", 0s, at(0s)));
  Lease.recordClaim(2, Voters, 2, 3, at(250ms));
  Lease.recordVote(2, "v1", 0s, at(250ms));
  BOOST_TEST(!Lease.recordVote(2, "v3", 0s, at(300ms)));
  // A late vote for the first claim shortens nothing.
  BOOST_TEST(!Lease.recordVote(1, "v3", 0s, at(310ms)));
  BOOST_TEST(Lease.isHeld(at(1029ms)));
  BOOST_TEST(!Lease.isHeld(at(1030ms)));
}

BOOST_AUTO_TEST_CASE(votesThatArriveTooLateBeginNoLease) {
  IssuerLease Lease = lease();
  Lease.recordClaim(1, Voters, 2, 3, at(0s));
  Lease.recordVote(1, "v1", 0s, at(1ms));
  BOOST_TEST(!Lease.recordVote(1, "v2", 0s, at(780ms)));
  BOOST_TEST(!Lease.isHeld(at(780ms)));
}

BOOST_AUTO_TEST_CASE(votesBeforeTheEndHaveNoEffectAfterIt) {
  IssuerLease Lease = lease();
  Lease.recordClaim(1, Voters, 2, 3, at(0s));
  Lease.recordVote(1, "v1", 0s, at(1ms));
  Lease.end();
  BOOST_TEST(!Lease.recordVote(1, "v2", 0s, at(2ms)));
  BOOST_TEST(!Lease.isHeld(at(2ms)));
}

BOOST_AUTO_TEST_CASE(theFirstCandidateClaimsAtOnceTheNextOnesLater) {
  IssuerCandidacy First = candidacy();
  BOOST_TEST((First.next({.Rank = 0}, at(0s)) == Action::Claim));
  BOOST_TEST((First.next({.Rank = 0}, at(25ms)) == Action::None));
  IssuerCandidacy Third = candidacy();
  BOOST_TEST((Third.next({.Rank = 2}, at(0s)) == Action::None));
  BOOST_TEST((Third.next({.Rank = 2}, at(299ms)) == Action::None));
  BOOST_TEST((Third.next({.Rank = 2}, at(300ms)) == Action::Claim));
}

BOOST_AUTO_TEST_CASE(thereIsNoClaimWhileAnotherHasTheVote) {
  IssuerCandidacy Each = candidacy();
  BOOST_TEST((Each.next({.IsTaken = true, .Rank = 0}, at(0s)) == Action::None));
  BOOST_TEST((Each.next({.Rank = 1}, at(1s)) == Action::None));
  BOOST_TEST((Each.next({.IsTaken = true, .Rank = 1}, at(2s)) == Action::None));
  BOOST_TEST((Each.next({.Rank = 1}, at(3s)) == Action::None));
  BOOST_TEST((Each.next({.Rank = 1}, at(3150ms)) == Action::Claim));
  BOOST_TEST((candidacy().next({}, at(0s)) == Action::None));
}

BOOST_AUTO_TEST_CASE(aClaimWithoutAMajorityIsReleasedAndMadeAgain) {
  IssuerCandidacy Each = candidacy();
  BOOST_TEST((Each.next({.Rank = 0}, at(0s)) == Action::Claim));
  BOOST_TEST((Each.next({.Rank = 0}, at(150ms)) == Action::Release));
  BOOST_TEST((Each.next({.Rank = 0}, at(175ms)) == Action::Claim));
}

BOOST_AUTO_TEST_CASE(theHolderRenewsAndReleasesWhatHasEnded) {
  IssuerCandidacy Each = candidacy();
  BOOST_TEST((Each.next({.Rank = 0}, at(0s)) == Action::Claim));
  IssuerCandidacy::View Held{.IsHeld = true, .Rank = 0};
  BOOST_TEST((Each.next(Held, at(25ms)) == Action::None));
  BOOST_TEST((Each.next(Held, at(250ms)) == Action::Claim));
  BOOST_TEST((Each.next(Held, at(275ms)) == Action::None));
  BOOST_TEST((Each.next(Held, at(500ms)) == Action::Claim));
  BOOST_TEST((Each.next({.Rank = 0}, at(1300ms)) == Action::Release));
}

// After a restart of a whole failure domain nobody has issued anything for as
// long as votes are withheld.
BOOST_AUTO_TEST_CASE(votesOfTheWholeDomainTellForHowLongNoneWasIssued) {
  IssuerLease Lease{{}};
  Lease.recordClaim(1, Voters, 2, 3, at(0s));
  Lease.recordVote(1, "v1", 900ms, at(0s));
  BOOST_TEST(Lease.recordVote(1, "v2", 800ms, at(10ms)));
  BOOST_TEST((Lease.takeIdleTime() == 0s));
  Lease.recordVote(1, "v3", 850ms, at(20ms));
  // The second VM issued nothing from -790 ms to 10 ms.
  BOOST_TEST((Lease.takeIdleTime() == 800ms));
  BOOST_TEST((Lease.takeIdleTime() == 0s));
}

BOOST_AUTO_TEST_CASE(votesOfAPartOfTheDomainDoNotTellWhetherPermitsWereIssued) {
  IssuerLease Lease{{}};
  Lease.recordClaim(1, Voters, 2, 4, at(0s));
  for (const char *Voter : {"v1", "v2", "v3"})
    Lease.recordVote(1, Voter, 5s, at(1ms));
  BOOST_TEST(Lease.isHeld(at(2ms)));
  BOOST_TEST((Lease.takeIdleTime() == 0s));
}
