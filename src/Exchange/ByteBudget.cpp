#include "Exchange/ByteBudget.h"

#include <algorithm>

namespace cicadawind {

bool ByteBudget::take(std::size_t Bytes, double PerSecond, TimePoint Now) {
  using Seconds = std::chrono::duration<double>;
  Duration Since = std::min<Duration>(Now - RefilledAt, Burst);
  double Most = PerSecond * Seconds(Burst).count();
  Left = std::min(Most, Left + PerSecond * Seconds(Since).count());
  RefilledAt = Now;
  auto Needed = static_cast<double>(Bytes);
  if (Needed > Left)
    return false;
  Left -= Needed;
  return true;
}

} // namespace cicadawind
