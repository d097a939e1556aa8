#ifndef CICADAWIND_PLATFORM_PROMOTIONORDERS_H
#define CICADAWIND_PLATFORM_PROMOTIONORDERS_H

#include "Core/Clock.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace cicadawind {

/// How an order to promote ended.
enum class OrderEnd {
  Accepted,
  /// A higher fencing token was seen, or the instance does not run.
  Refused,
  /// Nothing was done; it may be sent again.
  NotTaken,
  /// No answer: it may have been carried out, or may yet.
  Unknown,
};

/// Name of \p End in logs.
constexpr const char *nameOf(OrderEnd End) {
  switch (End) {
  case OrderEnd::Accepted:
    return "accepted";
  case OrderEnd::Refused:
    return "refused";
  case OrderEnd::NotTaken:
    return "not_taken";
  case OrderEnd::Unknown:
    return "unknown";
  }
  return "unknown";
}

/// \class PromotionOrders
/// \brief Orders the platform to make an instance the primary of its group.
class PromotionOrders {
public:
  virtual ~PromotionOrders() = default;

  /// \p Token is unique to this order; the platform refuses one that is lower
  /// than it has seen for the group.
  virtual boost::asio::awaitable<OrderEnd>
  promote(std::string Group, std::string Instance, std::string Holder,
          std::uint64_t Token, Duration Limit) = 0;
};

} // namespace cicadawind

#endif
