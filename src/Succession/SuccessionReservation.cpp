#include "Succession/SuccessionReservation.h"

#include "Succession/CommitProof.h"

#include <algorithm>

namespace cicadawind {
namespace internal {

/// Returns the record of the primary of \p Evidence, which supersedes \p
/// Latest.
static PromotionRecord provedPrimary(const PromotionEvidence &Evidence,
                                     const PromotionRecord &Latest) {
  bool IsOfLatest = Latest.IsKnown && Latest.Successor == Evidence.OldPrimary;
  if (IsOfLatest && Latest.Opens >= Evidence.OldPrimaryTerm)
    return Latest;
  return {.Successor = Evidence.OldPrimary,
          .Opens = Evidence.OldPrimaryTerm,
          .ListRevision = Evidence.ListRevision};
}

/// Returns \p Pending as the promotion that a new token names.
static PromotionRecord nameAgain(const PromotionEvidence &Evidence,
                                 PromotionRecord Pending) {
  Pending.Claim = 0;
  Pending.Opens = std::max(Pending.Opens, Evidence.OldPrimaryTerm + 1);
  if (Evidence.Listed.count(Pending.Successor))
    Pending.ListRevision = Evidence.ListRevision;
  return Pending;
}

/// Returns whether the primary of \p Evidence is named by \p Prepared, but has
/// not proved the term that this opens. An earlier lead may be meant.
static bool isOutdatedView(const PromotionEvidence &Evidence,
                           const PromotionRecord &Prepared) {
  return Prepared.Successor == Evidence.OldPrimary &&
         Evidence.OldPrimaryTerm < Prepared.Opens;
}

} // namespace internal

std::optional<SuccessionReservation>
planReservation(const PromotionEvidence &Evidence,
                const PromotionRecord &Latest,
                const PromotionRecord &Prepared) {
  SuccessionReservation Out{.Latest = Latest, .Replaces = Evidence.OldPrimary};
  if (internal::isOutdatedView(Evidence, Prepared))
    return std::nullopt;
  bool IsLatestOpen = mayBeUnknownPrimary(Latest, Evidence);
  if (!IsLatestOpen)
    Out.Latest = internal::provedPrimary(Evidence, Latest);
  if (mayBeUnknownPrimary(Prepared, Evidence))
    Out.Prepared = internal::nameAgain(Evidence, Prepared);
  else if (IsLatestOpen)
    Out.Prepared = internal::nameAgain(Evidence, Latest);
  if (!Out.Prepared.Successor.empty())
    return Out;
  if (Evidence.Candidates.empty())
    return std::nullopt;
  const SuccessorCandidate &First = Evidence.Candidates.front();
  Out.Prepared = {.Successor = First.Instance,
                  .Received = First.Received,
                  .Opens = Out.Latest.Opens + 1,
                  .ListRevision = Evidence.ListRevision};
  return Out;
}

bool mayOrderNamed(const PromotionEvidence &Evidence,
                   const PromotionRecord &Latest, const PromotionRecord &Named,
                   const SuccessorCandidate &Chosen) {
  auto It = std::find_if(Evidence.Candidates.begin(), Evidence.Candidates.end(),
                         [&](const SuccessorCandidate &Each) {
                           return Each.Instance == Named.Successor;
                         });
  bool IsOfLatest = Evidence.OldPrimary == Latest.Successor;
  if (It == Evidence.Candidates.end() || !IsOfLatest || !It->MayLead)
    return false;
  bool HasKeptLog = It->Received >= Named.Received;
  bool FollowsNewest = It->Follows >= Chosen.Follows;
  bool IsAsRecorded = It->Follows < Named.Opens;
  bool IsProved = Evidence.IsDraft || mayBeAhead(Evidence, *It).empty();
  return HasKeptLog && FollowsNewest && IsAsRecorded && IsProved;
}

} // namespace cicadawind
