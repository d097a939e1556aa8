#ifndef CICADAWIND_LINKS_TARGETENTRY_H
#define CICADAWIND_LINKS_TARGETENTRY_H

#include "Core/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace cicadawind {

/// \class TargetEntry
/// \brief The platform registry's entry for one target.
struct TargetEntry {
  std::string Instance;
  std::string Group;
  /// "ip:port".
  std::string Address;
  std::string FailureDomain;
  /// Number of statements that the target runs at the same time.
  unsigned Slots = 1;
  /// Whether the target is leaving, so that it receives no new work.
  bool Leaving = false;
  /// Since when the target leaves: on this VM's clock, and at most
  /// TargetDirectory::Options::ReportDelay later than it said so. Empty if it
  /// stays or if that is not known, as after a start of this VM. Not part of
  /// the registry's entry.
  std::optional<TimePoint> LeavingSince = std::nullopt;
  /// Whether the target reports that it is the primary.
  bool ClaimsPrimary = false;
  /// Start of this run of the instance, as the registry gives it. It differs
  /// after the instance has started again under the same name.
  std::int64_t Incarnation = 0;
  /// How much longer the target expects to be slow after its start, when it
  /// wrote its entry; empty if it does not say so. Counts down, so it is
  /// neither compared nor passed on to other VMs.
  std::optional<Millis> WarmUpHint = std::nullopt;

  /// Returns whether all but the hints are equal.
  bool operator==(const TargetEntry &Other) const {
    auto Tied = [](const TargetEntry &Each) {
      return std::tie(Each.Instance, Each.Group, Each.Address,
                      Each.FailureDomain, Each.Slots, Each.Leaving,
                      Each.LeavingSince, Each.ClaimsPrimary, Each.Incarnation);
    };
    return Tied(*this) == Tied(Other);
  }
};

} // namespace cicadawind

#endif
