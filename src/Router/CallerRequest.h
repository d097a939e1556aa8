#ifndef CICADAWIND_ROUTER_CALLERREQUEST_H
#define CICADAWIND_ROUTER_CALLERREQUEST_H

#include "Core/Clock.h"
#include "Core/Result.h"
#include "Retries/RetryPolicy.h"
#include "Targets/StatementCall.h"

#include <string>

namespace cicadawind {

/// \class CallerRequest
/// \brief A validated request of a caller.
struct CallerRequest {
  std::string RequestId;
  std::string Caller;
  std::string Database;
  std::string Statement;
  StatementKind Kind = StatementKind::Read;
  /// Whether the caller declares that running the statement twice has the same
  /// effect as running it once.
  bool Idempotent = false;
  std::string IdempotencyKey;
  /// Maximum age of the data that a read accepts. Zero requires the primary.
  Millis AcceptedAge = Millis::zero();
  /// Time from the start of the request until its deadline.
  Millis Deadline = std::chrono::seconds(5);
  /// Session token as received. An empty token begins a new session.
  std::string Session;
  /// Transaction token; empty outside transactions.
  std::string Transaction;
  /// Whether the caller did not receive the response to an earlier write of
  /// the session.
  bool ResponseLost = false;

  Repeatability repeatability() const;

  /// Parses the JSON \p Body of a call to \p Path. The error message lists all
  /// validation errors.
  static Result<CallerRequest> parse(const std::string &Path,
                                     const std::string &Body);

  /// Returns the request id of \p Body, even if the rest of it is invalid;
  /// empty if there is none.
  static std::string requestIdOf(const std::string &Body);
};

} // namespace cicadawind

#endif
