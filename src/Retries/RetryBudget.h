#ifndef CICADAWIND_RETRIES_RETRYBUDGET_H
#define CICADAWIND_RETRIES_RETRYBUDGET_H

#include <algorithm>

namespace cicadawind {

/// \class RetryBudget
/// \brief Limits retries to a fraction of the first attempts.
///
/// Each first attempt adds Options::Ratio to the balance, up to Options::Burst,
/// and each retry subtracts one. With a ratio of r, retries increase the number
/// of attempts at most by the factor 1 + r, plus the burst, regardless of what
/// fails. Each operation costs O(1). Not thread safe.
class RetryBudget {
public:
  struct Options {
    /// Retries that each first attempt adds to the balance.
    double Ratio = 0.1;
    /// Maximum and initial balance.
    double Burst = 20;
  };

  explicit RetryBudget(Options Opts) : Opts(Opts), Balance(Opts.Burst) {}

  /// Records a first attempt.
  void deposit() { Balance = std::min(Opts.Burst, Balance + Opts.Ratio); }

  /// Withdraws one retry. Returns false if the budget does not permit one.
  bool tryWithdraw() {
    if (Balance < 1)
      return false;
    Balance -= 1;
    return true;
  }

private:
  Options Opts;
  double Balance;
};

} // namespace cicadawind

#endif
