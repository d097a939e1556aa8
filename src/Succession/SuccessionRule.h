#ifndef CICADAWIND_SUCCESSION_SUCCESSIONRULE_H
#define CICADAWIND_SUCCESSION_SUCCESSIONRULE_H

#include "Succession/PromotionEvidence.h"
#include "Succession/PromotionRecord.h"

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cicadawind {

/// Returns the best of \p Candidates that follow a term of at least \p AtLeast:
/// one that follows the newest term, of these one that does not leave, of these
/// one that may lead, of these the one with the longest log, of these
/// \p Preferred. Empty if there is none, or if the best one may not lead:
/// instead of it, none that follows an older term is taken.
///
/// If \p LogMatters, because acknowledged commits are known to be in a
/// replica's log, the longest log comes before whether a target leaves.
std::optional<SuccessorCandidate>
chooseSuccessor(const std::vector<SuccessorCandidate> &Candidates, Term AtLeast,
                const std::string &Preferred = {}, bool LogMatters = false);

/// The target to promote, and the term that this opens.
struct SuccessionChoice {
  SuccessorCandidate Successor;
  Term Opens = 0;
};

/// The latest decision may have been carried out, and its successor did not
/// reply. It counts as the primary until there is evidence against it.
struct PresumedPrimary {
  std::string Instance;
};

/// No candidate follows the newest term that may have been opened, or each of
/// those that do leaves and may not lead.
struct NoSuccessor {
  Term Needed = 0;
};

/// The best candidate may lack an acknowledged commit that one of MayBeAhead
/// may hold; see mayBeAhead(). These are asked again.
struct UnprovedSuccessor {
  std::string Instance;
  std::set<std::string> MayBeAhead;
};

using SuccessionVerdict = std::variant<SuccessionChoice, PresumedPrimary,
                                       NoSuccessor, UnprovedSuccessor>;

/// Returns whether the successor of \p Record may be the primary although
/// \p Evidence names another one or none.
bool mayBeUnknownPrimary(const PromotionRecord &Record,
                         const PromotionEvidence &Evidence);

/// Returns which target may be promoted by a decision that supersedes
/// \p Latest. \p Prepared is the promotion that may have been ordered since
/// without a record; its successor is empty if there is none.
///
/// Invariant: no target is promoted that does not follow the newest term which
/// may have been opened, since it may hold acknowledged entries that this term
/// discarded, and reads of that term lacked them. The primary of that term is
/// the successor of \p Latest, so only evidence against that target allows
/// another decision; a VM that has none may only complete \p Latest. That a
/// hand-over is wanted is no such evidence, and a proof of the old primary is
/// older than an order that is carried out after it. The term is given up only
/// if the registry no longer lists that target and every listed one has
/// replied. While the primary of \p Latest is neither known to be lost nor
/// replies as a replica, \p Prepared is not completed. Costs
/// O(targets x candidates).
///
/// Where commits are acknowledged once replicas have received them, no record
/// beats the logs: a successor of \p Latest or \p Prepared that replies as a
/// replica is completed only if no candidate is ahead of it, and a choice that
/// mayBeAhead() leaves open is an UnprovedSuccessor, unless it is a draft.
SuccessionVerdict decideSuccession(const PromotionEvidence &Evidence,
                                   const PromotionRecord &Latest,
                                   const PromotionRecord &Prepared = {});

} // namespace cicadawind

#endif
