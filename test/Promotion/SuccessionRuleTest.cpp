#define BOOST_TEST_MODULE SuccessionRule
#include "Succession/Succession.h"

#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace cicadawind;

namespace {

/// One row: a decision, and its verdict as text.
struct Row {
  const char *Case;
  PromotionEvidence Evidence;
  PromotionRecord Latest;
  const char *Verdict;
};

SuccessorCandidate replica(const char *Instance, Term Follows,
                           LogPosition Received, bool IsLeaving = false) {
  return {.Instance = Instance,
          .Follows = Follows,
          .Received = Received,
          .IsLeaving = IsLeaving};
}

/// Returns \p Verdict as "INSTANCE opens TERM", "INSTANCE is presumed", "none
/// follows TERM" or "INSTANCE, unless A B is ahead".
std::string textOf(const SuccessionVerdict &Verdict) {
  if (const auto *Choice = std::get_if<SuccessionChoice>(&Verdict))
    return Choice->Successor.Instance + " opens " +
           std::to_string(Choice->Opens);
  if (const auto *Presumed = std::get_if<PresumedPrimary>(&Verdict))
    return Presumed->Instance + " is presumed";
  if (const auto *Open = std::get_if<UnprovedSuccessor>(&Verdict)) {
    std::string Ahead;
    for (const std::string &Each : Open->MayBeAhead)
      Ahead += " " + Each;
    return Open->Instance + ", unless" + Ahead + " is ahead";
  }
  return "none follows " +
         std::to_string(std::get<NoSuccessor>(Verdict).Needed);
}

void check(const std::vector<Row> &Rows) {
  for (const Row &Each : Rows)
    BOOST_TEST(textOf(decideSuccession(Each.Evidence, Each.Latest)) ==
                   Each.Verdict,
               Each.Case << ": "
                         << textOf(decideSuccession(Each.Evidence, Each.Latest))
                         << " instead of " << Each.Verdict);
}

const std::set<std::string> Listed = {"a", "b", "c"};
/// The latest decision: "b" opens term 2.
const PromotionRecord PromotedB = {
    .Claim = 1, .Successor = "b", .Received = {1, 5}, .Opens = 2};

} // namespace

// Guards against the return of a replaced primary that has the longest log.
BOOST_AUTO_TEST_CASE(successorOfNewestTermAndThenOfLongestLogIsChosen) {
  auto Choose = [](std::vector<SuccessorCandidate> Candidates, Term AtLeast,
                   const std::string &Preferred) {
    auto Best = chooseSuccessor(Candidates, AtLeast, Preferred);
    return Best ? Best->Instance : "none";
  };
  BOOST_TEST(Choose({}, 0, "") == "none");
  BOOST_TEST(Choose({replica("a", 1, {1, 9})}, 2, "") == "none");
  BOOST_TEST(
      Choose({replica("a", 1, {1, 9}), replica("b", 2, {1, 5})}, 0, "") == "b");
  BOOST_TEST(Choose({replica("a", 2, {2, 9}, true), replica("b", 2, {2, 5})}, 0,
                    "") == "b");
  BOOST_TEST(Choose({replica("a", 1, {1, 9}), replica("b", 2, {1, 5}, true)}, 0,
                    "") == "b");
  BOOST_TEST(Choose({replica("a", 2, {2, 5}), replica("b", 2, {2, 9})}, 0,
                    "a") == "b");
  BOOST_TEST(
      Choose({replica("a", 2, {1, 9}), replica("b", 2, {2, 6})}, 0, "") == "b");
  BOOST_TEST(Choose({replica("a", 2, {2, 5}), replica("b", 2, {2, 5})}, 0,
                    "b") == "b");
}

// Guards against the choices of
// docs/incidents/saumur-stale-replaced-primary.md.
BOOST_AUTO_TEST_CASE(replacedPrimaryOfTheIncidentIsNotChosen) {
  PromotionRecord PromotedR{
      .Claim = 4, .Successor = "R", .Received = {2, 2128}, .Opens = 3};
  PromotionRecord PromotedT{
      .Claim = 3, .Successor = "T", .Received = {2, 106}, .Opens = 3};
  check({
      {"timeline 1, 8.84 s",
       {.Candidates = {replica("L", 3, {3, 2135}, true),
                       replica("P", 2, {2, 2139})},
        .Listed = {"P", "R", "S", "L"}},
       PromotedR,
       "R is presumed"},
      {"timeline 1 without a record",
       {.Candidates = {replica("L", 3, {3, 2135}, true),
                       replica("P", 2, {2, 2139})},
        .Listed = {"P", "R", "S", "L"}},
       {},
       "L opens 4"},
      {"timeline 2, 12.48 s",
       {.OldPrimary = "T",
        .OldPrimaryTerm = 3,
        .Candidates = {replica("U", 3, {2, 106}), replica("E", 2, {2, 112})},
        .Listed = {"E", "T", "U"}},
       PromotedT,
       "U opens 4"},
      {"timeline 2, only the replaced primary replies",
       {.OldPrimary = "T",
        .Candidates = {replica("E", 2, {2, 112})},
        .Listed = {"E", "T", "U"}},
       PromotedT,
       "none follows 3"},
  });
}

// Guards against a VM that decides alone while the recorded one may lead.
BOOST_AUTO_TEST_CASE(unknownPrimaryIsTheRecordedSuccessor) {
  check({
      {"no record",
       {.Candidates = {replica("a", 1, {1, 9}), replica("c", 1, {1, 5})},
        .Listed = Listed},
       {},
       "a opens 2"},
      {"the recorded one is silent",
       {.Candidates = {replica("a", 1, {1, 9})}, .Listed = Listed},
       PromotedB,
       "b is presumed"},
      {"the recorded one replied",
       {.Candidates = {replica("b", 1, {1, 5}), replica("c", 1, {1, 9})},
        .Listed = Listed},
       PromotedB,
       "b opens 2"},
      {"the recorded one replied before it followed the term before",
       {.Candidates = {replica("b", 1, {1, 5})}, .Listed = Listed},
       {.Claim = 2, .Successor = "b", .Received = {1, 5}, .Opens = 3},
       "b opens 3"},
      {"the recorded one lost its log, and all listed ones replied",
       {.Candidates = {replica("b", 1, {1, 4}), replica("c", 1, {1, 9})},
        .Listed = {"b", "c"}},
       PromotedB,
       "c opens 2"},
      {"the recorded one is not listed, and all listed ones replied",
       {.Candidates = {replica("a", 1, {1, 9}), replica("c", 1, {1, 5})},
        .Listed = {"a", "c"},
        .ListRevision = 1},
       PromotedB,
       "a opens 2"},
      {"the record does not say what was decided",
       {.Candidates = {replica("a", 1, {1, 9}), replica("c", 1, {1, 5})},
        .Listed = Listed},
       {.IsKnown = false},
       "none follows 18446744073709551615"},
      {"neither does it here, but all listed ones replied",
       {.Candidates = {replica("a", 1, {1, 9}), replica("c", 1, {1, 5})},
        .Listed = {"a", "c"}},
       {.IsKnown = false},
       "a opens 2"},
      {"the recorded one lost its log",
       {.Candidates = {replica("b", 1, {1, 4}), replica("c", 1, {1, 9})},
        .Listed = Listed},
       PromotedB,
       "none follows 2"},
      {"another one follows a newer term",
       {.Candidates = {replica("b", 2, {1, 5}), replica("c", 3, {3, 6})},
        .Listed = Listed},
       PromotedB,
       "c opens 4"},
      {"a list that is newer than the record lacks the recorded one",
       {.Candidates = {replica("a", 1, {1, 9})},
        .Listed = {"a", "c"},
        .ListRevision = 1},
       PromotedB,
       "none follows 2"},
      {"a list that is not newer than the record lacks it",
       {.Candidates = {replica("a", 1, {1, 9})}, .Listed = {"a", "c"}},
       PromotedB,
       "b is presumed"},
      {"nobody replied", {.Listed = Listed}, {}, "none follows 0"},
  });
}

// Guards against a successor that lacks the term of the primary it replaces.
BOOST_AUTO_TEST_CASE(knownPrimaryIsReplacedByOneOfItsTerm) {
  check({
      {"the recorded one, which may lead, is silent",
       {.OldPrimary = "a",
        .OldPrimaryTerm = 1,
        .Candidates = {replica("c", 1, {1, 9})},
        .Listed = Listed},
       PromotedB,
       "b is presumed"},
      {"the recorded one replied, and another one has a longer log",
       {.OldPrimary = "a",
        .OldPrimaryTerm = 1,
        .Candidates = {replica("b", 1, {1, 5}), replica("c", 1, {1, 9})},
        .Listed = Listed},
       PromotedB,
       "b opens 2"},
      {"the recorded one is replaced",
       {.OldPrimary = "b",
        .Candidates = {replica("a", 1, {1, 9}), replica("c", 2, {1, 5})},
        .Listed = Listed},
       PromotedB,
       "c opens 3"},
      {"a proof of a later term is newer than the record",
       {.OldPrimary = "b",
        .OldPrimaryTerm = 4,
        .Candidates = {replica("c", 3, {3, 9})},
        .Listed = Listed},
       PromotedB,
       "none follows 4"},
      {"the primary is not listed, and its term gone with it",
       {.OldPrimary = "b",
        .OldPrimaryTerm = 2,
        .Candidates = {replica("a", 1, {1, 9})},
        .Listed = {"a", "c"}},
       PromotedB,
       "none follows 2"},
      {"the record came back from an older copy of the store",
       {.OldPrimary = "a",
        .OldPrimaryTerm = 3,
        .Candidates = {replica("c", 3, {3, 7})},
        .Listed = Listed},
       PromotedB,
       "c opens 4"},
      {"that record, and its successor replied",
       {.OldPrimary = "a",
        .OldPrimaryTerm = 3,
        .Candidates = {replica("b", 3, {3, 6}), replica("c", 3, {3, 7})},
        .Listed = Listed},
       PromotedB,
       "c opens 4"},
  });
}

// Guards against a hand-over that an old decision prevents or misleads.
BOOST_AUTO_TEST_CASE(handOverGoesToTheLongestLogOfItsTerm) {
  PromotionRecord PromotedA{
      .Claim = 1, .Successor = "a", .Received = {1, 2}, .Opens = 2};
  check({
      {"no record",
       {.OldPrimary = "a",
        .OldPrimaryTerm = 2,
        .ReachesOldPrimary = true,
        .Candidates = {replica("b", 2, {2, 5}), replica("c", 2, {2, 9})},
        .Listed = Listed},
       {},
       "c opens 3"},
      {"the primary is the recorded one",
       {.OldPrimary = "a",
        .OldPrimaryTerm = 2,
        .ReachesOldPrimary = true,
        .Candidates = {replica("b", 1, {1, 9}), replica("c", 2, {2, 5})},
        .Listed = Listed},
       PromotedA,
       "c opens 3"},
      {"another one is recorded and replied",
       {.OldPrimary = "a",
        .OldPrimaryTerm = 1,
        .ReachesOldPrimary = true,
        .Candidates = {replica("b", 1, {1, 5}), replica("c", 1, {1, 9})},
        .Listed = Listed},
       PromotedB,
       "b opens 2"},
      {"another one is recorded and silent",
       {.OldPrimary = "a",
        .OldPrimaryTerm = 1,
        .ReachesOldPrimary = true,
        .Candidates = {replica("c", 1, {1, 9})},
        .Listed = Listed},
       PromotedB,
       "none follows 2"},
      {"the same, and nothing proves that the old one leads",
       {.OldPrimary = "a",
        .ReachesOldPrimary = true,
        .Candidates = {replica("c", 1, {1, 9})},
        .Listed = Listed},
       PromotedB,
       "b is presumed"},
      {"nobody follows its term",
       {.OldPrimary = "a",
        .OldPrimaryTerm = 2,
        .ReachesOldPrimary = true,
        .Candidates = {replica("b", 1, {1, 9})},
        .Listed = Listed},
       PromotedA,
       "none follows 2"},
  });
}

// Guards against the cause of review/11, 12 and 15: something else than the
// logs decides where a commit is acknowledged once a replica has it.
BOOST_AUTO_TEST_CASE(logsDecideWhereCommitsWaitForReplicas) {
  PromotionRecord LedByA{.Claim = 1, .Successor = "a", .Opens = 1};
  auto Evidence = [](std::vector<SuccessorCandidate> Candidates,
                     const char *OldPrimary = "a") {
    return PromotionEvidence{.OldPrimary = OldPrimary,
                             .OldPrimaryTerm = *OldPrimary ? 1U : 0U,
                             .Candidates = std::move(Candidates),
                             .Listed = Listed,
                             .SynchronousReplicas = 1};
  };
  check({
      {"all but the primary replied",
       Evidence({replica("b", 1, {1, 5}), replica("c", 1, {1, 9})}), LedByA,
       "c opens 2"},
      {"a replica is silent", Evidence({replica("b", 1, {1, 5})}), LedByA,
       "b, unless a c is ahead"},
      {"another one is recorded and behind",
       Evidence({replica("b", 1, {1, 5}), replica("c", 1, {1, 9})}), PromotedB,
       "c opens 2"},
      {"the same, and no primary is known",
       Evidence({replica("b", 1, {1, 5}), replica("c", 1, {1, 9})}, ""),
       PromotedB, "c opens 2"},
      {"the recorded one follows the term that it opens",
       Evidence({replica("b", 2, {1, 5}), replica("c", 1, {1, 9})}), PromotedB,
       "b, unless a c is ahead"},
      {"no primary is known, and one target is silent",
       Evidence({replica("a", 1, {1, 7}), replica("c", 1, {1, 5})}, ""),
       {},
       "a opens 2"},
      {"no primary is known, and two targets are silent",
       Evidence({replica("c", 1, {1, 5})}, ""),
       {},
       "c, unless a b is ahead"},
      {"the longest log leaves, and another one lacks a part of it",
       Evidence({replica("b", 1, {1, 5}), replica("c", 1, {1, 9}, true)}),
       LedByA, "c opens 2"},
      {"the longest log leaves, and another one is as long",
       Evidence({replica("b", 1, {1, 9}), replica("c", 1, {1, 9}, true)}),
       LedByA, "b opens 2"},
  });
}

// Guards against a hand-over that is decided before the primary's log has
// ended, or never.
BOOST_AUTO_TEST_CASE(handOverIsProvedByTheFinalPosition) {
  PromotionRecord LedByA{.Claim = 1, .Successor = "a", .Opens = 1};
  auto Evidence = [](std::vector<SuccessorCandidate> Candidates) {
    return PromotionEvidence{.OldPrimary = "a",
                             .OldPrimaryTerm = 1,
                             .ReachesOldPrimary = true,
                             .Candidates = std::move(Candidates),
                             .Listed = Listed,
                             .SynchronousReplicas = 1};
  };
  auto Final = [&](std::vector<SuccessorCandidate> Candidates) {
    PromotionEvidence Out = Evidence(std::move(Candidates));
    Out.FinalPosition = LogPosition{1, 9};
    return Out;
  };
  PromotionEvidence Draft = Evidence({replica("b", 1, {1, 5})});
  Draft.IsDraft = true;
  check({
      {"before the step-down", Draft, LedByA, "b opens 2"},
      {"one has the whole log, and the other one is silent",
       Final({replica("b", 1, {1, 9})}), LedByA, "b opens 2"},
      {"one has a part, and the other one is silent",
       Final({replica("b", 1, {1, 8})}), LedByA, "b, unless a c is ahead"},
      {"nobody has the whole log, so its end was not acknowledged",
       Final({replica("b", 1, {1, 7}), replica("c", 1, {1, 8})}), LedByA,
       "c opens 2"},
      {"another one is recorded",
       Final({replica("b", 1, {1, 5}), replica("c", 1, {1, 9})}), PromotedB,
       "c opens 2"},
  });
}
