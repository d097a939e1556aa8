#ifndef CICADAWIND_RETRIES_RETRYPOLICY_H
#define CICADAWIND_RETRIES_RETRYPOLICY_H

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Core/Random.h"

#include <optional>

namespace cicadawind {

class RetryBudget;

/// How often a statement may reach a target.
enum class Repeatability {
  /// At most once: only a NotRun verdict allows another attempt.
  Once,
  /// Running it twice has the effect of running it once.
  Repeatable,
};

/// \class RetryPolicy
/// \brief Decides whether and when a failed attempt is repeated.
///
/// The router is the only layer that retries. A retry needs a verdict that
/// permits it, an error that another attempt may avoid, a deadline that
/// leaves room, and budget.
class RetryPolicy {
public:
  struct Options {
    Duration BaseDelay = std::chrono::milliseconds(20);
    Duration MaxDelay = std::chrono::milliseconds(250);
    unsigned MaxAttempts = 24;
  };

  /// \p Random supplies the jitter.
  RetryPolicy(Options Opts, RetryBudget &Budget, RandomSource Random);

  /// Delay before attempt \p Attempt + 1, or empty when the failure \p Last of
  /// attempt \p Attempt (from 1) is to be returned to the caller.
  std::optional<Duration> next(Repeatability Repeat, const Error &Last,
                               unsigned Attempt, TimePoint Now,
                               TimePoint Deadline);

private:
  Duration delayBefore(unsigned Attempt, const Error &Last);

  Options Opts;
  RetryBudget &Budget;
  RandomSource Random;
};

/// Whether another attempt can succeed where \p Code failed.
bool isTransient(ErrorCode Code);

/// Whether the failure announces a change of primary, during which attempts
/// reach no target and so cost no budget.
bool isPrimaryChange(ErrorCode Code);

} // namespace cicadawind

#endif
