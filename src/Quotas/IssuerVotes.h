#ifndef CICADAWIND_QUOTAS_ISSUERVOTES_H
#define CICADAWIND_QUOTAS_ISSUERVOTES_H

#include "Core/Clock.h"
#include "Quotas/LimitShares.h"
#include "Quotas/QuotaMessage.h"

#include <array>
#include <string>

namespace cicadawind {

/// \class IssuerVotes
/// \brief This VM's votes for the issuers of the partitions of its failure
/// domain.
///
/// A vote is kept for LeaseLength, and meanwhile given to no other process.
/// Votes are not written down, so none is given in the first LeaseLength after
/// the start. Not thread safe.
class IssuerVotes {
public:
  struct Options {
    std::string FailureDomain;
    Duration LeaseLength = std::chrono::milliseconds(800);
    TimePoint StartedAt;
  };

  explicit IssuerVotes(Options Opts) : Opts(std::move(Opts)) {}

  /// Returns whether this VM, which knows \p DomainSize VMs of its failure
  /// domain, votes for the claim of \p Vm. A VM that knows two fewer does not
  /// get the vote unless it has it already: it may count a majority of too few.
  bool vote(const std::string &Vm, const IssuerClaim &Claim,
            std::size_t DomainSize, TimePoint Now);
  /// Drops a vote that \p Vm makes no use of.
  void release(const std::string &Vm, const IssuerRelease &Release);
  /// Returns the VM that has this VM's vote for \p Partition; empty if there is
  /// none.
  std::string votedFor(unsigned Partition, TimePoint Now) const;

private:
  struct Vote {
    std::string Vm;
    std::uint64_t Incarnation = 0;
    /// Number of the latest claim that got it.
    std::uint64_t Number = 0;
    TimePoint Until;
  };

  Options Opts;
  std::array<Vote, QuotaPartitions> Votes;
};

} // namespace cicadawind

#endif
