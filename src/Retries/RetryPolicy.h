#ifndef CICADAWIND_RETRIES_RETRYPOLICY_H
#define CICADAWIND_RETRIES_RETRYPOLICY_H

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Core/Random.h"

#include <optional>

namespace cicadawind {

class RetryBudget;

/// Whether a statement may run more than once.
enum class Repeatability {
  /// The statement may run at most once. Only the verdict NotRun permits
  /// another attempt.
  Once,
  /// Running the statement twice has the same effect as running it once.
  Repeatable,
};

/// \class RetryPolicy
/// \brief Decides whether and when a failed attempt is retried.
///
/// Used by the router. The pooler does not retry statements. The Proxy module
/// does not use this class and limits the attempts in CallerSession. A retry
/// requires a verdict that permits it, a transient error, enough time before
/// the deadline and budget. No budget is required if the attempt did not run
/// because of a change of primary.
class RetryPolicy {
public:
  struct Options {
    /// Upper bound of the delay before the first retry. Doubles with each
    /// retry.
    Duration BaseDelay = std::chrono::milliseconds(20);
    /// Upper bound of all delays, except for those that an error demands.
    Duration MaxDelay = std::chrono::milliseconds(250);
    unsigned MaxAttempts = 24;
  };

  /// Creates a policy. \p Budget must outlive it. \p Random provides the
  /// jitter.
  RetryPolicy(Options Opts, RetryBudget &Budget, RandomSource Random);

  /// Returns the delay before the next attempt, after attempt number
  /// \p Attempt, counted from 1, failed with \p Last. Empty if \p Last must be
  /// returned to the caller.
  std::optional<Duration> next(Repeatability Repeat, const Error &Last,
                               unsigned Attempt, TimePoint Now,
                               TimePoint Deadline);

private:
  /// Returns the exponential backoff with jitter after \p Attempt, but no less
  /// than the delay that \p Last demands.
  Duration delayAfter(unsigned Attempt, const Error &Last);

  Options Opts;
  RetryBudget &Budget;
  RandomSource Random;
};

/// Returns whether another attempt may succeed after a failure with \p Code.
bool isTransient(ErrorCode Code);

/// Returns whether a failure with \p Code indicates a change of primary.
/// Retrying an attempt that did not run because of such a change costs no
/// budget, since the attempt put no work on a target.
bool isPrimaryChange(ErrorCode Code);

} // namespace cicadawind

#endif
