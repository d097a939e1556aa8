#ifndef CICADAWIND_PROMOTION_PROMOTIONTOKENS_H
#define CICADAWIND_PROMOTION_PROMOTIONTOKENS_H

#include "Core/Clock.h"
#include "Core/Result.h"
#include "Promotion/PromotionTurn.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cicadawind {

class ObjectStore;
struct WriteResult;

/// \class PromotionTokens
/// \brief Claims the fencing tokens of promotions in the platform's store.
///
/// A token is claimed by a conditional update of the group's object, which
/// counts the claims and records the latest decision, so that no two decisions
/// carry the same token and each builds on the one before. If the store comes
/// back from an older copy, it has lost the latest claims. So a token is the
/// store's era and the count, packed so that a later era is higher. A token may
/// be claimed in advance, so that a promotion needs no store. Runs on the
/// loop's thread.
class PromotionTokens {
public:
  struct Options {
    std::string Vm;
    /// Timeout of one call to the store.
    Duration StoreTimeout = std::chrono::milliseconds(700);
    /// The same for recording a decision under a reserved token, which may be
    /// used without the store.
    Duration RecordTimeout = std::chrono::milliseconds(200);
    /// Minimum time between two attempts to reserve a token.
    Duration ReservationInterval = std::chrono::milliseconds(2000);
    /// Time after the start before which no token is reserved. A VM that does
    /// not know the others yet takes itself for the one to reserve.
    Duration ReservationDelay = std::chrono::milliseconds(3000);
  };

  /// Which record the next claim builds on.
  enum class Source {
    /// The one that came with the reserved token, if there is one.
    ReservedFirst,
    /// That of the store, if the store replies.
    StoreFirst,
    StoreOnly,
  };

  PromotionTokens(Options Opts, ObjectStore &Store)
      : Opts(std::move(Opts)), Store(Store), StartedAt(BootClock::now()) {}

  /// Returns what the next claim builds on: the record in the store, or the
  /// reserved token and the record that came with it. Fails with
  /// StoreUnavailable.
  boost::asio::awaitable<Result<PromotionTurn>> begin(std::string Group,
                                                      Source From);
  /// Claims a token for \p Decision, or records it under the reserved one.
  /// Fails with Conflict if another VM has claimed one since \p Turn began, or
  /// with StoreUnavailable; a reserved token is returned even if the store does
  /// not reply, and its decision is recorded with the next claim. The
  /// reservation is used up.
  boost::asio::awaitable<Result<PromotionClaim>>
  claim(std::string Group, PromotionTurn Turn, PromotionRecord Decision);
  /// Drops the reserved token.
  void dropReserved(const std::string &Group) {
    Groups[Group].Reserved.reset();
  }
  /// Returns the reserved token, or claims a new one without a decision. Fails
  /// like claim().
  boost::asio::awaitable<Result<std::uint64_t>> take(std::string Group);
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
    /// The turn that holds the reserved token.
    std::optional<PromotionTurn> Reserved;
    bool Reserving = false;
    /// The latest decision of this VM that the store may not have.
    PromotionRecord Unrecorded;
    TimePoint NextReservation;
  };

  boost::asio::awaitable<Result<PromotionTurn>> readTurn(std::string Group);
  /// Writes \p Decision as the claim after \p Turn and returns the turn with
  /// that claim's token as its reserved one.
  boost::asio::awaitable<Result<PromotionTurn>>
  claimNext(std::string Group, PromotionTurn Turn, PromotionRecord Decision);
  boost::asio::awaitable<WriteResult>
  write(std::string Group, const PromotionTurn &Turn, Duration Timeout);

  Options Opts;
  ObjectStore &Store;
  TimePoint StartedAt;
  std::map<std::string, GroupState> Groups;
};

} // namespace cicadawind

#endif
