#ifndef CICADAWIND_LINKS_TARGETENTRY_H
#define CICADAWIND_LINKS_TARGETENTRY_H

#include <cstdint>
#include <string>

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
  /// Whether the target reports that it is the primary.
  bool ClaimsPrimary = false;
  /// Start of this run of the instance, as the registry gives it. It differs
  /// after the instance has started again under the same name.
  std::int64_t Incarnation = 0;

  bool operator==(const TargetEntry &) const = default;
};

} // namespace cicadawind

#endif
