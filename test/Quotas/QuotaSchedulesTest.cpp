#define BOOST_TEST_MODULE QuotaSchedules
#include <boost/test/unit_test.hpp>

#include "Quotas/QuotaFleet.h"
#include "SeededRuns.h"

#include <algorithm>
#include <functional>
#include <iostream>

using namespace cicadawind;
using namespace std::chrono_literals;
using test::QuotaFleet;

namespace {

constexpr Duration Window = 5s;
/// What the difference of the VMs' clocks adds.
constexpr double ClockTolerance = 0.01;

QuotaFleet::Account account(const std::string &Name, double Demand,
                            double Headroom = 1.6) {
  double Rate = Demand * Headroom;
  return {.Name = Name,
          .Limit = {.PerSecond = Rate, .Burst = Rate},
          .Demand = Demand};
}

/// Accounts as on a site: the demand of each next one is lower.
std::vector<QuotaFleet::Account> siteAccounts(std::size_t Count, double Most) {
  std::vector<QuotaFleet::Account> Out;
  for (std::size_t I = 0; I < Count; ++I)
    Out.push_back(account("account-" + std::to_string(I),
                          Most / std::pow(static_cast<double>(I + 1), 1.2)));
  return Out;
}

/// A fleet that is disturbed at random.
class DisturbedFleet {
public:
  DisturbedFleet(std::uint64_t Seed, std::size_t Domains, unsigned Tolerated)
      : Fleet({.Vms = 6 * Domains,
               .Domains = Domains,
               .ToleratedOperations = Tolerated,
               .Seed = Seed,
               .Accounts = Accounts}) {
    StartedAt = Fleet.now();
    Fleet.runFor(2s);
  }

  void disturb() {
    switch (Fleet.below(10)) {
    case 0:
      return Fleet.setLoss(0.3 * static_cast<double>(Fleet.below(3)));
    case 1:
      return Fleet.setRepetition(0.25 * static_cast<double>(Fleet.below(3)));
    case 2:
      return Fleet.setDelay(0.3, Millis(Fleet.below(1200)));
    case 3:
      return cutOff();
    case 4:
      return Fleet.healCuts();
    case 5:
      return restartSome();
    case 6:
      return restartMostOfADomain();
    case 7:
      return suspendSome();
    case 8:
      return changeLoad();
    case 9:
      return doubleOne();
    }
  }
  /// Half of the time is without new trouble, so that issuers are chosen.
  void run(Duration Length) {
    for (TimePoint End = Fleet.now() + Length; Fleet.now() < End;) {
      disturb();
      Fleet.runFor(Millis(Fleet.below(600)));
      if (Fleet.below(8) > 0)
        continue;
      Fleet.healCuts();
      Fleet.setLoss(0);
      Fleet.setDelay(0, 0s);
      Fleet.runFor(Millis(Fleet.below(3000)));
    }
  }
  double worstExcess() const {
    double Worst = -1e9;
    for (std::size_t Index = 0; Index < 5; ++Index)
      Worst = std::max(Worst, Fleet.worstExcess(Index, Window));
    return Worst;
  }

  /// Returns the part of what the limits allow that was used.
  double usedShare() const {
    double Used = 0;
    double Allowed = 0;
    double Seconds =
        std::chrono::duration<double>(Fleet.now() - StartedAt).count();
    for (std::size_t Index = 0; Index < 5; ++Index) {
      Used += static_cast<double>(Fleet.used(Index));
      Allowed += Accounts[Index].Limit.PerSecond * Seconds;
    }
    return Used / Allowed;
  }

private:
  void cutOff() {
    std::size_t Kind = Fleet.below(5);
    if (Kind == 4)
      return Fleet.cutPair(Fleet.below(Fleet.vms()), Fleet.below(Fleet.vms()));
    std::size_t Chosen = Fleet.below(Fleet.domains());
    std::uint64_t Bits = Fleet.random()();
    Fleet.cut([&](std::size_t Vm) {
      bool IsInDomain = Fleet.domainOf(Vm) == Chosen;
      if (Kind == 0)
        return IsInDomain;
      if (Kind == 1) // The regions lose each other.
        return 2 * Fleet.domainOf(Vm) < Fleet.domains();
      if (Kind == 2) // A part of a failure domain is cut off.
        return IsInDomain && ((Bits >> (Vm % 64)) & 1) != 0;
      return ((Bits >> (Vm % 64)) & 1) != 0;
    });
  }
  void restartSome() {
    std::size_t Count = 1 + Fleet.below(3);
    for (std::size_t I = 0; I < Count; ++I)
      Fleet.restart(Fleet.below(Fleet.vms()), Millis(Fleet.below(2000)));
  }
  void restartMostOfADomain() {
    std::size_t Domain = Fleet.below(Fleet.domains());
    for (std::size_t Vm = 0; Vm < Fleet.vms(); ++Vm)
      if (Fleet.domainOf(Vm) == Domain && Fleet.below(5) > 0)
        Fleet.restart(Vm, Millis(Fleet.below(100)));
  }
  void suspendSome() {
    std::size_t Count = 1 + Fleet.below(4);
    for (std::size_t I = 0; I < Count; ++I)
      Fleet.suspend(Fleet.below(Fleet.vms()), Millis(100 + Fleet.below(4000)));
  }
  void changeLoad() {
    Fleet.setDemandFactor(Fleet.below(5),
                          static_cast<double>(1 + Fleet.below(7)));
    double Factor = Fleet.below(2) == 0 ? 1 : 2;
    Fleet.setLimit(0, {.PerSecond = 32 * Factor, .Burst = 40 * Factor});
  }
  /// At most one VM of a failure domain runs twice at a time.
  void doubleOne() {
    if (Fleet.now() < NextDouble)
      return;
    Duration Length = Millis(500 + Fleet.below(3000));
    NextDouble = Fleet.now() + Length + 2s;
    Fleet.doubleVm(Fleet.below(Fleet.vms()), Length);
  }

  /// The last ones ask for a multiple of their limits.
  const std::vector<QuotaFleet::Account> Accounts = {
      account("a", 40, 0.8), account("b", 8, 0.8), account("c", 60, 0.3),
      account("d", 4, 0.5), account("e", 20, 0.2)};
  TimePoint StartedAt;
  TimePoint NextDouble;

public:
  QuotaFleet Fleet;
};

} // namespace

BOOST_AUTO_TEST_CASE(noWindowExceedsTheLimitWhateverHappens) {
  test::forSeeds(6, [](std::uint64_t Seed) {
    std::size_t Domains = 1 + Seed % 4;
    DisturbedFleet Each(Seed, Domains, 0);
    Each.run(40s);
    BOOST_TEST_MESSAGE("seed " << Seed << " used " << Each.usedShare()
                               << " excess " << Each.worstExcess());
    BOOST_TEST(Each.worstExcess() <= ClockTolerance);
    BOOST_TEST(Each.Fleet.doubleIssuers() == 0);
  });
}

BOOST_AUTO_TEST_CASE(noWindowExceedsTheLimitByMoreThanIsTolerated) {
  constexpr unsigned Tolerated = 20;
  test::forSeeds(3, [](std::uint64_t Seed) {
    std::size_t Domains = 2 + Seed % 3;
    DisturbedFleet Each(Seed, Domains, Tolerated);
    Each.run(40s);
    BOOST_TEST_MESSAGE("seed " << Seed << " used " << Each.usedShare()
                               << " excess " << Each.worstExcess());
    BOOST_TEST(Each.worstExcess() <= Tolerated + ClockTolerance);
    BOOST_TEST(Each.Fleet.doubleIssuers() == 0);
  });
}

BOOST_AUTO_TEST_CASE(noWindowExceedsTheLimitWhileIssuersAreReplaced) {
  test::forSeeds(2, [](std::uint64_t Seed) {
    QuotaFleet Fleet(
        {.Vms = 18,
         .Domains = 3,
         .Seed = Seed,
         .Accounts = {account("a", 100, 0.2), account("b", 50, 0.2),
                      account("c", 100, 0.2)}});
    // The buckets are full when the load begins.
    for (std::size_t Index = 0; Index < 3; ++Index)
      Fleet.setDemandFactor(Index, 0.01);
    Fleet.runFor(4s);
    for (std::size_t Index = 0; Index < 3; ++Index)
      Fleet.setDemandFactor(Index, 1);
    for (int Times = 0; Times < 10; ++Times) {
      Fleet.runFor(500ms);
      BOOST_TEST(Fleet.leases() > 0);
      for (std::size_t Vm : Fleet.issuers())
        Fleet.restart(Vm, 100ms);
      Fleet.runFor(700ms);
    }
    for (std::size_t Index = 0; Index < 3; ++Index)
      BOOST_TEST(Fleet.worstExcess(Index, Window) <= ClockTolerance);
    BOOST_TEST(Fleet.doubleIssuers() == 0);
  });
}

// A VM that does not hear from the issuer claims again and again, and the other
// voters start anew.
BOOST_AUTO_TEST_CASE(votersThatStartAnewChooseNoSecondIssuer) {
  test::forSeeds(2, [](std::uint64_t Seed) {
    QuotaFleet Fleet(
        {.Vms = 6, .Domains = 1, .Seed = Seed, .Accounts = {account("a", 5)}});
    Fleet.runFor(3s);
    for (int Times = 0; Times < 20; ++Times) {
      BOOST_REQUIRE(!Fleet.issuers().empty());
      std::size_t Issuer = *Fleet.issuers().begin();
      std::size_t Candidate = (Issuer + 1 + Fleet.below(5)) % 6;
      Fleet.cutPair(Issuer, Candidate);
      Fleet.runFor(2s + Millis(Fleet.below(500)));
      for (std::size_t Vm = 0; Vm < 6; ++Vm)
        if (Vm != Issuer && Vm != Candidate)
          Fleet.restart(Vm, 0s);
      Fleet.runFor(1s);
      Fleet.healCuts();
      Fleet.runFor(2s);
    }
    BOOST_TEST(Fleet.doubleIssuers() == 0);
  });
}

// A VM forgets another one after minutes.
BOOST_AUTO_TEST_CASE(partsOfADomainThatAreCutOffForLongChooseNoSecondIssuer) {
  test::forSeeds(1, [](std::uint64_t Seed) {
    QuotaFleet Fleet({.Vms = 6,
                      .Domains = 1,
                      .Seed = Seed,
                      .Accounts = {account("a", 5, 0.2)}});
    Fleet.runFor(3s);
    Fleet.cut([](std::size_t Vm) { return Vm < 2; });
    Fleet.runFor(6min);
    BOOST_TEST(Fleet.leases() == QuotaPartitions);
    Fleet.cut([](std::size_t Vm) { return Vm % 2 == 0; });
    Fleet.runFor(6min);
    BOOST_TEST(Fleet.doubleIssuers() == 0);
    BOOST_TEST(Fleet.worstExcess(0, Window) <= ClockTolerance);
  });
}

// Each is left out by the rest, which becomes smaller; then they meet.
BOOST_AUTO_TEST_CASE(vmsThatAreCutOffOneAfterAnotherChooseNoSecondIssuer) {
  test::forSeeds(2, [](std::uint64_t Seed) {
    QuotaFleet Fleet({.Vms = 6,
                      .Domains = 1,
                      .Seed = Seed,
                      .Accounts = {account("a", 5, 0.2)}});
    Fleet.runFor(3s);
    for (std::size_t Cut = 6; Cut-- > 2;) {
      Fleet.cut([Cut](std::size_t Vm) { return Vm == Cut; });
      Fleet.runFor(15s);
    }
    Fleet.healCuts();
    Fleet.cut([](std::size_t Vm) { return Vm < 2; });
    Fleet.runFor(30s);
    BOOST_TEST(Fleet.doubleIssuers() == 0);
    BOOST_TEST(Fleet.worstExcess(0, Window) <= ClockTolerance);
    Fleet.healCuts();
    Fleet.runFor(5s);
    BOOST_TEST(Fleet.leases() == QuotaPartitions);
  });
}

BOOST_AUTO_TEST_CASE(almostNothingBelowTheLimitIsRefusedWithoutAFault) {
  for (unsigned Tolerated : {0U, 20U})
    test::forSeeds(1, [Tolerated](std::uint64_t Seed) {
      std::vector<QuotaFleet::Account> Accounts = siteAccounts(40, 100);
      std::size_t Count = Accounts.size();
      QuotaFleet Fleet({.Vms = 42,
                        .Domains = 6,
                        .ToleratedOperations = Tolerated,
                        .Seed = Seed,
                        .Accounts = std::move(Accounts),
                        .StaysBelowLimit = true});
      Fleet.runFor(10s);
      Fleet.clearTotals();
      std::uint64_t Before = Fleet.messages();
      Fleet.runFor(20s);
      QuotaFleet::Totals Sum;
      double WorstShare = 0;
      for (std::size_t Index = 0; Index < Count; ++Index) {
        const QuotaFleet::Totals &Each = Fleet.totals(Index);
        Sum.Operations += Each.Operations;
        Sum.OverLimit += Each.OverLimit;
        Sum.Unavailable += Each.Unavailable;
        Sum.LongestWait = std::max(Sum.LongestWait, Each.LongestWait);
        WorstShare =
            std::max(WorstShare, static_cast<double>(Each.OverLimit) /
                                     static_cast<double>(Each.Operations));
      }
      BOOST_TEST_MESSAGE("tolerated "
                         << Tolerated << " operations " << Sum.Operations
                         << " over limit " << Sum.OverLimit << " unavailable "
                         << Sum.Unavailable << " worst account " << WorstShare
                         << " longest wait ms "
                         << toMillis(Sum.LongestWait).count() << " messages "
                         << Fleet.messages() - Before);
      BOOST_TEST(Fleet.leases() == 6 * QuotaPartitions);
      BOOST_TEST(Sum.Operations > 4000);
      BOOST_TEST(100 * (Sum.OverLimit + Sum.Unavailable) < Sum.Operations);
    });
}
