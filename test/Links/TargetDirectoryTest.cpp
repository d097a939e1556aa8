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
