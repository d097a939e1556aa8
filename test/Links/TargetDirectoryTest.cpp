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
    TargetEntry Entry = entry("b", true);
    Entry.Incarnation = Incarnation;
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

BOOST_AUTO_TEST_CASE(aTargetThatStaysHasNoTimeOfDeparture) {
  TargetDirectory Directory{TargetDirectory::Options{}};
  Directory.applyList({entry("b")}, Start);
  BOOST_TEST(!Directory.ofGroup("g").at(0).LeavingSince.has_value());
}
