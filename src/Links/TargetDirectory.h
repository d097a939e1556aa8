#ifndef CICADAWIND_LINKS_TARGETDIRECTORY_H
#define CICADAWIND_LINKS_TARGETDIRECTORY_H

#include "Core/Clock.h"
#include "Links/TargetEntry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadawind {

/// \class TargetDirectory
/// \brief The targets that exist, according to a registry that loses entries
/// during its outages.
///
/// The registry drops entries of live targets while it is unavailable and lists
/// them again soon after. An entry that disappears is therefore kept for
/// MissingRetention. The entry of a target that was leaving is removed at once.
/// A registry that comes back from an older copy lists targets that have left
/// as if they stayed; since a target that leaves does not change its mind, it
/// counts as leaving until it starts again.
/// For N entries, applyList takes O(N log N), other functions at most O(N).
class TargetDirectory {
public:
  struct Options {
    /// Time for which an entry is kept after the registry stopped listing it.
    Duration MissingRetention = std::chrono::milliseconds(2500);
  };

  explicit TargetDirectory(Options Opts) : Opts(Opts) {}

  /// Applies the complete list that the registry holds now.
  void applyList(const std::vector<TargetEntry> &Listed, TimePoint Now);

  /// Removes entries that have been missing for longer than MissingRetention.
  /// Returns whether any was removed.
  bool expire(TimePoint Now);

  /// Returns the group's targets, including those that are missing but kept.
  std::vector<TargetEntry> ofGroup(const std::string &Group) const;
  /// Returns the targets in the registry's last list.
  std::vector<TargetEntry> listed() const;
  std::size_t size() const { return Entries.size(); }

private:
  struct TrackedEntry {
    TargetEntry Entry;
    /// When the registry stopped listing it; empty while it is listed.
    std::optional<TimePoint> MissingSince;
  };

  /// A target that leaves, in one of its runs.
  struct Departure {
    std::int64_t Incarnation = 0;
    /// When this VM or the peer that told it first heard of it.
    TimePoint Since;
  };

  /// Returns since when the target of \p Entry leaves; empty if it has not said
  /// so since its start.
  std::optional<TimePoint> recordLeaving(const TargetEntry &Entry,
                                         TimePoint Now);

  Options Opts;
  /// By instance.
  std::map<std::string, TrackedEntry> Entries;
  /// How a target was last leaving, by instance. Kept for the life of the
  /// process.
  std::map<std::string, Departure> Departures;
};

} // namespace cicadawind

#endif
