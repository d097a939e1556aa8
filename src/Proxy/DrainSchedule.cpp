#include "Proxy/DrainSchedule.h"

namespace cicadawind {
namespace internal {

/// Time that the load balancer takes to notice that this VM is draining.
constexpr Duration BalancerNoticeTime = std::chrono::milliseconds(2500);
/// The drain ends before the grace time does, by the grace time divided by this
/// number. That leaves time to close what is still open.
constexpr unsigned DrainMarginDivisor = 12;

} // namespace internal

DrainSchedule::DrainSchedule(TimePoint Start, Duration Grace)
    : Start(Start), HalfTime(Start + Grace / 2),
      End(Start + Grace - Grace / internal::DrainMarginDivisor) {}

bool DrainSchedule::isOver(TimePoint Now, bool HasSessions) const {
  bool HasBalancerNoticed = Now - Start >= internal::BalancerNoticeTime;
  return Now >= End || (HasBalancerNoticed && !HasSessions);
}

} // namespace cicadawind
