#define BOOST_TEST_MODULE SharedEvidence
#include <boost/test/unit_test.hpp>

#include "Exchange/ByteBudget.h"
#include "Exchange/SharedEvidence.h"

using namespace cicadawind;
using std::chrono::milliseconds;

namespace {

const TimePoint Start{std::chrono::seconds(1000)};
const SharedEvidence::Key On("g", "a");

SharedEvidence::Evidence evidence(const std::string &Vm, bool IsNear,
                                  TimePoint At) {
  return {.Vm = Vm, .IsNear = IsNear, .At = At};
}

/// Returns the names in \p Listed.
std::vector<std::string> namesIn(const std::vector<ReportedEvidence> &Listed) {
  std::vector<std::string> Out;
  Out.reserve(Listed.size());
  for (const ReportedEvidence &Each : Listed)
    Out.push_back(Each.Vm);
  return Out;
}

} // namespace

BOOST_AUTO_TEST_CASE(aListHasTheEvidenceInTheScopeOfTheQuery) {
  SharedEvidence Shared({});
  Shared.record(On, evidence("near", true, Start));
  Shared.record(On, evidence("far", false, Start));
  Shared.record({"g", "b"}, evidence("other", true, Start));
  Shared.recordQuery(On, EvidenceScope::Region, "x", 1, Start);
  Shared.recordQuery(On, EvidenceScope::OtherRegions, "y", 1, Start);
  std::vector<std::string> Near = {"near"};
  std::vector<std::string> Far = {"far"};
  BOOST_TEST(namesIn(Shared.takeListFor(On, "x", Start)) == Near);
  BOOST_TEST(namesIn(Shared.takeListFor(On, "y", Start)) == Far);
}

// The age must cover the time that the evidence waited here.
BOOST_AUTO_TEST_CASE(theAgeOfEvidenceGrowsWhileItWaits) {
  SharedEvidence Shared({});
  SharedEvidence::Evidence New = evidence("v", true, Start);
  New.ContactAge = milliseconds(30);
  New.ReachesDirectly = true;
  Shared.record(On, New);
  Shared.recordQuery(On, EvidenceScope::Region, "x", 1, Start);
  auto Listed = Shared.takeListFor(On, "x", Start + milliseconds(70));
  BOOST_REQUIRE(Listed.size() == 1U);
  BOOST_TEST(Listed[0].Age.count() >= 70);
  BOOST_TEST(Listed[0].Age.count() <= 71);
  BOOST_TEST(Listed[0].ContactAge->count() == 30);
  BOOST_TEST(Listed[0].ReachesDirectly);
}

// Evidence arrives in several ways, and the older must not hide the newer.
BOOST_AUTO_TEST_CASE(olderEvidenceDoesNotReplaceNewer) {
  SharedEvidence Shared({});
  BOOST_TEST(Shared.record(On, evidence("v", true, Start)));
  BOOST_TEST(!Shared.record(On, evidence("v", true, Start - milliseconds(1))));
  BOOST_TEST(!Shared.record(On, evidence("v", true, Start)));
  BOOST_TEST(Shared.record(On, evidence("v", true, Start + milliseconds(1))));
}

BOOST_AUTO_TEST_CASE(whatArrivesLaterIsPassedOnOnceWithoutAnotherQuery) {
  SharedEvidence Shared({});
  Shared.recordQuery(On, EvidenceScope::Region, "x", 9, Start);
  BOOST_TEST(Shared.takeListFor(On, "x", Start).empty());
  BOOST_TEST(Shared.takeDueLists(Start + milliseconds(5)).empty());
  Shared.record(On, evidence("v", true, Start + milliseconds(5)));
  auto Due = Shared.takeDueLists(Start + milliseconds(5));
  BOOST_REQUIRE(Due.size() == 1U);
  BOOST_TEST(Due[0].To == "x");
  BOOST_TEST(Due[0].Number == 9U);
  BOOST_TEST((Due[0].Held == milliseconds(5)));
  BOOST_TEST(Due[0].Listed.size() == 1U);
  Shared.record(On, evidence("w", true, Start + milliseconds(6)));
  BOOST_TEST(Shared.takeDueLists(Start + milliseconds(6)).empty());
  std::vector<std::string> Second = {"w"};
  Due = Shared.takeDueLists(Start + milliseconds(25));
  BOOST_REQUIRE(Due.size() == 1U);
  BOOST_TEST(namesIn(Due[0].Listed) == Second);
}

BOOST_AUTO_TEST_CASE(aLongListIsSplit) {
  SharedEvidence::Options Opts;
  SharedEvidence Shared(Opts);
  std::size_t Count = 2 * Opts.MaxListed;
  for (std::size_t I = 0; I < Count; ++I)
    Shared.record(On, evidence(std::to_string(I), true, Start));
  Shared.recordQuery(On, EvidenceScope::Region, "x", 9, Start);
  std::size_t Got = Shared.takeListFor(On, "x", Start).size();
  BOOST_TEST(Got == Opts.MaxListed);
  for (auto &Each : Shared.takeDueLists(Start + Opts.PassOnInterval))
    Got += Each.Listed.size();
  BOOST_TEST(Got == Count);
}

BOOST_AUTO_TEST_CASE(aVmThatNoLongerAsksGetsNothing) {
  SharedEvidence::Options Opts;
  SharedEvidence Shared(Opts);
  Shared.recordQuery(On, EvidenceScope::Region, "x", 9, Start);
  TimePoint Later = Start + Opts.SubscriptionLifetime + milliseconds(1);
  Shared.record(On, evidence("v", true, Later));
  BOOST_TEST(Shared.takeDueLists(Later).empty());
}

BOOST_AUTO_TEST_CASE(aBudgetOfBytesHoldsInEachPeriod) {
  ByteBudget Budget;
  std::size_t Taken = 0;
  for (Duration At{}; At < std::chrono::seconds(10); At += milliseconds(5))
    for (int I = 0; I < 100; ++I)
      Taken += Budget.take(200, 20000, Start + At) ? 200 : 0;
  BOOST_TEST(Taken <= 210000U);
  BOOST_TEST(Taken >= 200000U);
}
