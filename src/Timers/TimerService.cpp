#include "Timers/TimerService.h"

#include <cassert>

namespace cicadawind {

std::uint64_t TimerService::add(TimePoint Due, Entry NewEntry,
                                std::uint64_t Id) {
  bool Earlier = Queue.empty() || Due < Queue.begin()->first.first;
  Queue.emplace(Key(Due, Id), std::move(NewEntry));
  DueById[Id] = Due;
  if (Earlier && EarlierDue)
    EarlierDue();
  return Id;
}

TimerSubscription TimerService::after(Duration Delay, Callback Run) {
  std::uint64_t Id =
      add(Now + Delay, Entry{std::move(Run), Duration::zero()}, ++LastId);
  return TimerSubscription(Self, Id);
}

TimerSubscription TimerService::every(Duration Period, Callback Run) {
  assert(Period > Duration::zero() && "a periodic timer needs a period");
  std::uint64_t Id = add(Now + Period, Entry{std::move(Run), Period}, ++LastId);
  return TimerSubscription(Self, Id);
}

std::optional<TimePoint> TimerService::nextDue() const {
  if (Queue.empty())
    return std::nullopt;
  return Queue.begin()->first.first;
}

void TimerService::advanceTo(TimePoint Time) {
  while (!Queue.empty() && Queue.begin()->first.first <= Time) {
    auto Node = Queue.extract(Queue.begin());
    auto [Due, Id] = Node.key();
    DueById.erase(Id);
    if (Due > Now)
      Now = Due;
    Callback Run = Node.mapped().Run;
    if (Node.mapped().Period > Duration::zero()) {
      // A late owner runs a periodic callback once, not once per missed period.
      TimePoint Next = Due + Node.mapped().Period;
      if (Next <= Time)
        Next = Time + Node.mapped().Period;
      add(Next, std::move(Node.mapped()), Id);
    }
    Run(Now);
  }
  if (Time > Now)
    Now = Time;
}

void TimerService::cancel(std::uint64_t Id) {
  auto It = DueById.find(Id);
  if (It == DueById.end())
    return;
  Queue.erase(Key(It->second, Id));
  DueById.erase(It);
}

void TimerSubscription::cancel() {
  if (Owner && *Owner)
    (*Owner)->cancel(Id);
  Owner.reset();
}

} // namespace cicadawind
