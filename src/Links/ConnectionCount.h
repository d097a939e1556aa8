#ifndef CICADAWIND_LINKS_CONNECTIONCOUNT_H
#define CICADAWIND_LINKS_CONNECTIONCOUNT_H

#include <cstddef>

namespace cicadawind {

/// \class ConnectionCount
/// \brief Connections of one VM to the targets of a group.
struct ConnectionCount {
  /// Connections that are open, directly or through relays.
  std::size_t Open = 0;
  /// Sum of the shares that the paths to the targets allow, see TargetPath.
  std::size_t Allowed = 0;
};

} // namespace cicadawind

#endif
