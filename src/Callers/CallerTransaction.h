#ifndef CICADAWIND_CALLERS_CALLERTRANSACTION_H
#define CICADAWIND_CALLERS_CALLERTRANSACTION_H

#include "Core/Clock.h"

namespace cicadawind {

/// \class CallerTransaction
/// \brief The state of a caller's transaction.
struct CallerTransaction {
  enum class Stage {
    None,
    /// The caller has begun the transaction; no target has done so yet.
    BeginPending,
    /// A target has begun the transaction; the session keeps that connection
    /// until the transaction ends.
    Pinned,
    /// The transaction failed and is rolled back. Requests are refused until
    /// the caller ends it by a rollback, or by a commit, which is refused too.
    Failed,
  };

  Stage CurrentStage = Stage::None;
  bool ReadOnly = false;
  /// Whether a write was sent within the transaction.
  bool Wrote = false;
  /// Whether the transaction has failed while no request was outstanding, so
  /// that the caller takes it for open.
  bool MustTellFailure = false;
  /// When the caller began the transaction.
  TimePoint Since;

  bool isOpen() const { return CurrentStage != Stage::None; }
};

} // namespace cicadawind

#endif
