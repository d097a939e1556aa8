#define BOOST_TEST_MODULE TargetDirectory
#include <boost/test/unit_test.hpp>

#include "Links/TargetDirectory.h"

using namespace cicadawind;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};

TargetEntry entry(const std::string &Name, bool Leaving = false) {
  return {.Instance = Name, .Group = "g", .Leaving = Leaving};
}

} // namespace

BOOST_AUTO_TEST_CASE(anEntryThatReappearsInTimeIsKept) {
  TargetDirectory Directory{TargetDirectory::Options{}};
  Directory.applyList({entry("a"), entry("b")}, Start);
  Directory.applyList({entry("a")}, Start + 1s);
  BOOST_TEST(!Directory.expire(Start + 3s));
  Directory.applyList({entry("a"), entry("b")}, Start + 3s);
  BOOST_TEST(!Directory.expire(Start + 10s));
  BOOST_TEST(Directory.ofGroup("g").size() == 2);
}

BOOST_AUTO_TEST_CASE(anEntryThatStaysMissingIsRemoved) {
  TargetDirectory Directory{TargetDirectory::Options{}};
  Directory.applyList({entry("a"), entry("b")}, Start);
  Directory.applyList({entry("a")}, Start + 1s);
  BOOST_TEST(Directory.listed().size() == 1);
  BOOST_TEST(Directory.expire(Start + 4s));
  BOOST_TEST(Directory.ofGroup("g").size() == 1);
}

BOOST_AUTO_TEST_CASE(anEntryOfALeavingTargetIsRemovedAtOnce) {
  TargetDirectory Directory{TargetDirectory::Options{}};
  Directory.applyList({entry("a"), entry("b", true)}, Start);
  Directory.applyList({entry("a")}, Start + 1s);
  BOOST_TEST(Directory.ofGroup("g").size() == 1);
}

BOOST_AUTO_TEST_CASE(
    aTargetThatHasLeftGetsNoWorkWhenAnOlderListShowsItAsReady) {
  TargetEntry Ready = entry("b");
  Ready.Incarnation = 5;
  TargetEntry Leaving = Ready;
  Leaving.Leaving = true;
  for (bool IsGone : {false, true}) {
    TargetDirectory Directory{TargetDirectory::Options{}};
    Directory.applyList({Ready}, Start);
    Directory.applyList({Leaving}, Start + 1s);
    if (IsGone)
      Directory.applyList({}, Start + 2s);
    Directory.applyList({Ready}, Start + 3s);
    BOOST_TEST(Directory.ofGroup("g").at(0).Leaving);
  }
}

BOOST_AUTO_TEST_CASE(aTargetThatStartsAgainAfterItHasLeftGetsWork) {
  for (std::int64_t Next : {std::int64_t{6}, std::int64_t{0}}) {
    TargetDirectory Directory{TargetDirectory::Options{}};
    TargetEntry Entry = entry("b", true);
    Entry.Incarnation = Next == 0 ? 0 : 5;
    Directory.applyList({Entry}, Start);
    Entry.Leaving = false;
    Entry.Incarnation = Next;
    Directory.applyList({Entry}, Start + 1s);
    BOOST_TEST(!Directory.ofGroup("g").at(0).Leaving);
  }
}

BOOST_AUTO_TEST_CASE(theTimeOfADepartureDoesNotRestartWithLaterLists) {
  for (std::int64_t Incarnation : {std::int64_t{5}, std::int64_t{0}}) {
    TargetDirectory Directory{TargetDirectory::Options{}};
    TargetEntry Entry = entry("b");
    Entry.Incarnation = Incarnation;
    Directory.applyList({Entry}, Start);
    Entry.Leaving = true;
    Directory.applyList({Entry}, Start);
    Directory.applyList({}, Start + 1s);
    Directory.applyList({Entry}, Start + 2s);
    BOOST_TEST((Directory.ofGroup("g").at(0).LeavingSince == Start));
    Entry.LeavingSince = Start - 3s;
    Directory.applyList({Entry}, Start + 3s);
    Entry.LeavingSince.reset();
    Directory.applyList({Entry}, Start + 4s);
    BOOST_TEST((Directory.ofGroup("g").at(0).LeavingSince == Start - 3s));
  }
}

// review/10: a VM that started took the time of its first list for that of the
// departure, and sent requests after its bound.
BOOST_AUTO_TEST_CASE(aDepartureBeforeTheFirstListIsOfAnUnknownTime) {
  TargetDirectory Directory{TargetDirectory::Options{}};
  TargetEntry Entry = entry("b", true);
  Entry.Incarnation = 5;
  Directory.applyList({Entry}, Start);
  TargetEntry Known = Directory.ofGroup("g").at(0);
  BOOST_TEST(Known.Leaving);
  BOOST_TEST(!Known.LeavingSince.has_value());
  BOOST_TEST(Directory.lacksDeparture());
  BOOST_TEST(Directory.departures().empty());
  BOOST_TEST(!Directory.recordDeparture(
      {.Instance = "b", .Incarnation = 4, .Since = Start - 9s}));
  BOOST_TEST(Directory.recordDeparture(
      {.Instance = "b", .Incarnation = 5, .Since = Start - 2s}));
  BOOST_TEST(!Directory.lacksDeparture());
  Directory.applyList({Entry}, Start + 1s);
  BOOST_TEST((Directory.ofGroup("g").at(0).LeavingSince == Start - 2s));
  std::vector<TargetDeparture> Departures = Directory.departures();
  BOOST_REQUIRE(Departures.size() == 1U);
  BOOST_TEST((Departures[0].Since == Start - 2s));
}

// The target may have said that it leaves at any time after the reading before.
BOOST_AUTO_TEST_CASE(aDepartureCountsFromTheLastReadingBeforeIt) {
  struct Case {
    Duration ConfirmedAt;
    Duration LeavesAt;
    Duration Since;
  };
  for (const Case &Each : {Case{0s, 1s, 1s}, Case{0s, 6s, 1200ms},
                           Case{5s, 6s, 6s}, Case{5s, 20s, 6200ms}}) {
    TargetDirectory Directory{TargetDirectory::Options{}};
    Directory.applyList({entry("b")}, Start);
    Directory.confirmList(Start + Each.ConfirmedAt);
    Directory.applyList({entry("b", true)}, Start + Each.LeavesAt);
    Directory.confirmList(Start + Each.LeavesAt + 1s);
    Directory.applyList({entry("b", true)}, Start + Each.LeavesAt + 2s);
    BOOST_TEST(
        (Directory.ofGroup("g").at(0).LeavingSince == Start + Each.Since));
  }
}

// A peer may have read its list long ago.
BOOST_AUTO_TEST_CASE(aListOfAPeerDoesNotTellThatATargetStays) {
  TargetDirectory Directory{TargetDirectory::Options{}};
  Directory.applyList({entry("b")}, Start, TargetDirectory::Source::Peer);
  Directory.confirmList(Start);
  Directory.applyList({entry("b", true)}, Start + 1s);
  BOOST_TEST(Directory.lacksDeparture());
}

BOOST_AUTO_TEST_CASE(aTargetThatStaysHasNoTimeOfDeparture) {
  TargetDirectory Directory{TargetDirectory::Options{}};
  Directory.applyList({entry("b")}, Start);
  BOOST_TEST(!Directory.ofGroup("g").at(0).LeavingSince.has_value());
}
