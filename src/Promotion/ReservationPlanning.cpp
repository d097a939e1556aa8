#include "Promotion/ReservationPlanning.h"

#include "Dispatch/GroupDispatcher.h"
#include "Promotion/PromotionTurn.h"

#include <algorithm>
#include <utility>

namespace cicadawind {
namespace internal {

static bool canBeNamed(const GroupDispatcher &Group, const TargetEntry &Entry) {
  return Entry.Instance != Group.tracker().primary() && !Entry.Leaving &&
         !Entry.ClaimsPrimary && !Group.isUnreachable(Entry.Instance);
}

static std::string domainOf(const GroupDispatcher &Group,
                            const std::string &Instance) {
  const TargetEntry *Entry = Group.findEntry(Instance);
  return Entry ? Entry->FailureDomain : std::string();
}

} // namespace internal

PromotionEvidence reservationEvidence(const GroupDispatcher &Group,
                                      std::uint64_t ListRevision) {
  PromotionEvidence Out{.ListRevision = ListRevision};
  const PrimaryTracker &Tracker = Group.tracker();
  bool IsFailing = Group.failureDetector().failingSince().has_value();
  if (!Tracker.isConfirmed() || IsFailing)
    return Out;
  Out.OldPrimary = Tracker.primary();
  Out.OldPrimaryTerm = Tracker.term();
  for (const TargetEntry &Entry : Group.entries()) {
    Out.Listed.insert(Entry.Instance);
    if (internal::canBeNamed(Group, Entry))
      Out.Candidates.push_back({.Instance = Entry.Instance,
                                .Received = Group.appliedBy(Entry.Instance)});
  }
  std::string Domain = internal::domainOf(Group, Out.OldPrimary);
  auto Preference = [&](const SuccessorCandidate &Each) {
    bool HasTerm = Each.Received.WrittenIn >= Out.OldPrimaryTerm;
    bool IsElsewhere = internal::domainOf(Group, Each.Instance) != Domain;
    return std::pair(HasTerm, IsElsewhere);
  };
  std::stable_sort(
      Out.Candidates.begin(), Out.Candidates.end(),
      [&](const SuccessorCandidate &A, const SuccessorCandidate &B) {
        return Preference(A) > Preference(B);
      });
  return Out;
}

bool isOutdated(const PromotionTurn &Reserved, const GroupDispatcher &Group,
                const PromotionEvidence &Evidence) {
  if (Reserved.Replaces != Evidence.OldPrimary)
    return true;
  const std::string &Named = Reserved.Named.Successor;
  if (!Evidence.Listed.count(Named))
    return true;
  // A target that another VM may have promoted is named again anyway.
  bool MayName = Reserved.Prepared.Successor.empty() &&
                 Reserved.Latest.Successor == Reserved.Replaces;
  const TargetEntry *Entry = Group.findEntry(Named);
  bool IsUsable = Entry && internal::canBeNamed(Group, *Entry);
  return MayName && !IsUsable;
}

} // namespace cicadawind
