#ifndef CICADAWIND_PROMOTION_PROMOTIONDRIVER_H
#define CICADAWIND_PROMOTION_PROMOTIONDRIVER_H

#include "Core/Clock.h"
#include "Promotion/FencedPromotion.h"
#include "Promotion/LeaseExchange.h"
#include "Promotion/LeasedPromotion.h"
#include "Promotion/PromotionProcedure.h"
#include "Promotion/PromotionTokens.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cicadawind {

class GroupDispatcher;
class Metrics;
class ObjectStore;
class PeerExchange;
class PromotionService;
class ProxyService;

/// \class PromotionDriver
/// \brief Decides when the primary of a group is replaced, and by which VM.
///
/// Every voter of a group (see ProxyService::votersFor()) may promote. The
/// voters are ranked for each group, and each waits RankDelay longer than the
/// one before, so that usually only one promotes. Every decision carries a
/// fencing token of its own, which is claimed by a conditional update in the
/// store: an order that got no reply may still be carried out seconds later,
/// and must then be refused if a later decision was carried out. The VM of rank
/// 0 reserves a token in advance, so that it can promote the target that the
/// store names with it while the store is unavailable. How a primary is
/// replaced is up to the PromotionProcedure.
///
/// Runs on the loop's thread.
class PromotionDriver {
public:
  struct Options {
    std::string Vm;
    /// Additional wait of each rank.
    Duration RankDelay = std::chrono::milliseconds(150);
    /// Highest rank. VMs that would rank beyond it get this rank, which limits
    /// their wait.
    std::size_t MaxRank = 6;
    /// Wait of this VM after an attempt that failed or that another VM
    /// preempted.
    Duration RetryBackoff = std::chrono::milliseconds(700);
    /// The same after an attempt that left the choice unproved. Longer than
    /// PeerPromotionWait, so that a VM that reaches other targets may try.
    Duration UnprovedBackoff = std::chrono::milliseconds(2200);
    /// Time that this VM waits after a peer announced a promotion, so that the
    /// peer can complete it.
    Duration PeerPromotionWait = std::chrono::milliseconds(1500);
    /// Time without a lease on a primary that is reached, after which the
    /// promotion that blocks the lease counts as abandoned.
    Duration BlockedTimeout = std::chrono::milliseconds(2500);
    PromotionTokens::Options Tokens;
    /// Options of the procedure; only one of them is used, depending on whether
    /// the platform fences promotions.
    FencedPromotion::Options Fenced;
    LeasedPromotion::Options Leased;
    bool PlatformFences = true;
  };

  PromotionDriver(boost::asio::io_context &Loop, Options Opts,
                  ProxyService &Service, PeerExchange &Peers,
                  ObjectStore &Store, PromotionService &Promotions,
                  Metrics &Meter);
  ~PromotionDriver();

  /// Checks every group and starts the promotions that are due; called every
  /// few milliseconds.
  void sweep(TimePoint Now);
  LeaseExchange &leases() { return Leases; }
  /// Returns the live VM of this region that comes first in the order of the
  /// group and shares its evidence for leases; empty if that is this VM.
  std::string leasePeer(const std::string &Group, TimePoint Now);

private:
  /// What a group's voters mean for this VM.
  struct VoterView {
    /// Versions of the live peers and the paths that the view was made from.
    std::uint64_t LiveVersion = 0;
    std::uint64_t PathsVersion = 0;
    /// This VM's rank among the live voters, at most MaxRank. The order is that
    /// of a hash, so that VMs with the same view of the fleet agree on it.
    std::size_t Rank = 0;
    /// Number of live peers that are voters.
    std::size_t Peers = 0;
    /// See leasePeer().
    std::string LeasePeer;
  };
  struct GroupState {
    bool InProgress = false;
    /// Since when a promotion has been due; empty while none is.
    std::optional<TimePoint> DueSince;
    /// No attempt starts before this time.
    TimePoint NotBefore;
    TimePoint NextDoubtLog;
    /// Since when the primary is reached but not leased; empty while it is not.
    std::optional<TimePoint> BlockedSince;
    VoterView Voters;
  };

  std::unique_ptr<PromotionProcedure> makeProcedure(PromotionService &Service);
  void checkGroup(GroupDispatcher &Group, TimePoint Now);
  /// Postpones this VM's next attempt for \p Group, because a peer promotes.
  void deferToPeer(const std::string &Group);
  /// Starts the reservation of a token if this VM has rank 0 and needs one;
  /// drops it if another VM has rank 0.
  void reserveIfFirst(const std::string &Group, TimePoint Now);
  /// Queries the peers if the group's primary is suspect.
  void queryIfSuspect(GroupDispatcher &Group, TimePoint Now);
  /// Returns why the group's primary should be replaced; empty if it should
  /// not. Queries the peers while the primary is suspect.
  std::optional<PromotionReason> reasonToPromote(GroupDispatcher &Group,
                                                 TimePoint Now);
  /// Returns whether the reports of a majority say that the primary has failed.
  bool isLost(GroupDispatcher &Group, TimePoint Now);
  /// Returns whether the primary is reached but its use has been blocked for
  /// BlockedTimeout.
  bool isBlocked(GroupDispatcher &Group, TimePoint Now);
  /// Returns the view of the voters of \p Group, made again if the live peers
  /// or the paths have changed.
  const VoterView &votersOf(const std::string &Group, TimePoint Now);
  VoterView makeVoterView(const std::string &Group, TimePoint Now) const;
  /// Logs the evidence on a suspect primary, at most once in DoubtLogInterval.
  void logDoubt(GroupDispatcher &Group, TimePoint Now);
  /// Runs one attempt to replace \p OldPrimary and records its outcome.
  boost::asio::awaitable<void>
  runAttempt(std::string Group, std::string OldPrimary, PromotionReason Reason);

  boost::asio::io_context &Loop;
  Options Opts;
  ProxyService &Service;
  PeerExchange &Peers;
  Metrics &Meter;
  PromotionTokens Tokens;
  LeaseExchange Leases;
  std::unique_ptr<PromotionProcedure> Procedure;
  std::map<std::string, GroupState> Groups;
};

} // namespace cicadawind

#endif
