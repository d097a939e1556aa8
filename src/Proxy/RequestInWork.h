#ifndef CICADAWIND_PROXY_REQUESTINWORK_H
#define CICADAWIND_PROXY_REQUESTINWORK_H

#include "Core/Error.h"
#include "Statements/Statement.h"

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
};

} // namespace cicadawind

#endif
