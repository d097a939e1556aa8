#ifndef CICADAWIND_TIMERS_TIMERSUBSCRIPTION_H
#define CICADAWIND_TIMERS_TIMERSUBSCRIPTION_H

#include <cstdint>
#include <memory>
#include <utility>

namespace cicadawind {

class TimerService;

/// \class TimerSubscription
/// \brief Owns one timer and cancels it when destroyed.
///
/// May outlive the service. Movable but not copyable.
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

  /// Cancels the timer. Has no effect if it was cancelled before, or if it is
  /// not periodic and has run.
  void cancel();

private:
  std::shared_ptr<TimerService *> Owner;
  std::uint64_t Id = 0;
};

} // namespace cicadawind

#endif
