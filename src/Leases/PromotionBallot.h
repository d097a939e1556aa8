#ifndef CICADAWIND_LEASES_PROMOTIONBALLOT_H
#define CICADAWIND_LEASES_PROMOTIONBALLOT_H

#include "Core/Clock.h"
#include "Leases/PromotionVote.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace cicadawind {

struct TargetStatus;

/// \class PromotionBallot
/// \brief Collects the votes of VMs and the statuses of instances for one
/// proposal to replace a primary, and decides whether the order may be sent.
///
/// The order may be sent while a majority of the VMs holds the proposal, and
/// once no VM can use the old primary any more:
///
///  - all VMs gave up their leases, or
///  - the old primary reports that it is a replica, or
///  - all instances but one were told to pause, so that no replica supports a
///    lease, and the length of a lease has passed since.
///
/// The VMs of the second and third case may include some that do not answer.
/// Performs no input or output and reads no clock. Each call costs O(VMs +
/// instances). Not thread safe.
class PromotionBallot {
public:
  struct Options {
    /// Length of the leases of all VMs, see PrimaryLease.
    Duration LeaseLength = std::chrono::milliseconds(1000);
    /// Added to LeaseLength because the clocks of two VMs differ in rate.
    Duration ClockMargin = std::chrono::milliseconds(20);
    /// Time after a vote was requested during which the order may be sent. Less
    /// than PromotionPromise::Options::Exclusive by the time that an order may
    /// take to reach the platform.
    Duration OrderWindow = std::chrono::milliseconds(1500);
    PromotionProposal Proposal;
    /// All VMs that may hold a lease, including this one.
    std::set<std::string> Vms;
    /// All instances of the group.
    std::set<std::string> Instances;
    /// The primary to replace; empty if it is not known.
    std::string OldPrimary;
  };

  explicit PromotionBallot(Options Opts) : Opts(std::move(Opts)) {}

  const PromotionProposal &proposal() const { return Opts.Proposal; }
  /// Names the instance to promote, at \p Now. Votes that were requested before
  /// do not count towards the majority any more.
  void setSuccessor(const std::string &Instance, TimePoint Now);

  /// Gives the proposal another token at \p Now, for another order. The VMs
  /// have to vote again.
  void setToken(std::uint64_t Token, TimePoint Now);

  /// Records the vote of \p Vm, requested at \p RequestedAt.
  void recordVote(const std::string &Vm, const PromotionVote &Vote,
                  TimePoint RequestedAt);
  /// Records a status of \p Instance that arrived at \p Now.
  void recordStatus(const std::string &Instance, const TargetStatus &Status,
                    TimePoint Now);

  /// Returns whether a VM or an instance knows a higher token or a newer term,
  /// so that this proposal must end.
  bool isOutdated() const {
    // A term that an earlier proposal may have opened must not be opened again,
    // unless this proposal promotes the same successor.
    bool IsOpened = NamedTerm >= Opts.Proposal.NewTerm;
    return Outdated || (IsOpened && PendingSuccessor.empty());
  }
  /// Returns whether a VM reaches the primary, so that it is not lost.
  bool isVetoed() const { return Vetoed; }
  /// Returns the highest token that a VM reported.
  std::uint64_t highestToken() const { return HighestToken; }
  /// Returns the highest term that a VM or an instance reported. A later
  /// proposal must open a higher one.
  Term highestTerm() const { return HighestTerm; }
  /// Returns whether a majority of the VMs holds the proposal at \p Now, and
  /// includes a VM that knows of each earlier order which may still be carried
  /// out: the VMs that do not vote or do not remember are no majority by
  /// themselves, or all VMs vote.
  bool hasMajority(TimePoint Now) const;
  /// Returns whether all VMs have given up their leases.
  bool allGaveUp() const;
  /// Returns the VMs that have not voted since the successor was named.
  std::set<std::string> missingVotes() const;
  /// Returns the instances that have not paused.
  std::set<std::string> unpaused() const;
  /// Returns whether the old primary reported that it is a replica.
  bool isDemoted() const { return Demoted; }
  /// Returns the time from which no VM can use the old primary; empty while
  /// that is not known.
  std::optional<TimePoint> leasesEndAt() const;
  /// Returns whether the order may be sent at \p Now.
  bool mayOrder(TimePoint Now) const;
  /// Returns the instance that an earlier order may still promote, which
  /// therefore is the only one that this proposal may promote; empty if there
  /// is none.
  const std::string &pendingSuccessor() const { return PendingSuccessor; }

private:
  /// Votes that were requested before \p Now do not count any more.
  void resetVotes(TimePoint Now);

  struct VmState {
    bool GaveUp = false;
    /// Request time of the latest vote that counts for the current successor.
    std::optional<TimePoint> CountedAt;
    bool RemembersOrders = false;
  };

  Options Opts;
  std::map<std::string, VmState> Votes;
  bool Vetoed = false;
  /// When each instance was first known to be paused.
  std::map<std::string, TimePoint> PausedAt;
  /// When the proposal was last changed.
  TimePoint ChangedAt;
  bool Demoted = false;
  TimePoint DemotedAt;
  bool Outdated = false;
  std::uint64_t HighestToken = 0;
  Term HighestTerm = 0;
  Term NamedTerm = 0;
  std::string PendingSuccessor;
  std::uint64_t PendingToken = 0;
};

} // namespace cicadawind

#endif
