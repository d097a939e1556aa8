#ifndef CICADAWIND_QUOTAS_PERMITOUTCOME_H
#define CICADAWIND_QUOTAS_PERMITOUTCOME_H

#include "Core/Clock.h"

namespace cicadawind {

/// \class PermitOutcome
/// \brief Whether an operation of a client account may run.
struct PermitOutcome {
  enum class Kind {
    Granted,
    /// The account has used up its rate limit.
    OverLimit,
    /// No issuer replied in time.
    Unavailable,
  };

  Kind Result = Kind::Unavailable;
  /// Only set for OverLimit: time after which a permit may be had.
  Duration RetryAfter = Duration::zero();
};

} // namespace cicadawind

#endif
