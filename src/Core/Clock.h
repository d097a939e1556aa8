#ifndef CICADAWIND_CORE_CLOCK_H
#define CICADAWIND_CORE_CLOCK_H

#include <chrono>

namespace cicadawind {

/// \class BootClock
/// \brief Monotonic clock that keeps running while the machine is suspended.
///
/// Leases are compared against this clock, so that a paused holder sees the
/// time that passed. Reads CLOCK_BOOTTIME; costs one vDSO call.
class BootClock {
public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = // NOLINT(readability-identifier-naming)
      true;

  /// Current time. Thread safe.
  static time_point now() noexcept;
};

/// Point in time on the boot clock. Policy code only receives it as an
/// argument and never reads a clock itself.
using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;
using Millis = std::chrono::milliseconds;

/// Rounds a duration down to whole milliseconds.
constexpr Millis toMillis(Duration D) {
  return std::chrono::duration_cast<Millis>(D);
}

} // namespace cicadawind

#endif
