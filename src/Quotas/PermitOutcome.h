#ifndef CICADAWIND_QUOTAS_PERMITOUTCOME_H
#define CICADAWIND_QUOTAS_PERMITOUTCOME_H

#include "Core/Clock.h"

namespace cicadawind {

/// \class PermitOutcome
/// \brief Whether an operation of a client account may run.
struct PermitOutcome {
  enum class Kind {
    /// The operation may run.
    Granted,
    /// The account is over its rate limit.
    OverLimit,
    /// No VM that issues the account's permits answered in time.
    Unavailable,
  };

  Kind Result = Kind::Unavailable;
  /// For OverLimit: time after which an operation may be granted a permit.
  Duration RetryAfter = Duration::zero();
};

} // namespace cicadawind

#endif
