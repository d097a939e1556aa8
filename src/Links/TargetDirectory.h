#ifndef CICADAWIND_LINKS_TARGETDIRECTORY_H
#define CICADAWIND_LINKS_TARGETDIRECTORY_H

#include "Core/Clock.h"
#include "Links/TargetDeparture.h"
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
///
/// Since when a target leaves is not in the registry. This VM knows it if it
/// has read there before that the target stays; otherwise, as after its start,
/// only other VMs can tell.
/// For N entries, applyList takes O(N log N), other functions at most O(N).
class TargetDirectory {
public:
  struct Options {
    /// Time for which an entry is kept after the registry stopped listing it.
    Duration MissingRetention = std::chrono::milliseconds(2500);
    /// Time from the reading of an entry to the next one, while the registry is
    /// read without a pause (TargetsWatchTimes). A target that leaves in the
    /// second of two readings may have said so that long before.
    Duration ReportDelay = std::chrono::milliseconds(1200);
  };
  /// Who sent a list.
  enum class Source { Registry, Peer };

  explicit TargetDirectory(Options Opts) : Opts(Opts) {}

  /// Applies the complete list that the registry holds now, or that a peer has
  /// read there earlier.
  void applyList(const std::vector<TargetEntry> &Listed, TimePoint Now,
                 Source From = Source::Registry);
  /// Records that the registry still holds the list that was applied last.
  void confirmList(TimePoint Now);
  /// Records what a peer knows of a departure; the earliest time holds. Returns
  /// whether an entry has changed.
  bool recordDeparture(const TargetDeparture &Known);

  /// Removes entries that have been missing for longer than MissingRetention.
  /// Returns whether any was removed.
  bool expire(TimePoint Now);

  /// Returns the group's targets, including those that are missing but kept.
  std::vector<TargetEntry> ofGroup(const std::string &Group) const;
  /// Returns the targets in the registry's last list.
  std::vector<TargetEntry> listed() const;
  /// Returns since when the listed targets that leave do so, as far as known.
  std::vector<TargetDeparture> departures() const;
  /// Returns whether a listed target leaves since an unknown time.
  bool lacksDeparture() const;
  std::size_t size() const { return Entries.size(); }

private:
  struct TrackedEntry {
    TargetEntry Entry;
    /// When the registry stopped listing it; empty while it is listed.
    std::optional<TimePoint> MissingSince;
    /// When the registry was last read to list it as staying; empty if this VM
    /// has not read that.
    std::optional<TimePoint> StayedAt;
  };

  /// A target that leaves, in one of its runs.
  struct Departure {
    std::int64_t Incarnation = 0;
    /// See TargetEntry::LeavingSince.
    std::optional<TimePoint> Since;
  };

  /// Sets whether and since when the target of \p Tracked leaves, from its
  /// entry as listed and from what is known of its departure.
  void recordLeaving(TrackedEntry &Tracked, TimePoint Now);

  Options Opts;
  /// By instance.
  std::map<std::string, TrackedEntry> Entries;
  /// How a target was last leaving, by instance. Kept for the life of the
  /// process.
  std::map<std::string, Departure> Departures;
};

} // namespace cicadawind

#endif
