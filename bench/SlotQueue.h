#ifndef CICADAWIND_BENCH_SLOTQUEUE_H
#define CICADAWIND_BENCH_SLOTQUEUE_H

#include "Admission/SlotScheduler.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace cicadawind::bench {

/// \class SlotQueue
/// \brief A policy that decides which work a target's slots run.
class SlotQueue {
public:
  virtual ~SlotQueue() = default;
  virtual std::string name() const = 0;
  /// False when the work is refused. \p Declared is what the caller says that
  /// it takes; zero when it says nothing.
  virtual bool offer(const WorkItem &Item, Duration Declared,
                     TimePoint Now) = 0;
  virtual std::vector<WorkId> start(TimePoint Now) = 0;
  virtual void finish(WorkId Id, Duration Held, TimePoint Now) = 0;
  /// Work given up because of its deadline.
  virtual std::vector<WorkId> expire(TimePoint) { return {}; }
  virtual std::size_t queued() const = 0;
};

/// The shipped scheduler.
class ShippedQueue : public SlotQueue {
public:
  explicit ShippedQueue(SlotScheduler::Options Opts) : Scheduler(Opts) {}
  std::string name() const override { return "shipped"; }
  bool offer(const WorkItem &Item, Duration, TimePoint Now) override {
    return !errorOf(Scheduler.offer(Item, Now));
  }
  std::vector<WorkId> start(TimePoint Now) override {
    return Scheduler.start(Now);
  }
  void finish(WorkId Id, Duration Held, TimePoint Now) override {
    Scheduler.finish(Id, Held, Now);
  }
  std::vector<WorkId> expire(TimePoint Now) override {
    return Scheduler.expire(Now);
  }
  std::size_t queued() const override { return Scheduler.queued(); }

private:
  SlotScheduler Scheduler;
};

/// First come, first served, with an optional limit on the queue's length.
class FifoQueue : public SlotQueue {
public:
  FifoQueue(unsigned Slots, std::size_t Limit) : Slots(Slots), Limit(Limit) {}
  std::string name() const override {
    return Limit == Unbounded ? "fifo" : "fifo of " + std::to_string(Limit);
  }
  bool offer(const WorkItem &Item, Duration, TimePoint) override {
    if (Queue.size() >= Limit)
      return false;
    Queue.push_back(Item.Id);
    return true;
  }
  std::vector<WorkId> start(TimePoint) override {
    std::vector<WorkId> Started;
    while (Running < Slots && !Queue.empty()) {
      Started.push_back(Queue.front());
      Queue.pop_front();
      ++Running;
    }
    return Started;
  }
  void finish(WorkId, Duration, TimePoint) override { --Running; }
  std::size_t queued() const override { return Queue.size(); }

  static constexpr std::size_t Unbounded = ~std::size_t{0};

private:
  unsigned Slots;
  std::size_t Limit;
  std::deque<WorkId> Queue;
  unsigned Running = 0;
};

/// The shortest declared work first; undeclared work counts as short.
class ShortestDeclaredQueue : public SlotQueue {
public:
  explicit ShortestDeclaredQueue(unsigned Slots) : Slots(Slots) {}
  std::string name() const override { return "shortest declared"; }
  bool offer(const WorkItem &Item, Duration Declared, TimePoint Now) override {
    Queue.emplace(Declared, Now, Item.Id);
    return true;
  }
  std::vector<WorkId> start(TimePoint) override {
    std::vector<WorkId> Started;
    while (Running < Slots && !Queue.empty()) {
      Started.push_back(std::get<2>(*Queue.begin()));
      Queue.erase(Queue.begin());
      ++Running;
    }
    return Started;
  }
  void finish(WorkId, Duration, TimePoint) override { --Running; }
  std::size_t queued() const override { return Queue.size(); }

private:
  unsigned Slots;
  std::set<std::tuple<Duration, TimePoint, WorkId>> Queue;
  unsigned Running = 0;
};

} // namespace cicadawind::bench

#endif
