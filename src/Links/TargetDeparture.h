#ifndef CICADAWIND_LINKS_TARGETDEPARTURE_H
#define CICADAWIND_LINKS_TARGETDEPARTURE_H

#include "Core/Clock.h"

#include <cstdint>
#include <string>

namespace cicadawind {

/// \class TargetDeparture
/// \brief Since when a target leaves, in one of its runs.
struct TargetDeparture {
  std::string Instance;
  /// See TargetEntry::Incarnation.
  std::int64_t Incarnation = 0;
  /// See TargetEntry::LeavingSince.
  TimePoint Since;

  bool operator==(const TargetDeparture &) const = default;
};

} // namespace cicadawind

#endif
