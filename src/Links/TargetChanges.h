#ifndef CICADAWIND_LINKS_TARGETCHANGES_H
#define CICADAWIND_LINKS_TARGETCHANGES_H

#include "Links/TargetEntry.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cicadawind {

/// \class TargetChanges
/// \brief The differences between two lists of targets.
struct TargetChanges {
  /// Targets that were added or have changed.
  std::vector<TargetEntry> Changed;
  /// Names of the targets that are no longer listed.
  std::vector<std::string> Removed;

  bool operator==(const TargetChanges &) const = default;
};

/// Returns \p Listed with \p Changes applied, in the order of the names.
std::vector<TargetEntry> applyChanges(const std::vector<TargetEntry> &Listed,
                                      const TargetChanges &Changes);

/// Returns a hash of \p Listed, which is the same on all VMs with the same list
/// in the order of the names.
std::uint64_t hashOf(const std::vector<TargetEntry> &Listed);

} // namespace cicadawind

#endif
