#ifndef CICADAWIND_PROXY_CALLERTRANSACTION_H
#define CICADAWIND_PROXY_CALLERTRANSACTION_H

#include "Core/Clock.h"

namespace cicadawind {

/// \class CallerTransaction
/// \brief Where a caller's transaction stands.
struct CallerTransaction {
  enum class Stage {
    None,
    /// The caller has begun it; no target knows of it yet.
    Announced,
    /// A target connection is pinned to it.
    Pinned,
    /// It failed; only its end is accepted.
    Failed,
  };

  Stage At = Stage::None;
  bool ReadOnly = false;
  /// Whether a write was sent in it.
  bool Wrote = false;
  TimePoint Since;

  bool isOpen() const { return At != Stage::None; }
};

} // namespace cicadawind

#endif
