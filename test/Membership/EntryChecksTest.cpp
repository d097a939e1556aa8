#define BOOST_TEST_MODULE EntryChecks
#include <boost/test/unit_test.hpp>

#include "Membership/EntryChecks.h"

#include <random>

using namespace cicadawind;
using namespace std::chrono_literals;

namespace {

/// Sweeps every 250 ms, and counts the checks.
struct CheckedVm {
  explicit CheckedVm(std::uint64_t Seed = 5)
      : Engine(Seed), Checks({.Random = [this] { return Engine(); }}) {}

  void runFor(Duration Time, bool ReachesMajority = true) {
    for (TimePoint End = Now + Time; Now < End; Now += 250ms)
      Count += Checks.isDue(ReachesMajority, Now) ? 1 : 0;
  }

  std::mt19937_64 Engine;
  EntryChecks Checks;
  TimePoint Now{1000s};
  int Count = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(anEntryIsCheckedNowAndThen) {
  CheckedVm Vm;
  Vm.runFor(2min);
  BOOST_TEST(Vm.Count == 0);
  Vm.runFor(100min);
  BOOST_TEST(Vm.Count >= 15);
  BOOST_TEST(Vm.Count <= 30);
}

BOOST_AUTO_TEST_CASE(anEntryIsCheckedAfterASuspension) {
  CheckedVm Vm;
  Vm.runFor(10s);
  Vm.Now += 12s;
  Vm.runFor(4500ms);
  BOOST_TEST(Vm.Count == 1);
}

BOOST_AUTO_TEST_CASE(anEntryIsCheckedOnceMostVmsAreReachedAgain) {
  CheckedVm Vm;
  Vm.runFor(10s);
  Vm.runFor(3s, false);
  Vm.runFor(10s);
  BOOST_TEST(Vm.Count == 0);
  Vm.runFor(12s, false);
  BOOST_TEST(Vm.Count == 0);
  Vm.runFor(4500ms);
  BOOST_TEST(Vm.Count == 1);
}

// Otherwise all VMs of a part that was cut off would call the store together.
BOOST_AUTO_TEST_CASE(checksOfManyVmsAreSpread) {
  int InFirstSecond = 0;
  for (std::uint64_t Seed = 0; Seed < 200; ++Seed) {
    CheckedVm Vm(Seed);
    Vm.runFor(10s);
    Vm.runFor(12s, false);
    Vm.runFor(1s);
    InFirstSecond += Vm.Count;
  }
  BOOST_TEST(InFirstSecond < 100);
}
