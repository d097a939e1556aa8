#ifndef CICADAWIND_PROMOTION_PROMOTIONTOKENS_H
#define CICADAWIND_PROMOTION_PROMOTIONTOKENS_H

#include "Core/Clock.h"
#include "Core/Result.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cicadawind {

class ObjectStore;

/// \class PromotionTokens
/// \brief Claims the fencing tokens of promotions in the platform's store.
///
/// A token is claimed by a conditional update of the group's object, which
/// counts the claims, so that no two orders carry the same one. If the store
/// comes back from an older copy, it has lost the latest claims. So a token is
/// the store's era and the count, packed so that a later era is higher. A token
/// may be claimed in advance, so that a
/// promotion needs no store. Runs on the loop's thread.
class PromotionTokens {
public:
  struct Options {
    std::string Vm;
    /// Timeout of one call to the store.
    Duration StoreTimeout = std::chrono::milliseconds(700);
    /// Minimum time between two attempts to reserve a token.
    Duration ReservationInterval = std::chrono::milliseconds(2000);
    /// Time after the start before which no token is reserved. A VM that does
    /// not know the others yet takes itself for the one to reserve.
    Duration ReservationDelay = std::chrono::milliseconds(3000);
  };

  PromotionTokens(Options Opts, ObjectStore &Store)
      : Opts(std::move(Opts)), Store(Store), StartedAt(BootClock::now()) {}

  /// Returns the reserved token, or claims a new one for a promotion of
  /// \p Instance. Fails with Conflict if another VM claimed at the same time,
  /// or with StoreUnavailable.
  boost::asio::awaitable<Result<std::uint64_t>> take(std::string Group,
                                                     std::string Instance);
  /// Claims a token in advance unless one is reserved, is being reserved, or
  /// was tried within ReservationInterval.
  boost::asio::awaitable<void> reserve(std::string Group);
  /// Returns whether reserve() would claim a token at \p Now.
  bool needsReservation(const std::string &Group, TimePoint Now) const;
  /// Drops the reserved token if it is lower than \p Token, because an order
  /// with a higher one was sent.
  void dropBelow(const std::string &Group, std::uint64_t Token);

private:
  struct GroupState {
    std::optional<std::uint64_t> Reserved;
    bool Reserving = false;
    TimePoint NextReservation;
  };

  boost::asio::awaitable<Result<std::uint64_t>> claim(std::string Group,
                                                      std::string Instance);

  Options Opts;
  ObjectStore &Store;
  TimePoint StartedAt;
  std::map<std::string, GroupState> Groups;
};

} // namespace cicadawind

#endif
