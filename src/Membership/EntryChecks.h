#ifndef CICADAWIND_MEMBERSHIP_ENTRYCHECKS_H
#define CICADAWIND_MEMBERSHIP_ENTRYCHECKS_H

#include "Core/Clock.h"
#include "Core/Random.h"

#include <optional>

namespace cicadawind {

/// \class EntryChecks
/// \brief Decides when a VM checks whether its entry is still in the store.
///
/// Others remove the entry of a VM that they have left out because it is
/// silent. A VM that may have been silent to them checks its entry: after it
/// was suspended, and once it reaches most VMs again. Each VM also checks it
/// now and then, in case it was silent without a sign of that. Checks are
/// spread, so that VMs which were cut off together do not call the store
/// together. All functions take O(1). Not thread safe.
class EntryChecks {
public:
  struct Options {
    RandomSource Random;
    /// Time between two sweeps from which on the VM counts as having been
    /// suspended, and time without a majority from which on others may have
    /// left it out.
    Duration MinSilence = std::chrono::seconds(5);
    /// Checks are made at a random time of this length.
    Duration Spread = std::chrono::seconds(4);
    /// Mean time between the checks without a sign.
    Duration Period = std::chrono::minutes(5);
  };

  explicit EntryChecks(Options NewOpts) : Opts(std::move(NewOpts)) {}

  /// Returns whether to check the entry now. Called often; \p ReachesMajority
  /// says whether this VM and its live peers are most VMs.
  bool isDue(bool ReachesMajority, TimePoint Now);

private:
  /// Returns a random time up to \p Max.
  Duration randomUpTo(Duration Max);
  /// Returns whether something since the last call may have made this VM
  /// silent to others.
  bool wasSilent(bool ReachesMajority, TimePoint Now);

  Options Opts;
  std::optional<TimePoint> LastSweep;
  /// Since when this VM does not reach a majority.
  std::optional<TimePoint> CutOffSince;
  std::optional<TimePoint> DueAt;
};

} // namespace cicadawind

#endif
