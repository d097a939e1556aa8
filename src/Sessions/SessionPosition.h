#ifndef CICADAWIND_SESSIONS_SESSIONPOSITION_H
#define CICADAWIND_SESSIONS_SESSIONPOSITION_H

#include "Core/LogPosition.h"

#include <cstdint>

namespace cicadawind {

/// \class SessionPosition
/// \brief State of a session for one database.
struct SessionPosition {
  /// Position that every later read of the session must include.
  LogPosition MinPosition;
  /// Whether a write of the session has an unknown outcome: it may have run,
  /// but its position is not known. Until the outcome is known, reads require
  /// the primary.
  bool OutcomeUnknown = false;
  /// Hash of that write's idempotency key; 0 if it had none.
  std::uint64_t UnknownWriteKey = 0;

  bool operator==(const SessionPosition &) const = default;
};

} // namespace cicadawind

#endif
