#define BOOST_TEST_MODULE PromotionOrders
#include "Promotion/PromotionSearch.h"
#include "TestFlags.h"

#include <boost/test/unit_test.hpp>

#include <iostream>

// Acknowledged entries that a promotion discarded were missing from reads of
// the new term, so no later primary may have them. The model follows
// docs/incidents/saumur-stale-replaced-primary.md; see PromotionModel.

using namespace cicadawind::test;

namespace {

using Trace = PromotionSearch::Trace;
using Options = PromotionModel::Options;

constexpr unsigned WalkLength = 60;
/// Seeds within which a flaw must be found.
constexpr std::uint64_t FlawSeeds = 100000;

/// The model with a store that is always reached.
Options withStore() {
  Options Out;
  Out.LosesStore = false;
  Out.KeepsSuperseded = true;
  Out.ReadsRecordFirst = true;
  return Out;
}

std::string played(const Options &Opts, const std::vector<std::string> &Texts) {
  return PromotionSearch(Opts).play(PromotionSearch::parse(Texts)).violation();
}

/// Returns the violation that the first violating walk shows, shortened; empty
/// if there is none.
std::string firstViolation(const Options &Opts, std::uint64_t Seeds) {
  PromotionSearch Search(Opts);
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    PromotionSearch::Outcome Walk = Search.walk(Seed, WalkLength);
    if (Walk.Violation.empty())
      continue;
    PromotionSearch::Outcome Short = Search.shorten(Walk.Events);
    std::string Text = Short.Violation + " by " +
                       std::to_string(Short.Events.size()) +
                       " events: " + PromotionSearch::toString(Short.Events);
    std::cout << "seed " << Seed << ": " << Text << "\n";
    return Text;
  }
  std::cout << Seeds << " seeds of " << WalkLength << " events: no violation\n";
  return "";
}

/// The same for decisions that lose an acknowledged entry only.
std::string firstLogViolation(Options Opts, std::uint64_t Seeds) {
  PromotionSearch Search(Opts);
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    PromotionSearch::Outcome Walk = Search.walk(Seed, WalkLength);
    if (Walk.Violation.find("was chosen without entry") == std::string::npos)
      continue;
    PromotionSearch::Outcome Short = Search.shorten(Walk.Events);
    std::string Text =
        Short.Violation + " by " + PromotionSearch::toString(Short.Events);
    std::cout << "seed " << Seed << ": " << Text << "\n";
    return Text;
  }
  return "";
}

std::uint64_t seedsOr(std::uint64_t Fallback) {
  return numberFlag("seeds", Fallback);
}

/// Returns the violation that is nearest to \p Start, within \p States states.
std::string nearestViolation(Options Opts,
                             const std::vector<std::string> &Start,
                             std::size_t States) {
  constexpr unsigned MaxDepth = 9;
  Opts.MaxCuts = 1;
  Opts.MaxInFlight = 2;
  PromotionSearch Search(Opts);
  PromotionSearch::Outcome Out =
      Search.breadthFirst(PromotionSearch::parse(Start), MaxDepth, States);
  std::cout << "after " << Start.size() << " events: " << Out.States
            << " states, every order of " << Out.CompleteDepth << " events, "
            << (Out.Violation.empty() ? "no violation" : Out.Violation) << " "
            << PromotionSearch::toString(Out.Events) << "\n";
  return Out.Violation;
}

Options withFlaw(PromotionFlaw Flaw) {
  Options Out = withStore();
  Out.Flaw = Flaw;
  Out.ChecksTokens = false;
  return Out;
}

/// States from which every short order of events is tried.
const std::vector<std::vector<std::string>> Starts = {
    {},
    {"cut a v1", "commit"},
    {"cut a v1", "commit", "attempt v2", "order v2", "notice v1"},
    {"commit", "copy c", "cut c v1", "crash a", "attempt v2"},
    {"commit", "leave a", "attempt v1", "order-in-flight v1"},
};

} // namespace

// Guards against a rule that a short order of events defeats.
BOOST_AUTO_TEST_CASE(everyShortOrderReturnsNothing) {
  std::uint64_t States = numberFlag("states", 250000);
  for (const std::vector<std::string> &Start : Starts) {
    Options Opts = withStore();
    BOOST_TEST(nearestViolation(Opts, Start, States) == "");
    Opts.SplitsAttempts = false;
    BOOST_TEST(nearestViolation(Opts, Start, States) == "");
  }
}

// The same with the store away at times.
BOOST_AUTO_TEST_CASE(everyShortOrderOfTheWholeModelReturnsNothing) {
  std::uint64_t States = numberFlag("states", 250000);
  for (const std::vector<std::string> &Start : Starts)
    BOOST_TEST(nearestViolation(Options(), Start, States) == "");
}

// Guards against a rule that a long order of events defeats.
BOOST_AUTO_TEST_CASE(randomOrdersReturnNothing) {
  BOOST_TEST(firstViolation(withStore(), seedsOr(30000)) == "");
}

// The same with the store away at times.
BOOST_AUTO_TEST_CASE(randomOrdersOfTheWholeModelReturnNothing) {
  BOOST_TEST(firstViolation(Options(), seedsOr(30000)) == "");
}

/// The model of a group that acknowledges an entry once a replica has it. What
/// a later order carries out in place of an earlier one is not checked.
Options synchronous() {
  Options Out;
  Out.IsSynchronous = true;
  Out.SplitsAttempts = false;
  return Out;
}

// Guards against a decision for a target that lacks an acknowledged entry, by
// whatever was recorded, named or ordered before (review/11, review/12).
BOOST_AUTO_TEST_CASE(noDecisionLosesAnAcknowledgedEntry) {
  BOOST_TEST(firstLogViolation(synchronous(), seedsOr(30000)) == "");
}

// Guards against a rule that is safe because nobody can promote any more.
BOOST_AUTO_TEST_CASE(primaryIsFoundOnceAllFaultsHaveEnded) {
  PromotionSearch Search{Options()};
  std::uint64_t Walks = seedsOr(10000);
  std::uint64_t Blocked = 0;
  for (std::uint64_t Seed = 1; Seed <= Walks; ++Seed) {
    PromotionModel End = Search.play(Search.walk(Seed, WalkLength).Events);
    bool Recovers = End.recovers(true) && End.recovers(false);
    BOOST_TEST(Recovers, "no primary after seed " << Seed);
    for (unsigned Down = 0; Down < ModelPlatform::TargetCount; ++Down)
      Blocked += End.recovers(false, Down) ? 0 : 1;
  }
  std::cout << Walks << " walks; with one target down for good, but listed, "
            << Blocked << " of " << ModelPlatform::TargetCount * Walks
            << " ends stay without a primary\n";
}

// The following guard against a search that finds nothing.
BOOST_AUTO_TEST_CASE(searchFindsThatTheLongestLogWins) {
  Options Opts = withFlaw(PromotionFlaw::LongestLogWins);
  BOOST_TEST(firstViolation(Opts, FlawSeeds) != "");
}

BOOST_AUTO_TEST_CASE(searchFindsThatARepeatClaimsAToken) {
  Options Opts = withFlaw(PromotionFlaw::RepeatClaimsToken);
  BOOST_TEST(firstViolation(Opts, FlawSeeds) != "");
  Opts.ChecksTokens = true;
  std::string Violation = firstViolation(Opts, FlawSeeds);
  BOOST_TEST(Violation.starts_with("a decision was ordered with two"));
}

BOOST_AUTO_TEST_CASE(searchFindsThatAnUnknownPrimaryIgnoresTheRecord) {
  Options Opts = withFlaw(PromotionFlaw::UnknownPrimaryIgnoresRecord);
  BOOST_TEST(firstViolation(Opts, FlawSeeds) != "");
}

BOOST_AUTO_TEST_CASE(searchFindsThatAReservationHasNoRecord) {
  Options Opts = withFlaw(PromotionFlaw::ReservationWithoutRecord);
  BOOST_TEST(firstViolation(Opts, FlawSeeds) != "");
}

BOOST_AUTO_TEST_CASE(searchFindsThatAReservationNamesNobody) {
  Options Opts;
  Opts.Flaw = PromotionFlaw::ReservationNamesNobody;
  Opts.ChecksTokens = false;
  BOOST_TEST(firstViolation(Opts, FlawSeeds) != "");
}

BOOST_AUTO_TEST_CASE(searchFindsThatRecordsBeatLogs) {
  Options Opts = synchronous();
  Opts.Flaw = PromotionFlaw::RecordsBeatLogs;
  BOOST_TEST(firstLogViolation(Opts, FlawSeeds) != "");
}

BOOST_AUTO_TEST_CASE(searchFindsThatAHandOverIgnoresTheFinalPosition) {
  Options Opts = synchronous();
  Opts.Flaw = PromotionFlaw::HandOverIgnoresFinalPosition;
  BOOST_TEST(firstLogViolation(Opts, FlawSeeds) != "");
}

// A VM that never reached the leaving primary hands over to the replaced one.
BOOST_AUTO_TEST_CASE(handOverNeedsAProofOfThePrimary) {
  BOOST_TEST(
      played({}, {"cut a v1", "commit", "attempt v2", "order v2", "notice v1",
                  "follow c", "leave b", "notice v2", "attempt v1",
                  "attempt v2", "attempt v1", "order v1"}) == "");
}

// Another VM's hand-over is ordered between a hand-over's survey and its order.
BOOST_AUTO_TEST_CASE(handOverCompletesTheRecordedOne) {
  BOOST_TEST(played({}, {"commit", "leave a", "attempt v1", "copy c",
                         "attempt v2", "order v1", "order v2"}) == "");
}

// An unanswered order is carried out between a later survey and its order.
BOOST_AUTO_TEST_CASE(unansweredOrderCarriedOutAfterALaterSurveyReturnsNothing) {
  BOOST_TEST(played({}, {"commit", "copy c", "cut c v1", "crash a",
                         "attempt v2", "order-in-flight v2", "heal",
                         "attempt v3", "carry-out-oldest", "order v3"}) == "");
}

// A decision on an older survey lowers the term that the record says.
BOOST_AUTO_TEST_CASE(recordedTermDoesNotFall) {
  BOOST_TEST(played({}, {"cut a v1", "attempt v2", "order v2", "leave b",
                         "notice v3", "commit", "notice v1", "survey v1",
                         "heal", "follow a", "attempt v3", "decide v1",
                         "cut a v1", "order v1", "attempt v2", "order v2"}) ==
             "");
}

const std::vector<std::string> VoidDecision = {
    "leave a", "commit",     "attempt v1", "attempt v3",
    "copy c",  "attempt v3", "order v1",   "order v3"};

// A decision that was never ordered hides the one before, which is ordered.
BOOST_AUTO_TEST_CASE(voidDecisionDoesNotHideTheOneBefore) {
  BOOST_TEST(played({}, VoidDecision) == "");
}

BOOST_AUTO_TEST_CASE(voidDecisionThatKeepsTheRecordReturnsNothing) {
  BOOST_TEST(played({.KeepsSuperseded = true}, VoidDecision) == "");
}

const std::vector<std::string> OutdatedSurvey = {"commit",
                                                 "cut a",
                                                 "attempt v2",
                                                 "order v2",
                                                 "attempt v2",
                                                 "survey v3",
                                                 "commit",
                                                 "leave b",
                                                 "heal",
                                                 "survey v2",
                                                 "copy c",
                                                 "attempt v3",
                                                 "decide v2",
                                                 "order-in-flight v2",
                                                 "carry-out-oldest"};

// A record that is newer than the survey makes its successor look shortened.
BOOST_AUTO_TEST_CASE(recordNewerThanTheSurveyReturnsNothing) {
  BOOST_TEST(played({.KeepsSuperseded = true}, OutdatedSurvey) == "");
}

BOOST_AUTO_TEST_CASE(recordReadBeforeTheSurveyReturnsNothing) {
  BOOST_TEST(played({.KeepsSuperseded = true, .ReadsRecordFirst = true},
                    OutdatedSurvey) == "");
}

// A reserved token is used while the store, and so its record, is away.
BOOST_AUTO_TEST_CASE(decisionWithoutTheStoreReturnsNothing) {
  BOOST_TEST(played({}, {"cut a v1", "reserve v2", "store-away", "commit",
                         "attempt v2", "order v2", "notice v1", "store-back",
                         "attempt v1", "order v1"}) == "");
}

// A repeat of an old order promotes the primary again after its step-down.
BOOST_AUTO_TEST_CASE(oldOrderAfterAStepDownReturnsNothing) {
  BOOST_TEST(played(withStore(),
                    {"leave a", "attempt v3", "order-in-flight v3",
                     "carry-out-oldest", "order-in-flight v3", "follow c",
                     "leave b", "attempt v3", "attempt v3", "step-down v3",
                     "carry-out-oldest", "commit", "order v3", "survey v3",
                     "cut c v1", "attempt v3", "order v3"}) == "");
}
