#ifndef CICADAWIND_QUOTAS_ISSUERCANDIDACY_H
#define CICADAWIND_QUOTAS_ISSUERCANDIDACY_H

#include "Core/Clock.h"
#include "Core/Random.h"
#include "Quotas/QuotaTimes.h"

#include <cstddef>
#include <optional>

namespace cicadawind {

/// \class IssuerCandidacy
/// \brief Decides when this VM claims the lease on a partition, renews it or
/// releases the votes for it.
///
/// The VMs are ranked, and each waits RankDelay longer than the one before, so
/// that usually only one claims. Not thread safe.
class IssuerCandidacy {
public:
  enum class Action { None, Claim, Release };
  /// What this VM knows of the partition.
  struct View {
    bool IsHeld = false;
    /// Whether this VM's own vote is another's.
    bool IsTaken = false;
    /// This VM's rank among the live candidates; empty if it is none.
    std::optional<std::size_t> Rank;
  };

  IssuerCandidacy(QuotaTimes Times, RandomSource Random)
      : Times(Times), Random(std::move(Random)) {}

  /// Returns what is to be done now. A claim counts as sent, and a release as
  /// the end of all claims before.
  Action next(const View &Seen, TimePoint Now);

private:
  Action nextOfHolder(TimePoint Now);
  Action fail(TimePoint Now);

  QuotaTimes Times;
  RandomSource Random;
  bool WasHeld = false;
  /// When the claim that waits for a majority was sent.
  std::optional<TimePoint> ClaimedAt;
  /// Since when no VM is known to have the lease.
  std::optional<TimePoint> FreeSince;
  TimePoint NextRenewal;
  TimePoint NotBefore;
};

} // namespace cicadawind

#endif
