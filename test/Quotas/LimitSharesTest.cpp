#define BOOST_TEST_MODULE LimitShares
#include <boost/test/unit_test.hpp>

#include "Quotas/LimitShares.h"

#include <set>

using namespace cicadawind;

namespace {

LimitShares shares(unsigned Domains, unsigned Tolerated = 0,
                   double Fraction = 0) {
  LimitShares::Options Opts;
  for (unsigned I = 0; I < Domains; ++I)
    Opts.FailureDomains.push_back("d" + std::to_string(I));
  Opts.Tolerance.Operations = Tolerated;
  Opts.Tolerance.Fraction = Fraction;
  return LimitShares(Opts);
}

ClientAccount account(double PerSecond, double Burst,
                      const std::string &Name = "a") {
  return {.Name = Name,
          .Limit = RateLimit{.PerSecond = PerSecond, .Burst = Burst}};
}

/// Returns the most permits of \p Account that may be used in 5 s.
double mostUsed(const LimitShares &Shares, const ClientAccount &Account) {
  LimitShare Share = Shares.shareOf(Account);
  auto Issuers = static_cast<double>(Shares.issuersOf(Account).size());
  return Issuers * (Share.PerSecond * 5.3 + Share.Capacity);
}

} // namespace

BOOST_AUTO_TEST_CASE(sharesKeepTheLimitOverTheWindow) {
  for (unsigned Domains : {1U, 2U, 6U})
    for (double Rate : {0.1, 1.5, 5.0, 278.0, 4000.0})
      for (double Burst : {1.0, 1.5, 6.0, 278.0, 4000.0}) {
        ClientAccount Account = account(Rate, Burst);
        double Allowed = Rate * 5 + Burst;
        BOOST_TEST(mostUsed(shares(Domains), Account) <= Allowed + 1e-6);
        BOOST_TEST(mostUsed(shares(Domains, Domains), Account) <=
                   Allowed + Domains + 1e-6);
        BOOST_TEST(mostUsed(shares(Domains, 20, 0.1), Account) <=
                   Allowed * 1.1 + 20 + 1e-6);
        BOOST_TEST(shares(Domains).shareOf(Account).Capacity >= 1);
      }
}

BOOST_AUTO_TEST_CASE(aSmallLimitIsIssuedByOneDomain) {
  BOOST_TEST(shares(6).issuersOf(account(278, 278)).size() == 6);
  BOOST_TEST(shares(6).issuersOf(account(1.5, 1.5)).size() == 1);
  // The capacity is the burst and 0.495 times the rate.
  BOOST_TEST(shares(6).issuersOf(account(1, 11.6)).size() == 6);
  BOOST_TEST(shares(6).issuersOf(account(1, 11.4)).size() == 1);
  std::set<std::string> Homes;
  for (int I = 0; I < 100; ++I)
    Homes.insert(shares(6)
                     .issuersOf(account(1.5, 1.5, "a" + std::to_string(I)))
                     .front());
  BOOST_TEST(Homes.size() == 6);
}

BOOST_AUTO_TEST_CASE(aSmallLimitIsSharedIfThatIsTolerated) {
  BOOST_TEST(shares(6, 5).issuersOf(account(1.5, 1.5)).size() == 1);
  BOOST_TEST(shares(6, 6).issuersOf(account(1.5, 1.5)).size() == 6);
}

BOOST_AUTO_TEST_CASE(aLimitWithoutASingleOperationIssuesNothing) {
  for (const ClientAccount &Each : {account(0, 0), account(0.1, 0.2)}) {
    BOOST_TEST(shares(6).shareOf(Each).PerSecond == 0);
    BOOST_TEST(shares(6, 6).shareOf(Each).PerSecond == 0);
    BOOST_TEST(shares(6, 20, 0.1).shareOf(Each).PerSecond == 0);
  }
}

// An account that asks for more than its limit is served up to what is
// tolerated.
BOOST_AUTO_TEST_CASE(whatIsToleratedIsIssued) {
  for (double Rate : {1.5, 38.0, 278.0})
    BOOST_TEST(mostUsed(shares(6, 20, 0.1), account(Rate, Rate)) >=
               Rate * 6 * 1.1 + 20 - 1e-6);
}

// The VMs of one release on two kinds of processors have to agree.
BOOST_AUTO_TEST_CASE(partitionsAreTheSameEverywhere) {
  std::set<unsigned> Found;
  for (int I = 0; I < 100; ++I)
    Found.insert(quotaPartitionOf("a" + std::to_string(I)));
  BOOST_TEST(Found.size() == QuotaPartitions);
  BOOST_TEST(quotaPartitionOf("bodega") == 1);
  BOOST_TEST(quotaPartitionOf("oaxaca") == 0);
}
