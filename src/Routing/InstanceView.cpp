#include "Routing/InstanceView.h"

namespace cicadawind {
namespace internal {

/// Weight of the newest observation in the estimated rate.
constexpr double RateWeight = 0.3;
/// Minimum interval between two replies from which a rate is computed. At
/// shorter intervals the rate would be inaccurate.
constexpr Duration MinRateInterval = std::chrono::milliseconds(20);

} // namespace internal

void InstanceView::recordReply(LogPosition Position, Millis DataAge,
                               TimePoint Now) {
  Duration Interval = Now - ReplyAt;
  bool Comparable = Age && Position.WrittenIn == Applied.WrittenIn &&
                    Position.Index >= Applied.Index;
  if (Comparable && Interval < internal::MinRateInterval)
    return;
  if (Comparable) {
    double Rate = static_cast<double>(Position.Index - Applied.Index) /
                  std::chrono::duration<double>(Interval).count();
    AppliesPerSecond += internal::RateWeight * (Rate - AppliesPerSecond);
  }
  Applied = Position;
  Age = DataAge;
  ReplyAt = Now;
}

LogIndex InstanceView::expectedIndex(TimePoint Now) const {
  double Seconds = std::chrono::duration<double>(Now - ReplyAt).count();
  return Applied.Index + static_cast<LogIndex>(AppliesPerSecond * Seconds);
}

} // namespace cicadawind
