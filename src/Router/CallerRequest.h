#ifndef CICADAWIND_ROUTER_CALLERREQUEST_H
#define CICADAWIND_ROUTER_CALLERREQUEST_H

#include "Core/Clock.h"
#include "Core/Result.h"
#include "Retries/RetryPolicy.h"
#include "Targets/StatementCall.h"

#include <string>

namespace cicadawind {

/// \class CallerRequest
/// \brief A caller's request, checked.
struct CallerRequest {
  std::string RequestId;
  std::string Caller;
  std::string Database;
  std::string Statement;
  StatementKind Kind = StatementKind::Read;
  /// The caller declares that running it twice is harmless.
  bool Idempotent = false;
  std::string IdempotencyKey;
  Millis AcceptedAge = Millis::zero();
  Millis Deadline = std::chrono::seconds(5);
  /// Session token as given; empty begins a session.
  std::string Session;
  /// Transaction token; empty outside transactions.
  std::string Transaction;
  /// The caller did not receive the answer to an earlier write of the session.
  bool AnswerLost = false;

  Repeatability repeatability() const;

  /// Reads the JSON \p Body of a call to \p Path. The error lists every fault.
  static Result<CallerRequest> parse(const std::string &Path,
                                     const std::string &Body);

  /// The request id of a body that may be faulty otherwise; empty if none.
  static std::string requestIdOf(const std::string &Body);
};

} // namespace cicadawind

#endif
