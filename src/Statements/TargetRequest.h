#ifndef CICADAWIND_STATEMENTS_TARGETREQUEST_H
#define CICADAWIND_STATEMENTS_TARGETREQUEST_H

#include "Core/LogPosition.h"
#include "Statements/Statement.h"

#include <optional>

namespace cicadawind {

/// \class TargetRequest
/// \brief A request to a target, as decoded from a line that StatementCodec
/// encoded for a target.
struct TargetRequest {
  enum class RequestType {
    /// Opens a connection.
    Open,
    /// Runs \c Request, which may also begin or end a transaction.
    Run,
    /// Clears the session values and prepared statements of the connection.
    Reset,
    /// Asks for the target's status.
    AskStatus,
    /// Turns the primary of an older term into a replica.
    Demote,
    /// Makes a replica stop receiving the log of an older term's primary.
    Pause,
    /// Makes a paused replica receive the log again.
    Resume,
    /// The line is not a request.
    Invalid,
  };

  RequestType Type = RequestType::Invalid;
  /// Only set for Run.
  Statement Request;
  /// Whether this is a control request, which the proxy sends for itself and
  /// which has no request id of a caller.
  bool IsControl = false;
  /// Position up to which the target must have applied the log for the request
  /// to run.
  std::optional<LogPosition> MinPosition;
  /// Only set for Demote and Pause, which concern primaries of a lower term.
  Term BelowTerm = 0;
};

} // namespace cicadawind

#endif
