#ifndef CICADAWIND_CORE_ERROR_H
#define CICADAWIND_CORE_ERROR_H

#include "Core/Clock.h"
#include "Core/ErrorCode.h"
#include "Core/Verdict.h"

#include <optional>
#include <string>

namespace cicadawind {

/// \class Error
/// \brief A failure of a request: its reason, whether the request may have run,
/// and when to retry.
struct Error {
  ErrorCode Code = ErrorCode::Internal;
  /// Whether the request that failed may have run.
  Verdict Outcome = Verdict::NotRun;
  /// Human-readable description of the failure, in one sentence.
  std::string Message;
  /// Minimum delay before a retry can succeed; empty if unknown.
  std::optional<Millis> RetryAfter = std::nullopt;
};

} // namespace cicadawind

#endif
