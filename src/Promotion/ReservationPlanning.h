#ifndef CICADAWIND_PROMOTION_RESERVATIONPLANNING_H
#define CICADAWIND_PROMOTION_RESERVATIONPLANNING_H

#include "Succession/PromotionEvidence.h"

#include <cstdint>

namespace cicadawind {

class GroupDispatcher;
struct PromotionTurn;

/// Returns the evidence for planReservation(): the confirmed primary of
/// \p Group, and the replicas that can be named to replace it. Those that have
/// entries of the primary's term come first, of these those in other failure
/// domains than the primary's. \p ListRevision is that of the list of targets.
/// Without a confirmed primary that replies there are no candidates.
PromotionEvidence reservationEvidence(const GroupDispatcher &Group,
                                      std::uint64_t ListRevision);

/// Returns whether the promotion that \p Reserved names can be replaced by a
/// better one: it is not for the present primary, or its target is gone, leaves
/// or cannot be reached.
bool isOutdated(const PromotionTurn &Reserved, const GroupDispatcher &Group,
                const PromotionEvidence &Evidence);

} // namespace cicadawind

#endif
