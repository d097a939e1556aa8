#ifndef CICADAWIND_CONFIG_NEWERCONFIGS_H
#define CICADAWIND_CONFIG_NEWERCONFIGS_H

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace cicadawind {

/// \class NewerConfigs
/// \brief The versions of the configuration that this VM has heard of and does
/// not have, each with the first VM that announced it.
///
/// Shows how long a VM has known that its own version is outdated. Reads no
/// clock. All functions cost O(versions). Not thread safe.
class NewerConfigs {
public:
  /// First announcement of a version.
  struct Announcement {
    std::uint64_t Version = 0;
    std::string From;
    TimePoint HeardAt;
  };

  /// Records that \p From announced \p Version, while \p Active is in force.
  /// Returns whether no announcement of that version or a later one was known.
  bool record(std::uint64_t Version, std::uint64_t Active,
              const std::string &From, TimePoint Now);
  /// Records that \p Active is in force, and drops the versions up to it.
  void recordActive(std::uint64_t Active);

  /// Returns the announcement that was heard first; null if there is none.
  const Announcement *earliest() const;
  /// Returns the announcement of the highest version; null if there is none.
  const Announcement *highest() const;

private:
  /// By version. A version that is announced after a higher one is not kept, so
  /// the times ascend, too.
  std::map<std::uint64_t, Announcement> Known;
};

} // namespace cicadawind

#endif
