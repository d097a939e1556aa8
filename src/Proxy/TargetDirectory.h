#ifndef CICADAWIND_PROXY_TARGETDIRECTORY_H
#define CICADAWIND_PROXY_TARGETDIRECTORY_H

#include "Core/Clock.h"
#include "Proxy/TargetEntry.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadawind {

/// \class TargetDirectory
/// \brief The targets that exist, from a registry that loses entries while it
/// is away.
///
/// An entry that disappears is kept for KeepMissing, since the registry drops
/// entries of live targets during its outages and lists them again soon after;
/// one that was leaving goes at once. O(entries) a snapshot.
class TargetDirectory {
public:
  struct Options {
    Duration KeepMissing = std::chrono::milliseconds(2500);
  };

  explicit TargetDirectory(Options Opts) : Opts(Opts) {}

  /// Takes in everything that the registry lists now.
  void replaceAll(const std::vector<TargetEntry> &Listed, TimePoint Now);

  /// Drops what has been missing for too long; true when anything was.
  bool expire(TimePoint Now);

  std::vector<TargetEntry> ofGroup(const std::string &Group) const;
  /// Everything that the registry listed last.
  std::vector<TargetEntry> listed() const;
  std::size_t size() const { return Known.size(); }

private:
  struct Held {
    TargetEntry Entry;
    std::optional<TimePoint> MissingSince;
  };

  Options Opts;
  std::map<std::string, Held> Known;
};

} // namespace cicadawind

#endif
