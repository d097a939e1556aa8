#ifndef CICADAWIND_LINKS_LINKGRANT_H
#define CICADAWIND_LINKS_LINKGRANT_H

#include "Core/LogPosition.h"

#include <memory>
#include <optional>
#include <string>

namespace cicadawind {

class TargetLink;

/// \class LinkGrant
/// \brief An acquired connection and the checks that the target must make for a
/// read over it.
struct LinkGrant {
  std::shared_ptr<TargetLink> Link;
  std::string Instance;
  /// Whether the target is believed to be the primary. A read there must make
  /// the target check that it still is.
  bool IsPrimary = false;
  /// Position that the target's log must have reached; set only for reads at
  /// replicas.
  std::optional<LogPosition> MinPosition;
  /// Set if a rollback has been sent whose reply releases the connection to the
  /// dispatcher: whether that has happened, or the connection failed.
  std::shared_ptr<bool> RollbackEnded;
};

} // namespace cicadawind

#endif
