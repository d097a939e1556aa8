#ifndef CICADAWIND_QUOTAS_ISSUERLEASE_H
#define CICADAWIND_QUOTAS_ISSUERLEASE_H

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cicadawind {

/// \class IssuerLease
/// \brief This VM's lease on issuing the permits of one partition.
///
/// Lasts for LeaseLength - ClockMargin from the sending of a claim that a
/// majority voted for: each of them keeps its vote for LeaseLength from the
/// arrival of the claim. If all VMs of the failure domain have voted for one
/// claim, their votes tell since when no permit was issued before the lease.
/// Not thread safe.
class IssuerLease {
public:
  struct Options {
    Duration LeaseLength = std::chrono::milliseconds(800);
    Duration ClockMargin = std::chrono::milliseconds(20);
  };

  explicit IssuerLease(Options Opts) : Opts(Opts) {}

  /// Records that a claim of \p Number was sent at \p Now to \p Voters, of
  /// which \p Majority have to vote for it. The failure domain has
  /// \p DomainSize VMs.
  void recordClaim(std::uint64_t Number, std::set<std::string> Voters,
                   std::size_t Majority, std::size_t DomainSize, TimePoint Now);
  /// Records the vote of \p Voter for the claim \p Number. \p Idle is the time
  /// for which it had issued no permit. Returns whether the lease begins with
  /// it.
  bool recordVote(std::uint64_t Number, const std::string &Voter, Duration Idle,
                  TimePoint Now);
  /// Returns the time before the lease in which no VM issued a permit, as far
  /// as is known; returns it once for each lease, and zero otherwise.
  Duration takeIdleTime();
  bool isHeld(TimePoint Now) const { return HeldUntil && Now < *HeldUntil; }
  /// Ends the lease. Votes for claims until now have no effect any more.
  void end();

private:
  struct Claim {
    TimePoint SentAt;
    std::set<std::string> Voters;
    std::size_t Majority = 0;
    std::size_t DomainSize = 0;
    std::set<std::string> VotedFor;
    /// Latest time at which one of them may have issued a permit.
    TimePoint IssuedUntil;
  };

  TimePoint endOf(const Claim &Sent) const {
    return Sent.SentAt + Opts.LeaseLength - Opts.ClockMargin;
  }

  Options Opts;
  std::optional<TimePoint> HeldUntil;
  TimePoint HeldSince;
  /// Since when no permit was issued before the lease; empty if that is not
  /// known.
  std::optional<TimePoint> IdleSince;
  bool IsIdleTimeTaken = false;
  /// Claims that may still begin or prolong the lease.
  std::map<std::uint64_t, Claim> Claims;
};

} // namespace cicadawind

#endif
