#ifndef CICADAWIND_ADMISSION_CONCURRENCYLIMIT_H
#define CICADAWIND_ADMISSION_CONCURRENCYLIMIT_H

#include <algorithm>
#include <cstddef>

namespace cicadawind {

/// \class ConcurrencyLimit
/// \brief How much one VM lets a shared target do at once, when the target's
/// queue and the other VMs' use of it are not known.
///
/// Falls by a factor when the target refuses for load, and grows by one in
/// about Limit / Growth answers while it does not, so that VMs with equal
/// needs end up with equal parts. Never below one. O(1); a value type.
class ConcurrencyLimit {
public:
  struct Options {
    double Start = 64;
    /// Part that is left after a refusal.
    double Decrease = 0.7;
    /// Growth with each answer, divided by the limit.
    double Growth = 0.1;
  };

  ConcurrencyLimit() = default;
  explicit ConcurrencyLimit(Options Opts) : Opts(Opts), Limit(Opts.Start) {}

  /// Whether one more may start beside \p Running.
  bool allows(std::size_t Running) const {
    return static_cast<double>(Running) < std::max(1.0, Limit);
  }

  /// The target refused for load while \p Running were with it.
  void onRefused(std::size_t Running) {
    double Used = std::max(1.0, static_cast<double>(Running));
    Limit = std::max(1.0, std::min(Limit, Used) * Opts.Decrease);
  }

  void onServed() { Limit = std::min(Opts.Start, Limit + Opts.Growth / Limit); }

  double limit() const { return Limit; }

private:
  Options Opts;
  double Limit = Opts.Start;
};

} // namespace cicadawind

#endif
