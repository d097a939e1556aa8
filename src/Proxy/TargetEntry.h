#ifndef CICADAWIND_PROXY_TARGETENTRY_H
#define CICADAWIND_PROXY_TARGETENTRY_H

#include <cstdint>
#include <string>

namespace cicadawind {

/// \class TargetEntry
/// \brief What the platform's registry says of one target.
struct TargetEntry {
  std::string Instance;
  std::string Group;
  /// "ip:port".
  std::string Address;
  std::string FailureDomain;
  unsigned Slots = 1;
  /// Gets no new work.
  bool Leaving = false;
  /// Whether it sees itself as the primary.
  bool ClaimsPrimary = false;
  /// Start of this incarnation; an instance that starts again under its name
  /// has another one.
  std::int64_t Incarnation = 0;

  bool operator==(const TargetEntry &) const = default;
};

} // namespace cicadawind

#endif
