#ifndef CICADAWIND_CORE_CLOCK_H
#define CICADAWIND_CORE_CLOCK_H

#include <chrono>

namespace cicadawind {

/// \class BootClock
/// \brief Monotonic clock that keeps running while the machine is suspended.
///
/// Leases are measured with this clock, so that a holder that was suspended
/// detects that its lease has expired. Reads CLOCK_BOOTTIME, which costs one
/// vDSO call.
class BootClock {
public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = // NOLINT(readability-identifier-naming)
      true;

  /// Returns the current time. Thread safe.
  static time_point now() noexcept;
};

/// Point in time of BootClock. Decision logic receives times as arguments and
/// never reads a clock, so that tests can run it in virtual time.
using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;
using Millis = std::chrono::milliseconds;

/// Truncates \p D to whole milliseconds.
constexpr Millis toMillis(Duration D) {
  return std::chrono::duration_cast<Millis>(D);
}

} // namespace cicadawind

#endif
