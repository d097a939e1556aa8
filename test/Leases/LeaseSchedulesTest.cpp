#define BOOST_TEST_MODULE LeaseSchedules
#include "Leases/LeaseWorld.h"
#include "TestFlags.h"

#include <iostream>

using namespace cicadawind;
using namespace cicadawind::test;

namespace {

struct Totals {
  unsigned Schedules = 0;
  unsigned Violations = 0;
  unsigned Writes = 0;
  unsigned Reads = 0;
  unsigned Promotions = 0;
  std::string First;
};

Totals runSchedules(const LeaseGuards &Guards, std::uint64_t FirstSeed,
                    std::uint64_t Count, bool StopsAtViolation) {
  Totals Out;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Count; ++Seed) {
    LeaseWorld World({.Seed = Seed,
                      .Guards = Guards,
                      .Vms = 3 + static_cast<unsigned>(Seed % 5)});
    World.run();
    ++Out.Schedules;
    Out.Violations += static_cast<unsigned>(World.Violations.size());
    Out.Writes += World.AcknowledgedWrites;
    Out.Reads += World.Reads;
    Out.Promotions += World.Promotions;
    if (World.Violations.empty())
      continue;
    if (Out.First.empty())
      Out.First =
          "seed " + std::to_string(Seed) + ": " + World.Violations.front();
    if (StopsAtViolation)
      break;
  }
  std::cout << Out.Schedules << " schedules, " << Out.Writes << " writes, "
            << Out.Reads << " reads, " << Out.Promotions << " promotions, "
            << Out.Violations << " violations " << Out.First << "\n";
  return Out;
}

/// Returns whether the absence of a guard is detected in some of the schedules
/// from \p FirstSeed on.
bool isDetected(const LeaseGuards &Guards, std::uint64_t FirstSeed) {
  static const std::uint64_t Schedules = numberFlag("schedules", 200);
  return runSchedules(Guards, numberFlag("seed", FirstSeed), Schedules, true)
             .Violations > 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(noWriteIsAcknowledgedByAReplacedPrimary) {
  Totals Seen = runSchedules({}, numberFlag("seed", 1),
                             numberFlag("schedules", 200), false);
  BOOST_TEST(Seen.Violations == 0);
  // The schedules exercise the protocol: callers are served and primaries are
  // replaced.
  BOOST_TEST(Seen.Writes > 100 * Seen.Schedules);
  BOOST_TEST(Seen.Promotions > Seen.Schedules / 4);
}

BOOST_AUTO_TEST_CASE(ordersWithoutWaitingForLeasesAreDetected) {
  BOOST_TEST(isDetected({.WaitForLeases = false}, 4700));
}

BOOST_AUTO_TEST_CASE(repliesThatAreNotCheckedAreDetected) {
  BOOST_TEST(isDetected({.CheckReplies = false}, 5300));
}

BOOST_AUTO_TEST_CASE(proposalsOutOfOrderAreDetected) {
  BOOST_TEST(isDetected({.OrderProposals = false}, 1));
}

BOOST_AUTO_TEST_CASE(votersThatKeepTheirLeasesAreDetected) {
  BOOST_TEST(isDetected({.GiveUpLeases = false}, 3600));
}

BOOST_AUTO_TEST_CASE(votersThatForgotEarlierOrdersAreDetected) {
  BOOST_TEST(isDetected({.KnowEarlierOrders = false}, 26200));
}

BOOST_AUTO_TEST_CASE(anotherSuccessorAfterAnUnansweredOrderIsDetected) {
  BOOST_TEST(isDetected({.KeepSuccessor = false}, 1));
}
