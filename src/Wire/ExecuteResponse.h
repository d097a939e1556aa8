#ifndef CICADAWIND_WIRE_EXECUTERESPONSE_H
#define CICADAWIND_WIRE_EXECUTERESPONSE_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"
#include "Core/Result.h"
#include "Wire/PrimaryHint.h"

#include <optional>
#include <string>

namespace cicadawind {

/// \class ExecuteResponse
/// \brief A pooler's response to a router.
struct ExecuteResponse {
  /// Set when the request failed.
  std::optional<Error> Failure;
  /// JSON text of the rows.
  std::string Rows = "[]";
  /// Log position that the statement saw or wrote. If the pooler refused a read
  /// because of its replica's state, the position that the replica has applied.
  LogPosition Position;
  /// Id of the transaction that the request began.
  std::string Transaction;
  bool FromPrimary = false;
  /// Time at which the data was certainly current: the start of the lease on a
  /// primary, the time of the data on a replica. Not part of the message.
  TimePoint FreshAt;
  /// Time from FreshAt until the response left the pooler. Also set if the
  /// pooler refused a read because of its replica's state.
  Millis FreshnessAge = Millis::zero();
  /// Length of the lease. A primary's response is only valid while the sum of
  /// FreshnessAge and the network time is less than this.
  Millis LeaseLength = Millis::zero();
  /// Time that the pooler spent on the request.
  Millis ProcessingTime = Millis::zero();
  /// Time that the request waited for a slot.
  Millis Queued = Millis::zero();
  /// Time until a drain rolls back the open transaction; empty if the pooler
  /// is not draining.
  std::optional<Millis> EndsIn;
  PrimaryHint Hint;
};

/// Returns the JSON text of \p Response.
std::string encode(const ExecuteResponse &Response);

/// Inverse of encode. A malformed text is returned as an AnswerMismatch failure
/// with verdict MayHaveRun.
ExecuteResponse decodeExecuteResponse(const std::string &Text);

} // namespace cicadawind

#endif
