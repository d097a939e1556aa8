#ifndef CICADAWIND_PROMOTION_PROMOTIONTOKENS_H
#define CICADAWIND_PROMOTION_PROMOTIONTOKENS_H

#include "Core/Clock.h"
#include "Core/Result.h"
#include "Promotion/PromotionTurn.h"
#include "Succession/SuccessionReservation.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
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
/// be claimed in advance, so that a promotion needs no store. The store then
/// names the only target that may be promoted under it without a record, so
/// that every later decision knows which target that may be. Runs on the loop's
/// thread.
class PromotionTokens {
public:
  struct Options {
    std::string Vm;
    /// Timeout of one call to the store.
    Duration StoreTimeout = std::chrono::milliseconds(700);
    /// The same while a reserved token may be used without the store instead.
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

  /// Returns what to record with a token that is claimed in advance after
  /// \p Turn; empty if none is to be claimed.
  using ReservationPlan = std::function<std::optional<SuccessionReservation>(
      const PromotionTurn &Turn)>;

  PromotionTokens(Options Opts, ObjectStore &Store)
      : Opts(std::move(Opts)), Store(Store), StartedAt(BootClock::now()) {}

  /// Returns what the next claim builds on: the record in the store, or the
  /// reserved token and the record that came with it. Fails with
  /// StoreUnavailable.
  boost::asio::awaitable<Result<PromotionTurn>> begin(std::string Group,
                                                      Source From);
  /// Claims a token for \p Decision, or records it under the reserved one. If
  /// that was not recorded and \p MayUseNamed, claims the reserved token for
  /// the promotion that the store names with it, as also for a \p Decision for
  /// the same target. Fails with Conflict if another VM has claimed a token
  /// since \p Turn began, or with StoreUnavailable. The reservation is used up.
  boost::asio::awaitable<Result<PromotionClaim>> claim(std::string Group,
                                                       PromotionTurn Turn,
                                                       PromotionRecord Decision,
                                                       bool MayUseNamed);
  /// Records that the latest claim of this VM is ordered from now on. Until
  /// then this VM goes by what that claim replaced.
  void recordOrdered(const std::string &Group) { Groups[Group].Own.reset(); }
  /// Drops the reserved token.
  void dropReserved(const std::string &Group) {
    Groups[Group].Reserved.reset();
  }
  /// Returns the reserved token, or claims a new one without a decision. Fails
  /// like claim().
  boost::asio::awaitable<Result<std::uint64_t>> take(std::string Group);
  /// Claims a token in advance, in place of one that is reserved already. An
  /// empty \p Plan stands for a token without a named promotion.
  boost::asio::awaitable<void> reserve(std::string Group, ReservationPlan Plan);
  /// Returns whether reserve() may be called at \p Now: no earlier call is
  /// still in progress, and none began within ReservationInterval.
  bool mayReserve(const std::string &Group, TimePoint Now) const;
  /// Returns the turn with the reserved token; null if there is none.
  const PromotionTurn *reserved(const std::string &Group) const;
  /// Drops the reserved token if it is lower than \p Token, because an order
  /// with a higher one was sent.
  void dropBelow(const std::string &Group, std::uint64_t Token);

private:
  /// A claim of this VM that was recorded and never ordered.
  struct OwnClaim {
    PromotionRecord Latest;
    PromotionRecord Prepared;
    /// What holds instead, since nobody can have carried the claim out.
    PromotionRecord LatestInstead;
    PromotionRecord PreparedInstead;
  };
  struct GroupState {
    /// The turn that holds the reserved token.
    std::optional<PromotionTurn> Reserved;
    bool Reserving = false;
    /// Number of calls of begin() and claim().
    std::uint64_t Attempts = 0;
    std::optional<OwnClaim> Own;
    TimePoint NextReservation;
  };

  boost::asio::awaitable<Result<PromotionTurn>> readTurn(std::string Group,
                                                         Duration Timeout);
  /// Writes \p Latest and \p Prepared as the claim after \p Turn and returns
  /// the turn with that claim's token as its reserved one.
  boost::asio::awaitable<Result<PromotionTurn>>
  claimNext(std::string Group, PromotionTurn Turn, PromotionRecord Latest,
            PromotionRecord Prepared);
  /// Reserves a token after \p Turn with what \p Plan returns.
  boost::asio::awaitable<void>
  reserveAfter(std::string Group, PromotionTurn Turn, ReservationPlan Plan);
  /// Records \p Decision under the reserved token of \p Turn.
  boost::asio::awaitable<WriteResult>
  recordUnderReserved(std::string Group, PromotionTurn Turn,
                      PromotionRecord Decision, bool MayUseNamed);
  boost::asio::awaitable<WriteResult>
  write(std::string Group, const PromotionTurn &Turn, Duration Timeout);

  Options Opts;
  ObjectStore &Store;
  TimePoint StartedAt;
  std::map<std::string, GroupState> Groups;
};

} // namespace cicadawind

#endif
