#ifndef CICADAWIND_CORE_ERRORCODE_H
#define CICADAWIND_CORE_ERRORCODE_H

#include <string_view>

namespace cicadawind {

/// Reasons for a failure. Their names in responses and logs are stable.
enum class ErrorCode {
  BadRequest,
  Unauthorized,
  NotFound,
  TooLarge,
  TooManyConnections,
  UnknownDatabase,
  NoReleaseNote,
  Overloaded,
  RateLimited,
  DeadlineExceeded,
  Leaving,
  NotPrimary,
  StaleTerm,
  LeaseLost,
  ReplicaBehind,
  TokenInvalid,
  PositionLost,
  ConnectionLost,
  Unreachable,
  AnswerMismatch,
  TransactionUnknown,
  TransactionEnded,
  NotConfirmed,
  StatementFailed,
  Conflict,
  StoreUnavailable,
  Internal,
};

/// Returns the stable wire name in snake case, such as "not_primary".
std::string_view toString(ErrorCode Code);

/// Returns the code with the wire name \p Name; Internal if it is unknown.
ErrorCode parseErrorCode(std::string_view Name);

/// Returns the HTTP status of the response to a request that failed with
/// \p Code.
int httpStatus(ErrorCode Code);

} // namespace cicadawind

#endif
