#ifndef CICADAWIND_CORE_ERRORCODE_H
#define CICADAWIND_CORE_ERRORCODE_H

#include <string_view>

namespace cicadawind {

/// Stable reasons for a failure, as they appear in answers and logs.
enum class ErrorCode {
  BadRequest,
  Unauthorized,
  NotFound,
  TooLarge,
  TooManyConnections,
  UnknownDatabase,
  NoReleaseNote,
  Overloaded,
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

/// Stable wire name in snake case, such as "not_primary".
std::string_view toString(ErrorCode Code);

/// Inverse of toString; Internal for an unknown name.
ErrorCode parseErrorCode(std::string_view Name);

/// HTTP status that the callers' interface answers with.
int httpStatus(ErrorCode Code);

} // namespace cicadawind

#endif
