#include "Core/ErrorCode.h"

#include <array>

namespace cicadawind {
namespace internal {

struct ErrorCodeRow {
  ErrorCode Code;
  std::string_view Name;
  int HttpStatus;
};

static constexpr std::array ErrorCodeRows{
    ErrorCodeRow{ErrorCode::BadRequest, "bad_request", 400},
    ErrorCodeRow{ErrorCode::Unauthorized, "unauthorized", 401},
    ErrorCodeRow{ErrorCode::NotFound, "not_found", 404},
    ErrorCodeRow{ErrorCode::TooLarge, "too_large", 413},
    ErrorCodeRow{ErrorCode::TooManyConnections, "too_many_connections", 429},
    ErrorCodeRow{ErrorCode::UnknownDatabase, "unknown_database", 404},
    ErrorCodeRow{ErrorCode::NoReleaseNote, "no_release_note", 503},
    ErrorCodeRow{ErrorCode::Overloaded, "overloaded", 503},
    ErrorCodeRow{ErrorCode::RateLimited, "rate_limited", 429},
    ErrorCodeRow{ErrorCode::DeadlineExceeded, "deadline_exceeded", 504},
    ErrorCodeRow{ErrorCode::Leaving, "leaving", 503},
    ErrorCodeRow{ErrorCode::NotPrimary, "not_primary", 503},
    ErrorCodeRow{ErrorCode::StaleTerm, "stale_term", 503},
    ErrorCodeRow{ErrorCode::LeaseLost, "lease_lost", 503},
    ErrorCodeRow{ErrorCode::ReplicaBehind, "replica_behind", 503},
    ErrorCodeRow{ErrorCode::TokenInvalid, "token_invalid", 400},
    ErrorCodeRow{ErrorCode::PositionLost, "position_lost", 409},
    ErrorCodeRow{ErrorCode::ConnectionLost, "connection_lost", 502},
    ErrorCodeRow{ErrorCode::Unreachable, "unreachable", 503},
    ErrorCodeRow{ErrorCode::AnswerMismatch, "answer_mismatch", 502},
    ErrorCodeRow{ErrorCode::TransactionUnknown, "transaction_unknown", 404},
    ErrorCodeRow{ErrorCode::TransactionEnded, "transaction_ended", 409},
    ErrorCodeRow{ErrorCode::NotConfirmed, "not_confirmed", 504},
    ErrorCodeRow{ErrorCode::StatementFailed, "statement_failed", 422},
    ErrorCodeRow{ErrorCode::Conflict, "conflict", 409},
    ErrorCodeRow{ErrorCode::StoreUnavailable, "store_unavailable", 503},
    ErrorCodeRow{ErrorCode::Internal, "internal", 500},
};

static const ErrorCodeRow &rowOf(ErrorCode Code) {
  for (const ErrorCodeRow &Row : ErrorCodeRows)
    if (Row.Code == Code)
      return Row;
  return ErrorCodeRows.back();
}

} // namespace internal

std::string_view toString(ErrorCode Code) { return internal::rowOf(Code).Name; }

ErrorCode parseErrorCode(std::string_view Name) {
  for (const internal::ErrorCodeRow &Row : internal::ErrorCodeRows)
    if (Row.Name == Name)
      return Row.Code;
  return ErrorCode::Internal;
}

int httpStatus(ErrorCode Code) { return internal::rowOf(Code).HttpStatus; }

} // namespace cicadawind
