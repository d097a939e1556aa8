#ifndef CICADAWIND_QUOTAS_RATETOLERANCE_H
#define CICADAWIND_QUOTAS_RATETOLERANCE_H

#include "Core/Clock.h"

namespace cicadawind {

/// \class RateTolerance
/// \brief By how much an account may exceed its rate limit over a window.
///
/// In each Window, (PerSecond * Window + Burst) * (1 + Fraction) + Operations
/// operations are tolerated. The same on all VMs.
struct RateTolerance {
  /// Time over which a limit is judged.
  Millis Window = std::chrono::seconds(5);
  double Fraction = 0;
  unsigned Operations = 0;
};

} // namespace cicadawind

#endif
