#define BOOST_TEST_MODULE VoterList
#include <boost/test/unit_test.hpp>

#include "Leases/VoterList.h"

using namespace cicadawind;
using std::chrono::seconds;

static TimePoint at(int Seconds) { return TimePoint(seconds(Seconds)); }

BOOST_AUTO_TEST_CASE(aVmThatDoesNotAnswerStillCounts) {
  VoterList List({.OwnVm = "v1"});
  List.recordContact("v2", false, at(0));
  List.recordContact("v3", false, at(0));
  BOOST_TEST(List.voters(at(299)).size() == 3);
  BOOST_TEST(List.voters(at(300)).size() == 1);
}

BOOST_AUTO_TEST_CASE(aVmThatLeftStopsCountingSoon) {
  VoterList List({.OwnVm = "v1"});
  List.recordContact("v2", false, at(0));
  List.recordContact("v2", true, at(10));
  BOOST_TEST(List.voters(at(69)).count("v2") == 1);
  BOOST_TEST(List.voters(at(70)).count("v2") == 0);
  List.recordContact("v2", false, at(80)); // It has started again.
  BOOST_TEST(List.voters(at(81)).count("v2") == 1);
}

BOOST_AUTO_TEST_CASE(provisionalVmsThatAreOnlyListedMayBeLeftOut) {
  VoterList List({.OwnVm = "v1"});
  VoterList::Lifetimes Times{.CountsProvisional = false};
  List.recordListed("v2", true);
  List.recordListed("v3", false);
  BOOST_TEST(List.voters(at(0)).size() == 3);
  BOOST_TEST(List.voters(at(0), Times).count("v2") == 0);
  List.recordListed("v2", false);
  BOOST_TEST(List.voters(at(0), Times).size() == 3);
  List.recordListed("v4", true);
  List.recordContact("v4", false, at(1));
  BOOST_TEST(List.voters(at(1), Times).count("v4") == 1);
}

BOOST_AUTO_TEST_CASE(departedVmsAnnouncedItLongAgoAndHaveNotStartedAgain) {
  VoterList List({.OwnVm = "v1"});
  List.recordNamed("v2", at(0), at(0));
  List.recordLeaving("v2", true, at(10));
  List.recordLeaving("v2", true, at(12));
  List.recordLeaving("v9", true, at(10)); // Nobody has named it.
  BOOST_TEST(List.departed(at(12), seconds(3)).empty());
  BOOST_TEST(
      (List.departed(at(13), seconds(3)) == std::set<std::string>{"v2"}));
  List.recordLeaving("v2", false, at(14));
  BOOST_TEST(List.departed(at(20), seconds(3)).empty());
}

// A VM that starts while it is cut off from most others must not take itself
// and the few that it reaches for the whole fleet.
BOOST_AUTO_TEST_CASE(listedAndNamedVmsCountWithoutContact) {
  VoterList List({.OwnVm = "v1"});
  for (const char *Vm : {"v2", "v3", "v4"})
    List.recordListed(Vm);
  BOOST_TEST(List.voters(at(100)).size() == 4);
  List.recordContact("v2", false, at(100));
  List.recordNamed("v3", at(40), at(101));
  BOOST_TEST(List.voters(at(109)).size() == 4);
  // No peer has named "v4", so it was gone before.
  BOOST_TEST(List.voters(at(110)).count("v4") == 0);
  BOOST_TEST(List.voters(at(400)).count("v3") == 1);
}

// In a large fleet, two VMs may have no contact with each other for minutes.
BOOST_AUTO_TEST_CASE(aVmThatPeersAreInContactWithCounts) {
  VoterList List({.OwnVm = "v1"});
  List.recordNamed("v2", at(0), at(0));
  List.recordNamed("v2", at(200), at(210));
  BOOST_TEST(List.voters(at(499)).count("v2") == 1);
  BOOST_TEST(List.voters(at(500)).count("v2") == 0);
}
