#ifndef CICADAWIND_LINKS_TARGETHISTORY_H
#define CICADAWIND_LINKS_TARGETHISTORY_H

#include "Links/TargetChanges.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadawind {

/// \class TargetHistory
/// \brief Remembers at which revision of the store each target last changed.
///
/// A VM sends its peers only what has changed since the list that they have.
/// Revisions of the store mean the same on all VMs: a list at revision R
/// contains all changes up to R. A target that changes and changes back between
/// two lists is not noticed, so the receiver compares hashOf() the result. The
/// names of removed targets are kept for the life of the process; there are a
/// few a day. record() and changesSince() cost O(targets).
class TargetHistory {
public:
  /// Records the whole list as of \p Revision, which never decreases.
  void record(const std::vector<TargetEntry> &Listed, std::uint64_t Revision);
  /// Returns the changes after \p Revision; empty if the history does not go
  /// back that far.
  std::optional<TargetChanges> changesSince(std::uint64_t Revision) const;

private:
  struct Record {
    TargetEntry Entry;
    bool IsListed = true;
    std::uint64_t ChangedAt = 0;
  };

  /// By name.
  std::map<std::string, Record> Records;
  /// Revision of the first list; empty before that.
  std::optional<std::uint64_t> BeginsAt;
};

} // namespace cicadawind

#endif
