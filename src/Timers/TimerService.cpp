#include "Timers/TimerService.h"

#include <cassert>

namespace cicadawind {

std::uint64_t TimerService::add(TimePoint Due, Entry NewEntry,
                                std::uint64_t Id) {
  bool IsEarliest = Queue.empty() || Due < Queue.begin()->first.first;
  Queue.emplace(Key(Due, Id), std::move(NewEntry));
  DueById[Id] = Due;
  if (IsEarliest && EarlierDueHook)
    EarlierDueHook();
  return Id;
}

TimerSubscription TimerService::after(Duration Delay, Callback Run) {
  std::uint64_t Id =
      add(Now + Delay, Entry{std::move(Run), Duration::zero()}, ++LastId);
  return TimerSubscription(Self, Id);
}

TimerSubscription TimerService::every(Duration Period, Callback Run) {
  assert(Period > Duration::zero() && "the period of a timer must be positive");
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
      // If the owner advances late, a periodic callback runs once and not once
      // for each missed period.
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
