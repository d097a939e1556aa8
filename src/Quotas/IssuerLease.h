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
/// arrival of the claim. Not thread safe.
class IssuerLease {
public:
  struct Options {
    Duration LeaseLength = std::chrono::milliseconds(800);
    Duration ClockMargin = std::chrono::milliseconds(20);
  };

  explicit IssuerLease(Options Opts) : Opts(Opts) {}

  /// Records that a claim of \p Number was sent at \p Now to \p Voters, of
  /// which \p Majority have to vote for it.
  void recordClaim(std::uint64_t Number, std::set<std::string> Voters,
                   std::size_t Majority, TimePoint Now);
  /// Records the vote of \p Voter for the claim \p Number. Returns whether the
  /// lease begins with it.
  bool recordVote(std::uint64_t Number, const std::string &Voter,
                  TimePoint Now);
  bool isHeld(TimePoint Now) const { return HeldUntil && Now < *HeldUntil; }
  /// Ends the lease. Votes for claims until now have no effect any more.
  void end();

private:
  struct Claim {
    TimePoint SentAt;
    std::set<std::string> Voters;
    std::size_t Majority = 0;
    std::set<std::string> VotedFor;
  };

  TimePoint endOf(const Claim &Sent) const {
    return Sent.SentAt + Opts.LeaseLength - Opts.ClockMargin;
  }

  Options Opts;
  std::optional<TimePoint> HeldUntil;
  /// Claims that may still begin or prolong the lease.
  std::map<std::uint64_t, Claim> Claims;
};

} // namespace cicadawind

#endif
