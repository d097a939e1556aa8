#ifndef CICADAWIND_TIMERS_TIMERSUBSCRIPTION_H
#define CICADAWIND_TIMERS_TIMERSUBSCRIPTION_H

#include <cstdint>
#include <memory>
#include <utility>

namespace cicadawind {

class TimerService;

/// \class TimerSubscription
/// \brief Keeps one timer alive; cancels it when destroyed.
///
/// May outlive the service. Movable, not copyable.
class TimerSubscription {
public:
  TimerSubscription() = default;
  TimerSubscription(std::shared_ptr<TimerService *> Owner, std::uint64_t Id)
      : Owner(std::move(Owner)), Id(Id) {}
  TimerSubscription(TimerSubscription &&Other) noexcept
      : Owner(std::move(Other.Owner)), Id(Other.Id) {}
  TimerSubscription &operator=(TimerSubscription &&Other) noexcept {
    cancel();
    Owner = std::move(Other.Owner);
    Id = Other.Id;
    return *this;
  }
  ~TimerSubscription() { cancel(); }

  /// Stops the timer; a no-op when it has run or was cancelled.
  void cancel();

private:
  std::shared_ptr<TimerService *> Owner;
  std::uint64_t Id = 0;
};

} // namespace cicadawind

#endif
