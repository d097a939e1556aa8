// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE RateLimit
#include <boost/test/unit_test.hpp>

#include "Quotas/LimitShares.h"
#include "System/RelayedFleet.h"
#include "TestFlags.h"

#include <csignal>

using namespace cicadawind;
using namespace cicadawind::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration StartTimeout = 20s;
/// Time in which a new issuer is chosen and its metric is written.
constexpr Duration SuccessionTimeout = 4s;

/// Processes whose configuration has an account with a limit.
struct LimitedFleet : RelayedFleet {
  explicit LimitedFleet(std::size_t Vms = 6, std::size_t Started = 6,
                        std::size_t LostVms = 0)
      : RelayedFleet({.Programs = textFlag("programs", "build"),
                      .Vms = Vms,
                      .Started = Started,
                      .LostVms = LostVms,
                      .Accounts =
                          R"([{"name":"a","apiKeys":["k"],"ratePerS":50,)"
                          R"("burst":50}])"}) {}

  /// Returns how many leases the VMs other than \p Without have.
  double leases(std::size_t Without) const {
    double Sum = 0;
    for (std::size_t I = 0; I < vms(); ++I)
      if (I != Without)
        Sum += metric(I, "permit_leases").value_or(0);
    return Sum;
  }
  bool hasAllLeases(std::size_t Without) const {
    return leases(Without) == QuotaPartitions;
  }
  /// Returns the index of a VM that has a lease.
  std::size_t issuer() const {
    for (std::size_t I = 0; I < vms(); ++I)
      if (metric(I, "permit_leases").value_or(0) > 0)
        return I;
    return vms();
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(anIssuerThatIsKilledIsReplaced) {
  LimitedFleet Fleet;
  std::size_t Nobody = Fleet.vms();
  BOOST_REQUIRE(
      Fleet.runUntil(StartTimeout, [&] { return Fleet.hasAllLeases(Nobody); }));
  std::size_t Issuer = Fleet.issuer();
  BOOST_REQUIRE(Issuer < Fleet.vms());
  Fleet.signal(Issuer, SIGKILL);
  BOOST_TEST(Fleet.runUntil(SuccessionTimeout,
                            [&] { return Fleet.hasAllLeases(Issuer); }));
}

BOOST_AUTO_TEST_CASE(anIssuerThatIsSuspendedIsReplacedAndKnowsIt) {
  LimitedFleet Fleet;
  std::size_t Nobody = Fleet.vms();
  BOOST_REQUIRE(
      Fleet.runUntil(StartTimeout, [&] { return Fleet.hasAllLeases(Nobody); }));
  std::size_t Issuer = Fleet.issuer();
  BOOST_REQUIRE(Issuer < Fleet.vms());
  Fleet.signal(Issuer, SIGSTOP);
  BOOST_TEST(Fleet.runUntil(SuccessionTimeout,
                            [&] { return Fleet.hasAllLeases(Issuer); }));
  Fleet.signal(Issuer, SIGCONT);
  BOOST_TEST(Fleet.runUntil(SuccessionTimeout, [&] {
    return Fleet.metric(Issuer, "permit_leases") == 0.0;
  }));
  BOOST_TEST(Fleet.hasAllLeases(Issuer));
}

// review/8: the entries of VMs that had left stayed in the store, so that the
// VMs that took their places reached no majority of them.
BOOST_AUTO_TEST_CASE(aFleetWhoseVmsWereReplacedIssuesPermits) {
  LimitedFleet Fleet(4, 2);
  std::size_t Nobody = Fleet.vms();
  auto HasAllLeases = [&] { return Fleet.hasAllLeases(Nobody); };
  BOOST_REQUIRE(Fleet.runUntil(StartTimeout, HasAllLeases));
  for (std::size_t Old : {0, 1}) {
    Fleet.start(Old + 2);
    BOOST_REQUIRE(Fleet.runUntil(StartTimeout, [&] {
      return Fleet.metric(Old + 2, "permit_leases").has_value();
    }));
    BOOST_REQUIRE(Fleet.end(Old, SIGTERM));
    BOOST_TEST(Fleet.runUntil(SuccessionTimeout, HasAllLeases));
  }
  for (std::size_t Vm : {2, 3})
    BOOST_REQUIRE(Fleet.end(Vm, SIGKILL));
  for (std::size_t Vm : {2, 3})
    Fleet.start(Vm);
  BOOST_TEST(Fleet.runUntil(StartTimeout, HasAllLeases));
}

// Like the one before, but the VMs are killed for good.
BOOST_AUTO_TEST_CASE(aFleetWhoseVmsWereLostOneByOneIssuesPermits) {
  LimitedFleet Fleet(4, 2);
  std::size_t Nobody = Fleet.vms();
  auto HasAllLeases = [&] { return Fleet.hasAllLeases(Nobody); };
  BOOST_REQUIRE(Fleet.runUntil(StartTimeout, HasAllLeases));
  for (std::size_t Old : {0, 1}) {
    Fleet.start(Old + 2);
    BOOST_REQUIRE(Fleet.runUntil(StartTimeout, [&] {
      return Fleet.metric(Old + 2, "permit_leases").has_value();
    }));
    BOOST_REQUIRE(Fleet.end(Old, SIGKILL));
    BOOST_TEST(Fleet.runUntil(SuccessionTimeout, HasAllLeases));
    BOOST_TEST(Fleet.runUntil(25s, [&] { return !Fleet.isListed(Old); }));
  }
  for (std::size_t Vm : {2, 3})
    BOOST_REQUIRE(Fleet.end(Vm, SIGKILL));
  for (std::size_t Vm : {2, 3})
    Fleet.start(Vm);
  BOOST_TEST(Fleet.runUntil(StartTimeout, HasAllLeases));
}

// review/9, with accounts that have a limit: VMs that were lost right after
// their start are no voters.
BOOST_AUTO_TEST_CASE(aFleetIssuesPermitsBesideManyVmsThatWereLostAtTheirStart) {
  LimitedFleet Fleet(1, 1, 1000);
  std::size_t Nobody = Fleet.vms();
  auto HasAllLeases = [&] { return Fleet.hasAllLeases(Nobody); };
  BOOST_TEST(Fleet.runUntil(StartTimeout, HasAllLeases));
  BOOST_REQUIRE(Fleet.end(0, SIGKILL));
  Fleet.start(0);
  BOOST_TEST(Fleet.runUntil(StartTimeout, HasAllLeases));
}

// review/14: half of a failure domain's VMs are lost, and the rest start anew.
BOOST_AUTO_TEST_CASE(aFleetWhoseHalfIsLostIssuesPermits) {
  LimitedFleet Fleet(2, 2);
  std::size_t Nobody = Fleet.vms();
  auto HasAllLeases = [&] { return Fleet.hasAllLeases(Nobody); };
  BOOST_REQUIRE(Fleet.runUntil(StartTimeout, HasAllLeases));
  // Its entry in the store is that of a VM that has run for a while.
  Fleet.runUntil(3s, [] { return false; });
  for (std::size_t Vm : {0, 1})
    BOOST_REQUIRE(Fleet.end(Vm, SIGKILL));
  Fleet.start(0);
  // RECOVER allows 15 s.
  BOOST_TEST(Fleet.runUntil(15s, HasAllLeases));
}
