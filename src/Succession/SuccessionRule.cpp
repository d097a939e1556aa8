#include "Succession/SuccessionRule.h"

#include <algorithm>
#include <tuple>

namespace cicadawind {
namespace internal {

static bool isBetter(const SuccessorCandidate &A, const SuccessorCandidate &B,
                     const std::string &Preferred) {
  auto Rank = [&](const SuccessorCandidate &Each) {
    return std::tuple(Each.Follows, !Each.IsLeaving, Each.MayLead,
                      Each.Received, Each.Instance == Preferred);
  };
  return Rank(A) > Rank(B);
}

/// Returns whether the successor of \p Latest may be the primary although
/// \p Evidence names another one or none.
static bool mayBeUnknownPrimary(const PromotionRecord &Latest,
                                const PromotionEvidence &Evidence) {
  if (!Evidence.Listed.count(Latest.Successor) ||
      Latest.Successor == Evidence.OldPrimary || Evidence.ReachesOldPrimary)
    return false;
  // A primary of a later term shows that the record is outdated, because the
  // store came back from an older copy.
  return Evidence.OldPrimaryTerm <= Latest.Opens;
}

static const SuccessorCandidate *find(const PromotionEvidence &Evidence,
                                      const std::string &Instance) {
  auto It = std::find_if(Evidence.Candidates.begin(), Evidence.Candidates.end(),
                         [&](const SuccessorCandidate &Each) {
                           return Each.Instance == Instance;
                         });
  return It == Evidence.Candidates.end() ? nullptr : &*It;
}

/// Returns whether \p Pending, the successor of \p Latest, can be promoted as
/// decided: it has kept its log, and no candidate follows a newer term.
static bool isCompletable(const SuccessorCandidate &Pending,
                          const PromotionRecord &Latest,
                          const PromotionEvidence &Evidence) {
  return Pending.Received >= Latest.Received &&
         std::none_of(Evidence.Candidates.begin(), Evidence.Candidates.end(),
                      [&](const SuccessorCandidate &Each) {
                        return Each.Follows > Pending.Follows;
                      });
}

static SuccessionChoice choose(const SuccessorCandidate &Successor) {
  return {.Successor = Successor, .Opens = Successor.Follows + 1};
}

/// Returns the newest term that is known to have been opened by a primary which
/// may come back.
static Term newestOpened(const PromotionEvidence &Evidence,
                         const PromotionRecord &Latest) {
  if (!Evidence.Listed.count(Evidence.OldPrimary))
    return 0;
  bool IsOfLatest = Latest.Successor == Evidence.OldPrimary;
  return std::max(Evidence.OldPrimaryTerm, IsOfLatest ? Latest.Opens : 0);
}

} // namespace internal

std::optional<SuccessorCandidate>
chooseSuccessor(const std::vector<SuccessorCandidate> &Candidates, Term AtLeast,
                const std::string &Preferred) {
  std::optional<SuccessorCandidate> Best;
  for (const SuccessorCandidate &Each : Candidates)
    if (Each.Follows >= AtLeast &&
        (!Best || internal::isBetter(Each, *Best, Preferred)))
      Best = Each;
  if (Best && !Best->MayLead)
    return std::nullopt;
  return Best;
}

SuccessionVerdict decideSuccession(const PromotionEvidence &Evidence,
                                   const PromotionRecord &Latest) {
  const SuccessorCandidate *Pending =
      internal::find(Evidence, Latest.Successor);
  if (internal::mayBeUnknownPrimary(Latest, Evidence)) {
    if (!Pending)
      return PresumedPrimary{Latest.Successor};
    // Without a known primary, an order of the latest decision may have been
    // carried out since the successor replied.
    if (Evidence.OldPrimary.empty() &&
        internal::isCompletable(*Pending, Latest, Evidence))
      return internal::choose(*Pending);
  }
  Term Needed = internal::newestOpened(Evidence, Latest);
  // An order of the latest decision may still be carried out, which changes
  // nothing if its successor is promoted anyway.
  std::optional<SuccessorCandidate> Best =
      chooseSuccessor(Evidence.Candidates, Needed, Latest.Successor);
  if (!Best)
    return NoSuccessor{Needed};
  return internal::choose(*Best);
}

} // namespace cicadawind
