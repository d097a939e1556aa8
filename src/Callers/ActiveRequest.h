#ifndef CICADAWIND_CALLERS_ACTIVEREQUEST_H
#define CICADAWIND_CALLERS_ACTIVEREQUEST_H

#include "Core/Error.h"
#include "Core/LogPosition.h"
#include "Statements/Statement.h"

#include <optional>
#include <string>

namespace cicadawind {

/// \class ActiveRequest
/// \brief The caller's request that a session is processing.
struct ActiveRequest {
  Statement Request;
  /// When processing began.
  TimePoint Since;
  /// When the statement timeout ends the request.
  TimePoint Deadline;
  /// When the request is refused if it still waits for a connection.
  TimePoint GiveUpAt;
  /// Time before which it is granted no connection, after a target was too
  /// busy.
  TimePoint NotBefore;
  /// Number of connections that were granted for it so far.
  unsigned Attempts = 0;
  /// When the current attempt's connection was granted.
  TimePoint AttemptSince;
  /// Whether a write or commit was sent to a target that may have run it.
  bool WriteSent = false;
  /// Target of the last connection that was granted for it; empty if there was
  /// none, as for a request that uses its transaction's connection.
  std::string LastInstance;
  /// Error of the last failed attempt; its message is empty if none failed.
  Error LastFailure;
  /// LastInstance and error code of each failed attempt as "target:code",
  /// separated by commas.
  std::string FailedAttempts;
  /// Position that the last target's log was required to have reached, if any.
  std::optional<LogPosition> MinPosition;

  /// Records that the current attempt ended with \p Failure.
  void recordFailure(const Error &Failure) {
    LastFailure = Failure;
    if (!FailedAttempts.empty())
      FailedAttempts += ',';
    FailedAttempts += LastInstance + ':' + std::string(toString(Failure.Code));
  }
};

} // namespace cicadawind

#endif
