#include "Retries/RetryPolicy.h"

#include "Retries/RetryBudget.h"

#include <algorithm>
#include <utility>

namespace cicadawind {

bool isTransient(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::NotPrimary:
  case ErrorCode::StaleTerm:
  case ErrorCode::LeaseLost:
  case ErrorCode::ReplicaBehind:
  case ErrorCode::ConnectionLost:
  case ErrorCode::Unreachable:
  case ErrorCode::AnswerMismatch:
  case ErrorCode::Leaving:
  case ErrorCode::NotConfirmed:
    return true;
  default:
    return false;
  }
}

bool isPrimaryChange(ErrorCode Code) {
  return Code == ErrorCode::NotPrimary || Code == ErrorCode::StaleTerm ||
         Code == ErrorCode::LeaseLost || Code == ErrorCode::Unreachable;
}

RetryPolicy::RetryPolicy(Options Opts, RetryBudget &Budget,
                         RandomSource NewRandom)
    : Opts(Opts), Budget(Budget), Random(std::move(NewRandom)) {}

Duration RetryPolicy::delayAfter(unsigned Attempt, const Error &Last) {
  unsigned Doublings = std::min(Attempt, 10U) - 1;
  Duration UpperBound =
      std::min(Opts.MaxDelay, Opts.BaseDelay * (1U << Doublings));
  double JitterFactor = 0.5 + 0.5 * toUnit(Random());
  auto Jittered =
      std::chrono::duration_cast<Duration>(UpperBound * JitterFactor);
  if (!Last.RetryAfter)
    return Jittered;
  return std::max<Duration>(Jittered, *Last.RetryAfter);
}

std::optional<Duration> RetryPolicy::next(Repeatability Repeat,
                                          const Error &Last, unsigned Attempt,
                                          TimePoint Now, TimePoint Deadline) {
  bool Permitted =
      Last.Outcome == Verdict::NotRun || Repeat == Repeatability::Repeatable;
  if (!Permitted || !isTransient(Last.Code) || Attempt >= Opts.MaxAttempts)
    return std::nullopt;
  Duration Delay = delayAfter(Attempt, Last);
  if (Now + Delay >= Deadline)
    return std::nullopt;
  bool CostsNoBudget =
      Last.Outcome == Verdict::NotRun && isPrimaryChange(Last.Code);
  if (!CostsNoBudget && !Budget.tryWithdraw())
    return std::nullopt;
  return Delay;
}

} // namespace cicadawind
