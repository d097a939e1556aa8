#ifndef CICADAWIND_OBSERVABILITY_LOGRATELIMITER_H
#define CICADAWIND_OBSERVABILITY_LOGRATELIMITER_H

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace cicadawind {

/// \class LogRateLimiter
/// \brief Limits the number of lines of each kind that are logged per second.
///
/// Each kind has its own limit, so that many lines of one kind do not suppress
/// lines of another. Suppressed lines are counted by kind. Each call is
/// logarithmic in the number of kinds. Not thread safe.
class LogRateLimiter {
public:
  using Counts = std::map<std::string, std::uint64_t>;

  /// Returns whether one more line of \p Kind may be written at \p Now if
  /// \p PerSecond lines of it are allowed per second. Counts the line either as
  /// written or as suppressed.
  bool allow(const std::string &Kind, unsigned PerSecond, TimePoint Now) {
    startSecond(Now);
    if (Written[Kind] < PerSecond) {
      ++Written[Kind];
      return true;
    }
    ++Suppressed[Kind];
    return false;
  }

  /// Returns and clears the number of suppressed lines by kind. Returns nothing
  /// before the current interval of one second has ended.
  Counts takeSuppressed(TimePoint Now) {
    if (Now < SecondEnd || Suppressed.empty())
      return {};
    Counts Out;
    Out.swap(Suppressed);
    return Out;
  }

private:
  void startSecond(TimePoint Now) {
    if (Now < SecondEnd)
      return;
    SecondEnd = Now + std::chrono::seconds(1);
    Written.clear();
  }

  /// End of the current interval of one second.
  TimePoint SecondEnd;
  Counts Written;
  Counts Suppressed;
};

} // namespace cicadawind

#endif
