#ifndef CICADAWIND_EXCHANGE_BYTEBUDGET_H
#define CICADAWIND_EXCHANGE_BYTEBUDGET_H

#include "Core/Clock.h"

#include <cstddef>

namespace cicadawind {

/// \class ByteBudget
/// \brief Limits the bytes that this VM sends for one purpose in a second.
///
/// At most Burst seconds' worth is saved up. Performs no input or output and
/// reads no clock. Not thread safe.
class ByteBudget {
public:
  /// Time for which an unused budget is saved up.
  static constexpr Duration Burst = std::chrono::milliseconds(500);

  /// Takes \p Bytes from a budget of \p PerSecond. Returns false, and takes
  /// nothing, if that much is not left at \p Now.
  bool take(std::size_t Bytes, double PerSecond, TimePoint Now);

private:
  double Left = 0;
  TimePoint RefilledAt;
};

} // namespace cicadawind

#endif
