#ifndef CICADAWIND_MEMBERSHIP_EVIDENCEREPORTERS_H
#define CICADAWIND_MEMBERSHIP_EVIDENCEREPORTERS_H

#include "Core/Clock.h"
#include "Membership/VmEntry.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cicadawind {

/// \class EvidenceReporters
/// \brief Decides which VMs of a region pass on the evidence on a primary in
/// doubt between regions.
///
/// If every voter asked every voter of the other regions, the queries would
/// grow with the square of the fleet. So two VMs of each region do it for all
/// of them: those that come first in the order of a hash of the group, in
/// different failure domains if there are several, so that the loss of one
/// delays nothing. A reporter that does not report is passed over for a while.
/// VMs whose views of the fleet differ may have different reporters, which
/// costs queries only. Performs no input or output and reads no clock.
/// choose() costs O(VMs * log VMs). Not thread safe.
class EvidenceReporters {
public:
  struct Options {
    std::string OwnVm;
    /// Time without a report after which a reporter counts as silent.
    Duration ReportTimeout = std::chrono::milliseconds(150);
    /// Time for which a silent reporter is not asked.
    Duration SilentPeriod = std::chrono::seconds(3);
  };

  struct Choice {
    /// At most two VMs; this VM may be one of them.
    std::vector<std::string> Vms;
    /// Whether those that come first in the order are all silent, so that the
    /// evidence has to be asked for without them, too.
    bool AreFirstSilent = false;
  };

  explicit EvidenceReporters(Options Opts);

  /// Returns the reporters of \p Group among \p Vms, which are of one region.
  Choice choose(const std::string &Group, std::vector<VmEntry> Vms,
                TimePoint Now);
  /// Records that \p Vm is asked for evidence on \p Group.
  void recordAsked(const std::string &Group, const std::string &Vm,
                   TimePoint Now);
  /// Records that \p Vm reported on \p Group.
  void recordReport(const std::string &Group, const std::string &Vm);

private:
  struct Reporter {
    /// When the VM was first asked without having reported since, and when it
    /// was last asked.
    TimePoint AskedSince;
    TimePoint AskedAt;
    bool IsAsked = false;
    /// Time until which the VM is not asked, because it did not report.
    TimePoint SilentUntil;
  };

  /// Returns the first of \p Ordered and the first of another failure domain;
  /// the second one if there is no other domain.
  static std::vector<std::string> firstOf(const std::vector<VmEntry> &Ordered);
  bool isSilent(const std::string &Group, const std::string &Vm, TimePoint Now);

  Options Opts;
  /// By group and VM.
  std::map<std::pair<std::string, std::string>, Reporter> Reporters;
};

} // namespace cicadawind

#endif
