#include "Succession/SuccessionRule.h"

#include "Succession/CommitProof.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace cicadawind {
namespace internal {

static bool isBetter(const SuccessorCandidate &A, const SuccessorCandidate &B,
                     const std::string &Preferred, bool LogMatters) {
  auto Rank = [&](const SuccessorCandidate &Each) {
    LogPosition First = LogMatters ? Each.Received : LogPosition();
    return std::tuple(Each.Follows, First, !Each.IsLeaving, Each.MayLead,
                      Each.Received, Each.Instance == Preferred);
  };
  return Rank(A) > Rank(B);
}

/// Returns whether the registry has removed the successor of \p Latest. A list
/// that is older than the decision may not have it yet.
static bool isGone(const PromotionRecord &Latest,
                   const PromotionEvidence &Evidence) {
  return !Evidence.Listed.count(Latest.Successor) &&
         Evidence.ListRevision > Latest.ListRevision;
}

static const SuccessorCandidate *find(const PromotionEvidence &Evidence,
                                      const std::string &Instance) {
  auto It = std::find_if(Evidence.Candidates.begin(), Evidence.Candidates.end(),
                         [&](const SuccessorCandidate &Each) {
                           return Each.Instance == Instance;
                         });
  return It == Evidence.Candidates.end() ? nullptr : &*It;
}

/// Returns the verdict while the successor of \p Latest may be the primary and
/// did not reply. A hand-over waits for it, since the leaving primary can be
/// used in the meantime.
static SuccessionVerdict awaitSilent(const PromotionRecord &Latest,
                                     const PromotionEvidence &Evidence) {
  if (Evidence.ReachesOldPrimary && Evidence.OldPrimaryTerm > 0)
    return NoSuccessor{Latest.Opens};
  return PresumedPrimary{Latest.Successor};
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

/// Returns the choice of \p Pending, the successor of \p Latest. Its reply may
/// be older than \p Latest, and the term that it opens is never recorded as
/// lower.
static SuccessionChoice complete(const SuccessorCandidate &Pending,
                                 const PromotionRecord &Latest) {
  return {.Successor = Pending,
          .Opens = std::max(Latest.Opens, Pending.Follows + 1)};
}

/// Returns the newest term that may have been opened. A fresh proof of the old
/// primary shows that a decision for another target was not carried out.
static Term newestOpened(const PromotionEvidence &Evidence,
                         const PromotionRecord &Latest) {
  bool IsOfLatest = Latest.Successor == Evidence.OldPrimary;
  if (Evidence.ReachesOldPrimary && !IsOfLatest)
    return Evidence.OldPrimaryTerm;
  if (!Latest.IsKnown && Evidence.OldPrimary.empty())
    return std::numeric_limits<Term>::max();
  return std::max(Evidence.OldPrimaryTerm, Latest.Opens);
}

/// Returns the best candidate that follows a term of at least \p AtLeast. One
/// that leaves is taken only if no other one is proved.
static std::optional<SuccessorCandidate>
chooseFrom(const PromotionEvidence &Evidence, Term AtLeast,
           const std::string &Preferred) {
  std::optional<SuccessorCandidate> Best =
      chooseSuccessor(Evidence.Candidates, AtLeast, Preferred);
  if (Evidence.SynchronousReplicas == 0 || Evidence.IsDraft)
    return Best;
  if (Best && mayBeAhead(Evidence, *Best).empty())
    return Best;
  return chooseSuccessor(Evidence.Candidates, AtLeast, Preferred, true);
}

/// Returns the choice in place of \p Pending, the successor of \p Latest, which
/// replied that it does not lead the term that \p Latest opens. A later token
/// shuts out the orders for it that have not been accepted.
static SuccessionVerdict chooseByLog(const SuccessorCandidate &Pending,
                                     const PromotionRecord &Latest,
                                     const PromotionEvidence &Evidence) {
  Term Needed = std::max(Evidence.OldPrimaryTerm, Pending.Follows);
  std::optional<SuccessorCandidate> Best =
      chooseFrom(Evidence, Needed, Latest.Successor);
  if (!Best)
    return NoSuccessor{Needed};
  return complete(*Best, Latest);
}

/// Returns whether no listed target can follow a newer term than the
/// candidates.
static bool hasAllReplied(const PromotionEvidence &Evidence) {
  return std::all_of(
      Evidence.Listed.begin(), Evidence.Listed.end(),
      [&](const std::string &Each) { return find(Evidence, Each) != nullptr; });
}

/// Returns whether \p Pending, the successor of \p Prepared, follows the
/// primary that it is to replace. It may have been named before it did.
static bool followsReplaced(const SuccessorCandidate &Pending,
                            const PromotionRecord &Prepared) {
  return Pending.Follows + 1 >= Prepared.Opens;
}

/// Returns decideSuccession() for the one record \p Latest, which was decided,
/// or only prepared if \p IsPrepared.
static SuccessionVerdict supersede(const PromotionEvidence &Evidence,
                                   const PromotionRecord &Latest,
                                   bool IsPrepared) {
  const SuccessorCandidate *Pending = find(Evidence, Latest.Successor);
  if (mayBeUnknownPrimary(Latest, Evidence)) {
    if (!Pending)
      return awaitSilent(Latest, Evidence);
    // An order of the latest decision may have been carried out since the
    // successor replied, or may be before this decision's is. Another successor
    // could hold entries that it lacked.
    bool MayBeDecided = !IsPrepared || followsReplaced(*Pending, Latest);
    if (Evidence.SynchronousReplicas > 0 && Pending->Follows < Latest.Opens)
      return chooseByLog(*Pending, Latest, Evidence);
    if (MayBeDecided && isCompletable(*Pending, Latest, Evidence))
      return complete(*Pending, Latest);
  }
  Term Needed = newestOpened(Evidence, Latest);
  std::optional<SuccessorCandidate> Best =
      chooseFrom(Evidence, Needed, Latest.Successor);
  // The targets that followed the needed term are gone, and the term with them.
  if (!Best && hasAllReplied(Evidence))
    Best = chooseFrom(Evidence, 0, Latest.Successor);
  if (!Best)
    return NoSuccessor{Needed};
  return choose(*Best);
}

} // namespace internal

bool mayBeUnknownPrimary(const PromotionRecord &Record,
                         const PromotionEvidence &Evidence) {
  if (!Record.IsKnown || Record.Successor.empty() ||
      internal::isGone(Record, Evidence) ||
      Record.Successor == Evidence.OldPrimary)
    return false;
  // A primary of a later term shows that the record is outdated, because the
  // store came back from an older copy.
  return Evidence.OldPrimaryTerm <= Record.Opens;
}

std::optional<SuccessorCandidate>
chooseSuccessor(const std::vector<SuccessorCandidate> &Candidates, Term AtLeast,
                const std::string &Preferred, bool LogMatters) {
  std::optional<SuccessorCandidate> Best;
  for (const SuccessorCandidate &Each : Candidates)
    if (Each.Follows >= AtLeast &&
        (!Best || internal::isBetter(Each, *Best, Preferred, LogMatters)))
      Best = Each;
  if (Best && !Best->MayLead)
    return std::nullopt;
  return Best;
}

namespace internal {

/// Returns decideSuccession() without the proof by the logs.
static SuccessionVerdict decideByRecords(const PromotionEvidence &Evidence,
                                         const PromotionRecord &Latest,
                                         const PromotionRecord &Prepared) {
  if (Prepared.Successor.empty())
    return supersede(Evidence, Latest, false);
  bool IsPreparedOld = Prepared.Successor == Evidence.OldPrimary;
  bool IsLatestSilent = !find(Evidence, Latest.Successor);
  if (!IsPreparedOld && IsLatestSilent && mayBeUnknownPrimary(Latest, Evidence))
    return awaitSilent(Latest, Evidence);
  PromotionEvidence Complete = Evidence;
  if (Latest.Successor == Evidence.OldPrimary)
    Complete.OldPrimaryTerm = std::max(Evidence.OldPrimaryTerm, Latest.Opens);
  return supersede(Complete, Prepared, true);
}

} // namespace internal

SuccessionVerdict decideSuccession(const PromotionEvidence &Evidence,
                                   const PromotionRecord &Latest,
                                   const PromotionRecord &Prepared) {
  SuccessionVerdict Verdict =
      internal::decideByRecords(Evidence, Latest, Prepared);
  const auto *Choice = std::get_if<SuccessionChoice>(&Verdict);
  if (!Choice || Evidence.IsDraft)
    return Verdict;
  std::set<std::string> Ahead = mayBeAhead(Evidence, Choice->Successor);
  if (Ahead.empty())
    return Verdict;
  return UnprovedSuccessor{.Instance = Choice->Successor.Instance,
                           .MayBeAhead = std::move(Ahead)};
}

} // namespace cicadawind
