#ifndef CICADAWIND_WIRE_EXECUTEREQUEST_H
#define CICADAWIND_WIRE_EXECUTEREQUEST_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"
#include "Core/Result.h"
#include "Routing/ReadConstraints.h"
#include "Targets/StatementCall.h"

#include <string>

namespace cicadawind {

/// Type of a router's request to a pooler.
enum class ExecuteAction { Statement, Begin, Commit, Rollback, Confirm };

/// \class ExecuteRequest
/// \brief A router's request to the pooler that owns a target.
struct ExecuteRequest {
  ExecuteAction Action = ExecuteAction::Statement;
  std::string Id;
  std::string Database;
  /// Instance to use. For Confirm, any instance of the database.
  std::string Target;
  std::string Statement;
  StatementKind Kind = StatementKind::Read;
  std::string IdempotencyKey;
  std::string Caller;
  /// Id of the transaction, from the pooler's response to Begin; empty outside
  /// transactions.
  std::string Transaction;
  /// Time until the request's deadline.
  Millis TimeLeft = Millis::zero();
  /// For reads, the constraints on the data. For Confirm, MinPosition is the
  /// position to confirm.
  ReadConstraints Constraints;
  /// Highest term that the router knows.
  Term KnownTerm = 0;
};

/// Returns the JSON text of \p Request.
std::string encode(const ExecuteRequest &Request);

/// Inverse of encode. Returns BadRequest if \p Text is malformed.
Result<ExecuteRequest> decodeExecuteRequest(const std::string &Text);

} // namespace cicadawind

#endif
