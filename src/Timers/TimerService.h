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
/// \brief Runs callbacks at their due times.
///
/// The owner advances the time: a daemon from its event loop, a test in virtual
/// time. Callbacks run inside advanceTo(), in the order of their due times, or
/// in the order in which they were added if these are equal. Each operation
/// costs O(log n). Not thread safe.
class TimerService {
public:
  using Callback = std::function<void(TimePoint)>;

  explicit TimerService(TimePoint Start) : Now(Start) {}

  /// Returns the time of the latest advanceTo(). While callbacks run, returns
  /// the due time of the current one.
  TimePoint now() const { return Now; }

  /// Runs \p Run once, \p Delay from now. Destroying the subscription cancels
  /// it.
  [[nodiscard]] TimerSubscription after(Duration Delay, Callback Run);

  /// Runs \p Run every \p Period, which must be positive. If advanceTo() is
  /// called late, \p Run runs once and not once for each missed period.
  /// Destroying the subscription cancels it.
  [[nodiscard]] TimerSubscription every(Duration Period, Callback Run);

  /// Returns the earliest due time; empty if there is no callback.
  std::optional<TimePoint> nextDue() const;

  /// Advances the time to \p Time and runs the callbacks that are due. Never
  /// moves the time back.
  void advanceTo(TimePoint Time);

  /// Sets a function that is called whenever a callback is added that is due
  /// earlier than all others, so that an event loop can shorten its wait.
  void onEarlierDue(std::function<void()> Hook) {
    EarlierDueHook = std::move(Hook);
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
  /// Due times by the id of the subscription.
  std::map<std::uint64_t, TimePoint> DueById;
  std::function<void()> EarlierDueHook;
  /// Shared with the subscriptions, which may outlive the service. Set to null
  /// by the destructor.
  std::shared_ptr<TimerService *> Self = std::make_shared<TimerService *>(this);

public:
  ~TimerService() { *Self = nullptr; }
  TimerService(const TimerService &) = delete;
  TimerService &operator=(const TimerService &) = delete;
};

} // namespace cicadawind

#include "Timers/TimerSubscription.h"

#endif
