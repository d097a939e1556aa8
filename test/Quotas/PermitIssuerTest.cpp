#define BOOST_TEST_MODULE PermitIssuer
#include <boost/test/unit_test.hpp>

#include "Quotas/IssuerSeat.h"
#include "Quotas/PermitIssuer.h"

using namespace cicadawind;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration Time) { return TimePoint(1000s) + Time; }

const PermitIssuer::Shares OneAccount = {
    {"a", {.PerSecond = 10, .Capacity = 5}}};

unsigned granted(PermitIssuer &Issuer, unsigned Count, TimePoint Now) {
  return Issuer.take({.Account = "a", .Count = Count}, Now).Granted;
}

/// A seat whose claim at 0 s needs the votes of "v1" and "v2".
struct ClaimingSeat : IssuerSeat {
  ClaimingSeat()
      : IssuerSeat(QuotaTimes{.LeaseLength = 800ms},
                   [] { return std::uint64_t{0}; }) {
    setShares(OneAccount, at(0s));
    recordClaim(1, {"v1", "v2"}, 2, 3, at(0s));
    recordVote(1, "v1", 0s, at(0s));
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(eachLeaseBeginsWithEmptyBuckets) {
  PermitIssuer Issuer;
  Issuer.setShares(OneAccount, at(0s));
  Issuer.begin(at(1s));
  BOOST_TEST(granted(Issuer, 5, at(1s)) == 0);
  BOOST_TEST(granted(Issuer, 5, at(1101ms)) == 1);
  Issuer.end();
  BOOST_TEST(granted(Issuer, 5, at(2s)) == 0);
  Issuer.begin(at(3s));
  BOOST_TEST(granted(Issuer, 5, at(3s)) == 0);
}

BOOST_AUTO_TEST_CASE(aDenialSaysWhenToComeBack) {
  PermitIssuer Issuer;
  Issuer.setShares(OneAccount, at(0s));
  Issuer.begin(at(0s));
  PermitReply::Item Item = Issuer.take({.Account = "a", .Count = 1}, at(0s));
  BOOST_TEST(Item.RetryAfter.count() >= 100);
  BOOST_TEST(granted(Issuer, 1, at(Item.RetryAfter)) == 1);
}

BOOST_AUTO_TEST_CASE(accountsThatComeBeginWithEmptyBuckets) {
  PermitIssuer Issuer;
  Issuer.begin(at(0s));
  BOOST_TEST(granted(Issuer, 1, at(9s)) == 0);
  Issuer.setShares(OneAccount, at(10s));
  BOOST_TEST(granted(Issuer, 1, at(10s)) == 0);
  BOOST_TEST(granted(Issuer, 1, at(11s)) == 1);
  Issuer.setShares({}, at(12s));
  BOOST_TEST(Issuer.buckets() == 0);
  Issuer.setShares(OneAccount, at(13s));
  BOOST_TEST(granted(Issuer, 1, at(13s)) == 0);
}

BOOST_AUTO_TEST_CASE(permitsAreIssuedOnlyUnderTheLease) {
  ClaimingSeat Seat;
  BOOST_TEST(!Seat.take({.Account = "a", .Count = 1}, at(10ms)));
  BOOST_TEST(Seat.recordVote(1, "v2", 0s, at(10ms)));
  BOOST_TEST(Seat.take({.Account = "a", .Count = 9}, at(700ms))->Granted == 5);
  BOOST_TEST(!Seat.take({.Account = "a", .Count = 1}, at(780ms)));
  BOOST_TEST(Seat.buckets() == 0);
}

// A VM that was suspended does not notice it before the next message.
BOOST_AUTO_TEST_CASE(aLeaseAfterAGapBeginsWithEmptyBuckets) {
  ClaimingSeat Seat;
  Seat.recordVote(1, "v2", 0s, at(0s));
  Seat.recordClaim(2, {"v1", "v2"}, 2, 3, at(2s));
  Seat.recordVote(2, "v1", 0s, at(2s));
  BOOST_TEST(Seat.recordVote(2, "v2", 0s, at(2s)));
  BOOST_TEST(Seat.take({.Account = "a", .Count = 1}, at(2s))->Granted == 0);
}
