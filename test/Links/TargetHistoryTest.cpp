#define BOOST_TEST_MODULE TargetHistory
#include <boost/test/unit_test.hpp>

#include "Links/TargetHistory.h"

#include <random>

using namespace cicadawind;

namespace {

TargetEntry entry(const std::string &Name, bool Leaving = false) {
  TargetEntry Out;
  Out.Instance = Name;
  Out.Group = "g";
  Out.Leaving = Leaving;
  return Out;
}

} // namespace

BOOST_AUTO_TEST_CASE(onlyChangesAfterTheRevisionAreReturned) {
  TargetHistory History;
  History.record({entry("a"), entry("b")}, 10);
  History.record({entry("a"), entry("b", true)}, 20);
  History.record({entry("a"), entry("c")}, 30);
  TargetChanges Late{.Changed = {entry("c")}, .Removed = {"b"}};
  BOOST_TEST((History.changesSince(25) == Late));
  BOOST_TEST((History.changesSince(30) == TargetChanges()));
}

// The removal of a target before the history began is not known.
BOOST_AUTO_TEST_CASE(aRevisionBeforeTheHistoryHasNoChanges) {
  TargetHistory History;
  BOOST_TEST(!History.changesSince(5).has_value());
  History.record({entry("a")}, 10);
  BOOST_TEST(!History.changesSince(9).has_value());
  BOOST_TEST(History.changesSince(10).has_value());
}

BOOST_AUTO_TEST_CASE(aTargetThatIsListedAgainIsAChange) {
  TargetHistory History;
  History.record({entry("a")}, 10);
  History.record({}, 20);
  History.record({entry("a")}, 30);
  TargetChanges Back{.Changed = {entry("a")}};
  BOOST_TEST((History.changesSince(15) == Back));
}

// A VM follows two that read the store at different times. The hash must show
// each time at which the changes do not lead to the list of the other VM.
BOOST_AUTO_TEST_CASE(changesOfSeveralVmsLeadToTheSameList) {
  std::mt19937_64 Random(5);
  std::vector<TargetEntry> Store;
  TargetHistory Readers[2];
  std::uint64_t ReadAt[2] = {0, 0};
  std::vector<TargetEntry> Read[2];
  std::vector<TargetEntry> Follower;
  std::uint64_t FollowerAt = 0;
  int WholeLists = 0;
  for (std::uint64_t Revision = 1; Revision <= 2000; ++Revision) {
    TargetChanges Change;
    std::string Name = "t" + std::to_string(Random() % 20);
    if (Random() % 3 == 0)
      Change.Removed.push_back(Name);
    else
      Change.Changed.push_back(entry(Name, Random() % 2 == 0));
    Store = applyChanges(Store, Change);
    std::size_t Reader = Random() % 2;
    Readers[Reader].record(Store, Revision);
    ReadAt[Reader] = Revision;
    Read[Reader] = Store;
    std::size_t From = Random() % 2;
    if (ReadAt[From] <= FollowerAt)
      continue;
    std::optional<TargetChanges> Changes =
        Readers[From].changesSince(FollowerAt);
    std::vector<TargetEntry> Next =
        Changes ? applyChanges(Follower, *Changes) : Read[From];
    bool IsSame = hashOf(Next) == hashOf(Read[From]);
    BOOST_REQUIRE(IsSame == (Next == Read[From]));
    WholeLists += Changes && IsSame ? 0 : 1;
    Follower = Read[From];
    FollowerAt = ReadAt[From];
  }
  // Some targets changed back unnoticed, but most changes suffice.
  BOOST_TEST(WholeLists > 0);
  BOOST_TEST(WholeLists < 300);
}
