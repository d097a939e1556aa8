#ifndef CICADAWIND_SUCCESSION_SUCCESSIONRESERVATION_H
#define CICADAWIND_SUCCESSION_SUCCESSIONRESERVATION_H

#include "Succession/PromotionEvidence.h"
#include "Succession/PromotionRecord.h"
#include "Succession/SuccessionRule.h"

#include <optional>
#include <string>

namespace cicadawind {

/// \class SuccessionReservation
/// \brief What a VM records in the store when it claims a token in advance.
///
/// The token may be used while the store does not reply, so that no other VM
/// sees the decision. Therefore the store names the only target that may be
/// promoted so before anybody promotes it.
struct SuccessionReservation {
  /// The latest decision, or the primary that was proved since.
  PromotionRecord Latest;
  /// The promotion that may be ordered under the token without the store.
  PromotionRecord Prepared;
  /// The primary that Prepared is to replace.
  std::string Replaces;
};

/// Returns what to record with a token that is claimed in advance while the
/// primary of \p Evidence leads; empty if no target can be named. The
/// candidates of \p Evidence are the replicas, the preferred one first.
///
/// Invariant: a target that may have been promoted by \p Latest, or without the
/// store by \p Prepared, is named again until there is evidence against it.
std::optional<SuccessionReservation>
planReservation(const PromotionEvidence &Evidence,
                const PromotionRecord &Latest, const PromotionRecord &Prepared);

/// Returns whether the promotion that \p Named records may be ordered in place
/// of that of \p Chosen, which \p Evidence allows to supersede \p Latest.
///
/// The named target may have received less of the primary's log than
/// \p Chosen, but it follows the same term and has kept what it had. It lacks
/// nothing that mayBeAhead() says another one may hold.
bool mayOrderNamed(const PromotionEvidence &Evidence,
                   const PromotionRecord &Latest, const PromotionRecord &Named,
                   const SuccessorCandidate &Chosen);

} // namespace cicadawind

#endif
