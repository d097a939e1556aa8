#ifndef CICADAWIND_MEMBERSHIP_STOREREADERS_H
#define CICADAWIND_MEMBERSHIP_STOREREADERS_H

#include "Core/Clock.h"
#include "Membership/ContactAge.h"
#include "Membership/VmEntry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadawind {

/// \class StoreReaders
/// \brief Decides whether this VM reads the configuration and the targets from
/// the store, or takes them from other VMs.
///
/// If every VM read the store, the calls and bytes would grow with the fleet,
/// and the lists that all VMs read after a common restart would fill the link
/// between regions for longer than their timeout. So in each failure domain
/// the ReadersPerDomain VMs that come first in the order of a hash read the
/// store. The others read it only while no VM is known to have read it for
/// SilenceTimeout; each waits RankDelay longer than the one before, so that
/// they do not all start at the same time. Performs no input or output and
/// reads no clock. All functions cost O(VMs of the domain) at most. Not thread
/// safe.
class StoreReaders {
public:
  struct Options {
    std::string OwnVm;
    std::string FailureDomain;
    /// With three, two may be lost or cut off from the store at the same time.
    /// A domain with at most that many VMs needs no exchange to be current.
    std::size_t ReadersPerDomain = 3;
    /// While the VMs of the domain are not known, a VM reads the store once
    /// FirstDelay has passed since its start, and a part of FirstSpread that
    /// depends on its name.
    Duration FirstDelay = std::chrono::milliseconds(200);
    Duration FirstSpread = std::chrono::milliseconds(800);
    /// Time without a known read after which other VMs read the store, and the
    /// same for a VM that has not heard of any read yet.
    Duration SilenceTimeout = std::chrono::seconds(4);
    Duration StartTimeout = std::chrono::milliseconds(1500);
    Duration RankDelay = std::chrono::milliseconds(200);
    /// Highest rank. VMs that would rank beyond it get this rank, which limits
    /// their wait.
    std::size_t MaxRank = 20;
    /// Maximum number of reads that a hello names.
    std::size_t MaxReads = 8;
  };

  StoreReaders(Options Opts, TimePoint StartedAt);

  /// Sets the live VMs, of which only those of the own failure domain count.
  void setPeers(const std::vector<VmEntry> &Live, TimePoint Now);
  /// Records that another VM read the store at \p At. \p VmHash is the lower
  /// half of hashText() of its name.
  void recordRead(std::uint32_t VmHash, TimePoint At);
  /// Records that this VM could not read the store.
  void recordFailure(TimePoint Now);

  /// Returns whether this VM may read the store.
  bool mayRead(TimePoint Now) const;
  /// Returns the latest reads of other VMs, the newest first.
  std::vector<ContactAge> latestReads(TimePoint Now) const;

private:
  /// Returns the time of the latest event after which this VM waits.
  TimePoint waitsSince() const;

  Options Opts;
  std::uint64_t OwnHash;
  TimePoint StartedAt;
  /// Position of this VM in the order of its domain; empty until setPeers().
  std::optional<std::size_t> Rank;
  TimePoint KnownSince;
  /// Latest read of each other VM, by the hash of its name.
  std::map<std::uint32_t, TimePoint> ReadAt;
  std::optional<TimePoint> LastRead;
  std::optional<TimePoint> LastFailure;
};

} // namespace cicadawind

#endif
