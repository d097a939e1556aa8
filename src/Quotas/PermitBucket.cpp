#include "Quotas/PermitBucket.h"

#include <algorithm>

namespace cicadawind {

static Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

void PermitBucket::fill(TimePoint Now) {
  if (Now <= FilledAt)
    return;
  double Seconds = std::chrono::duration<double>(Now - FilledAt).count();
  Permits = std::min(Permits + Seconds * Share.PerSecond, Share.Capacity);
  FilledAt = Now;
}

void PermitBucket::setShare(const LimitShare &NewShare, TimePoint Now) {
  fill(Now);
  Share = NewShare;
  Permits = std::min(Permits, Share.Capacity);
}

void PermitBucket::credit(Duration Time) {
  double Seconds = std::chrono::duration<double>(Time).count();
  Permits = std::min(Permits + std::max(Seconds, 0.0) * Share.PerSecond,
                     Share.Capacity);
}

unsigned PermitBucket::take(unsigned Count, TimePoint Now) {
  fill(Now);
  unsigned Taken = std::min(Count, static_cast<unsigned>(Permits));
  Permits -= Taken;
  return Taken;
}

Duration PermitBucket::reserveRetry(TimePoint Now) {
  fill(Now);
  if (Share.PerSecond <= 0 || Share.Capacity < 1)
    return MaxRetryDelay;
  double MaxSeconds = std::chrono::duration<double>(MaxRetryDelay).count();
  auto Wait = [&](double Missing) {
    return fromSeconds(
        std::min(std::max(Missing, 0.0) / Share.PerSecond, MaxSeconds));
  };
  TimePoint At = std::max(Now + Wait(1 - Permits), LastRetryAt + Wait(1));
  LastRetryAt = std::min(At, Now + MaxRetryDelay);
  return LastRetryAt - Now;
}

} // namespace cicadawind
