#ifndef CICADAWIND_CORE_ERROR_H
#define CICADAWIND_CORE_ERROR_H

#include "Core/Clock.h"
#include "Core/ErrorCode.h"
#include "Core/Verdict.h"

#include <optional>
#include <string>

namespace cicadawind {

/// \class Error
/// \brief A failure, what it means for the request, and when to retry.
struct Error {
  ErrorCode Code = ErrorCode::Internal;
  /// Whether the request that failed may have run.
  Verdict Outcome = Verdict::NotRun;
  /// One sentence for people.
  std::string Message;
  /// Earliest useful retry, where it is known.
  std::optional<Millis> RetryAfter = std::nullopt;
};

} // namespace cicadawind

#endif
