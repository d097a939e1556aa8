#ifndef CICADAWIND_MEMBERSHIP_PROOFREPORTERS_H
#define CICADAWIND_MEMBERSHIP_PROOFREPORTERS_H

#include "Core/Clock.h"
#include "Membership/VmEntry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadawind {

/// \class ProofReporters
/// \brief Decides which VM of a region asks another region for the leadership
/// proofs of a group.
///
/// If every VM asked for itself, the queries between regions would grow with
/// the fleet. So all VMs of a region ask the same one of them, the reporter,
/// which comes first in the order of a hash of the group. VMs whose views of
/// the fleet differ may have different reporters, which costs queries only. A
/// reporter that does not report is passed over for a while; the VM then asks
/// the other region itself. Performs no input or output and reads no clock.
/// reporterFor() costs O(VMs) for each group after a change of the live peers.
/// Not thread safe.
class ProofReporters {
public:
  struct Options {
    std::string OwnVm;
    std::string Region;
    /// Time without a report after which the reporter counts as silent. Covers
    /// its own query to the other region.
    Duration ReportTimeout = std::chrono::milliseconds(150);
    /// Time for which a silent reporter is not asked.
    Duration SilentPeriod = std::chrono::seconds(3);
  };

  explicit ProofReporters(Options Opts);

  /// Returns the name of the VM to ask for a proof of \p Group at \p Now; empty
  /// if this VM has to ask the other region itself. \p LiveVersion changes with
  /// \p LivePeers.
  std::optional<std::string> reporterFor(const std::string &Group,
                                         const std::vector<VmEntry> &LivePeers,
                                         std::uint64_t LiveVersion,
                                         TimePoint Now);
  /// Records that \p Vm reported on \p Group.
  void recordReport(const std::string &Group, const std::string &Vm);

private:
  struct Reporter {
    /// Version of the live peers that Vm was chosen from; empty before that.
    std::optional<std::uint64_t> LiveVersion;
    std::string Vm;
    /// When Vm was first asked without having reported since.
    std::optional<TimePoint> AskedAt;
    /// Time until which Vm is not asked, because it did not report.
    TimePoint SilentUntil;
  };

  /// Returns the first VM of the region, possibly this one, in the order of
  /// \p Group.
  std::string chooseFor(const std::string &Group,
                        const std::vector<VmEntry> &LivePeers) const;

  Options Opts;
  /// By group.
  std::map<std::string, Reporter> Reporters;
};

} // namespace cicadawind

#endif
