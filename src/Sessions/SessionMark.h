#ifndef CICADAWIND_SESSIONS_SESSIONMARK_H
#define CICADAWIND_SESSIONS_SESSIONMARK_H

#include "Core/LogPosition.h"

#include <cstdint>

namespace cicadawind {

/// \class SessionMark
/// \brief What a session has seen of one database.
struct SessionMark {
  /// Every later read must include this position.
  LogPosition AtLeast;
  /// A write of the session may have run without its position being known.
  /// Reads then go to the primary until the write is settled.
  bool Uncertain = false;
  /// Hash of the uncertain write's idempotency key; 0 when it had none.
  std::uint64_t UncertainKey = 0;

  bool operator==(const SessionMark &) const = default;
};

} // namespace cicadawind

#endif
