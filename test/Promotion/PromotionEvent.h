#ifndef CICADAWIND_TEST_PROMOTION_PROMOTIONEVENT_H
#define CICADAWIND_TEST_PROMOTION_PROMOTIONEVENT_H

#include <string>
#include <vector>

namespace cicadawind::test {

enum class PromotionEventKind {
  /// Cuts Target off, together with Vm if there is one.
  Cut,
  /// Ends the cut that began first.
  Heal,
  Crash,
  Restart,
  Commit,
  /// Target rolls back and follows the primary's term, but copies nothing yet.
  Follow,
  /// Target copies the primary's whole log.
  Copy,
  /// Target begins to leave.
  Leave,
  /// Vm gets a proof of the primary, or a refusal of the one that it knows.
  Notice,
  Survey,
  /// Vm decides by its latest survey, and claims a token.
  Decide,
  /// Survey and Decide with nothing in between.
  Attempt,
  /// The same, but the reply to the claim is lost.
  AttemptUnanswered,
  /// Vm makes the leaving primary step down.
  StepDown,
  /// Vm orders its decision; the platform carries it out or refuses it.
  Order,
  /// The same, but the order is lost.
  OrderLost,
  /// The same, but the order may be carried out later.
  OrderInFlight,
  /// The order that has been in flight longest is carried out.
  CarryOutOldest,
  /// The order that has been in flight shortest is carried out.
  CarryOutNewest,
  Reserve,
  StoreAway,
  StoreBack,
};

/// \class PromotionEvent
/// \brief One step of a PromotionModel.
struct PromotionEvent {
  static constexpr unsigned None = ~0U;

  PromotionEventKind Kind = PromotionEventKind::Commit;
  unsigned Target = None;
  unsigned Vm = None;
};

/// Returns every event that some state allows, always in the same order.
const std::vector<PromotionEvent> &allPromotionEvents();

/// Returns \p Event as text, such as "cut a v1".
std::string toString(const PromotionEvent &Event);

/// Returns the event whose text is \p Text; throws std::out_of_range if there
/// is none.
PromotionEvent promotionEvent(const std::string &Text);

} // namespace cicadawind::test

#endif
