#ifndef CICADAWIND_PROMOTION_PROMOTIONPROCEDURE_H
#define CICADAWIND_PROMOTION_PROMOTIONPROCEDURE_H

#include "Promotion/PromotionTokens.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace cicadawind {

/// Why a primary is replaced.
enum class PromotionReason {
  /// The primary is lost, or the group has none.
  Lost,
  /// The primary is leaving.
  Leaving,
  /// The primary is reached, but its use is blocked by a promotion that its
  /// holder did not finish.
  Blocked,
};

/// Returns the name of \p Reason in logs and metrics.
constexpr const char *nameOf(PromotionReason Reason) {
  switch (Reason) {
  case PromotionReason::Lost:
    return "lost";
  case PromotionReason::Leaving:
    return "leaving";
  case PromotionReason::Blocked:
    return "blocked";
  }
  return "lost";
}

/// How an attempt to replace a primary ended.
enum class PromotionEnd {
  /// A new primary was promoted and confirmed.
  Done,
  NotDone,
  /// No target was proved to have every acknowledged commit. Another VM may
  /// reach the targets that this one does not.
  Unproved,
};

/// \class PromotionProcedure
/// \brief Interface to the steps that replace a primary. They depend on whether
/// the platform fences promotions; see FencedPromotion and LeasedPromotion.
class PromotionProcedure {
public:
  virtual ~PromotionProcedure() = default;

  /// Tries once to replace \p OldPrimary, which is empty if no primary is
  /// known.
  virtual boost::asio::awaitable<PromotionEnd>
  run(std::string Group, std::string OldPrimary, PromotionReason Reason) = 0;
  /// Returns whether a token is to be claimed in advance for \p Group, which
  /// needs no promotion now.
  virtual bool needsReservation(const std::string &Group) const = 0;
  /// Returns what to record with that token.
  virtual PromotionTokens::ReservationPlan
  reservationPlan(const std::string &Group) const = 0;
};

} // namespace cicadawind

#endif
