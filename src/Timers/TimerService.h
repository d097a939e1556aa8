#ifndef CICADAWIND_TIMERS_TIMERSERVICE_H
#define CICADAWIND_TIMERS_TIMERSERVICE_H

#include "Core/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace cicadawind {

class TimerSubscription;

/// \class TimerService
/// \brief Ordered queue of callbacks that parts subscribe to.
///
/// The owner advances it: a daemon from its event loop, a test from virtual
/// time. Callbacks run inside advanceTo, in order of due time and then of
/// subscription. O(log n) per operation. Not thread safe.
class TimerService {
public:
  using Callback = std::function<void(TimePoint)>;

  explicit TimerService(TimePoint Start) : Now(Start) {}

  /// Time of the latest advanceTo.
  TimePoint now() const { return Now; }

  /// Runs \p Run once, \p Delay from now. Dropping the subscription cancels.
  [[nodiscard]] TimerSubscription after(Duration Delay, Callback Run);

  /// Runs \p Run every \p Period, which must be positive.
  [[nodiscard]] TimerSubscription every(Duration Period, Callback Run);

  /// Due time of the earliest callback, if any.
  std::optional<TimePoint> nextDue() const;

  /// Moves time forward and runs what has become due. Never moves back.
  void advanceTo(TimePoint Time);

  /// Called whenever an earlier due time appears, so that an event loop can
  /// shorten its wait.
  void onEarlierDue(std::function<void()> Hook) {
    EarlierDue = std::move(Hook);
  }

private:
  friend class TimerSubscription;
  struct Entry {
    Callback Run;
    Duration Period;
  };
  using Key = std::pair<TimePoint, std::uint64_t>;

  std::uint64_t add(TimePoint Due, Entry NewEntry, std::uint64_t Id);
  void cancel(std::uint64_t Id);

  TimePoint Now;
  std::uint64_t LastId = 0;
  std::map<Key, Entry> Queue;
  std::map<std::uint64_t, TimePoint> DueById;
  std::function<void()> EarlierDue;
  std::shared_ptr<TimerService *> Self = std::make_shared<TimerService *>(this);

public:
  ~TimerService() { *Self = nullptr; }
  TimerService(const TimerService &) = delete;
  TimerService &operator=(const TimerService &) = delete;
};

} // namespace cicadawind

#include "Timers/TimerSubscription.h"

#endif
