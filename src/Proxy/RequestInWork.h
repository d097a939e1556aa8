#ifndef CICADAWIND_PROXY_REQUESTINWORK_H
#define CICADAWIND_PROXY_REQUESTINWORK_H

#include "Core/Error.h"
#include "Core/LogPosition.h"
#include "Statements/Statement.h"

#include <optional>
#include <string>

namespace cicadawind {

/// A caller's request that waits for its answer.
struct RequestInWork {
  Statement Request;
  TimePoint Since;
  TimePoint Deadline;
  TimePoint GiveUpAt;
  TimePoint NotBefore;
  unsigned Attempts = 0;
  TimePoint AttemptSince;
  /// Whether a write or commit has left for a target.
  bool EffectSent = false;
  std::string LastInstance;
  Error LastFailure;
  /// What each failed attempt ended with, "target:code" apart by commas.
  std::string Tries;
  /// Position that the last target had to hold, if any.
  std::optional<LogPosition> AtLeast;

  void noteFailure(const Error &Failure) {
    LastFailure = Failure;
    if (!Tries.empty())
      Tries += ',';
    Tries += LastInstance + ':' + std::string(toString(Failure.Code));
  }
};

} // namespace cicadawind

#endif
