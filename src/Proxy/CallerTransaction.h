#ifndef CICADAWIND_PROXY_CALLERTRANSACTION_H
#define CICADAWIND_PROXY_CALLERTRANSACTION_H

#include "Core/Clock.h"

#include <string>

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

/// A shape that a caller has prepared.
struct PreparedShape {
  bool Writes = false;
  std::string Shape;
};

/// What is logged and counted of a finished request.
struct RequestReport {
  std::string Id;
  std::string Database;
  std::string Kind;
  /// "ok", "refused", "in_doubt" or "failed".
  std::string Outcome;
  std::string Why;
  std::string Instance;
  unsigned Attempts = 0;
  Duration Took = Duration::zero();
};

} // namespace cicadawind

#endif
