#ifndef CICADAWIND_SUCCESSION_SUCCESSIONRULE_H
#define CICADAWIND_SUCCESSION_SUCCESSIONRULE_H

#include "Succession/PromotionEvidence.h"
#include "Succession/PromotionRecord.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cicadawind {

/// Returns the best of \p Candidates that follow a term of at least \p AtLeast:
/// one that follows the newest term, of these one that does not leave, of these
/// one that may lead, of these the one with the longest log, of these
/// \p Preferred. Empty if there is none, or if the best one may not lead:
/// instead of it, none that follows an older term is taken.
std::optional<SuccessorCandidate>
chooseSuccessor(const std::vector<SuccessorCandidate> &Candidates, Term AtLeast,
                const std::string &Preferred = {});

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

using SuccessionVerdict =
    std::variant<SuccessionChoice, PresumedPrimary, NoSuccessor>;

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
SuccessionVerdict decideSuccession(const PromotionEvidence &Evidence,
                                   const PromotionRecord &Latest,
                                   const PromotionRecord &Prepared = {});

} // namespace cicadawind

#endif
