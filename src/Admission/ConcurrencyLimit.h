#ifndef CICADAWIND_ADMISSION_CONCURRENCYLIMIT_H
#define CICADAWIND_ADMISSION_CONCURRENCYLIMIT_H

#include <algorithm>
#include <cstddef>

namespace cicadawind {

/// \class ConcurrencyLimit
/// \brief Limits the statements that one VM runs concurrently at a target that
/// it shares with other VMs, whose load it does not know.
///
/// Uses additive increase and multiplicative decrease. A refusal because of
/// overload sets the limit to Options::Decrease times the limit or the number
/// of running statements, whichever is lower. Otherwise the limit grows by one
/// within about Limit / Growth replies. VMs with equal demand therefore
/// converge to equal limits. The limit never falls below one. Each operation
/// costs O(1). A value type.
class ConcurrencyLimit {
public:
  struct Options {
    /// Initial and greatest limit.
    double Start = 64;
    /// Factor by which a refusal multiplies the lower of the limit and the
    /// number of running statements.
    double Decrease = 0.7;
    /// Each reply increases the limit by Growth / Limit.
    double Growth = 0.1;
  };

  ConcurrencyLimit() = default;
  explicit ConcurrencyLimit(Options Opts) : Opts(Opts), Limit(Opts.Start) {}

  /// Returns whether one more statement may start while \p Running statements
  /// run.
  bool allows(std::size_t Running) const {
    return static_cast<double>(Running) < std::max(1.0, Limit);
  }

  /// Records that the target refused a statement because of overload while
  /// \p Running statements of this VM ran there.
  void onRefused(std::size_t Running) {
    double Used = std::max(1.0, static_cast<double>(Running));
    Limit = std::max(1.0, std::min(Limit, Used) * Opts.Decrease);
  }

  /// Records that the target served a statement.
  void onServed() { Limit = std::min(Opts.Start, Limit + Opts.Growth / Limit); }

  double limit() const { return Limit; }

private:
  Options Opts;
  double Limit = Opts.Start;
};

} // namespace cicadawind

#endif
