#ifndef CICADAWIND_PLATFORM_PROMOTIONSERVICE_H
#define CICADAWIND_PLATFORM_PROMOTIONSERVICE_H

#include "Core/Clock.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace cicadawind {

/// Outcome of a request to promote an instance.
enum class PromotionOutcome {
  Accepted,
  /// The platform has seen a higher fencing token, or the instance does not
  /// run.
  Refused,
  /// The promotion was not started; the request may be repeated.
  NotStarted,
  /// No response arrived, or it does not tell the outcome; the instance may
  /// have been promoted or may still be.
  Unknown,
};

/// Returns the name of \p Outcome in logs.
constexpr const char *nameOf(PromotionOutcome Outcome) {
  switch (Outcome) {
  case PromotionOutcome::Accepted:
    return "accepted";
  case PromotionOutcome::Refused:
    return "refused";
  case PromotionOutcome::NotStarted:
    return "not_taken";
  case PromotionOutcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

/// \class PromotionService
/// \brief Interface to the platform's call that makes an instance the primary
/// of its group.
class PromotionService {
public:
  virtual ~PromotionService() = default;

  /// Requests that \p Instance become the primary of \p Group and waits up to
  /// \p Timeout. \p Holder names the holder of the promotion lease. The fencing
  /// token \p Token belongs to one decision to promote \p Instance, whose
  /// requests are idempotent; the platform refuses a token that is lower than
  /// one that it has seen for the group.
  virtual boost::asio::awaitable<PromotionOutcome>
  promote(std::string Group, std::string Instance, std::string Holder,
          std::uint64_t Token, Duration Timeout) = 0;
};

} // namespace cicadawind

#endif
