#ifndef CICADAWIND_ADMISSION_SLOTSCHEDULER_H
#define CICADAWIND_ADMISSION_SLOTSCHEDULER_H

#include "Admission/ServiceTimes.h"
#include "Admission/WorkItem.h"
#include "Core/Result.h"

#include <map>
#include <string>
#include <vector>

namespace cicadawind {

/// \class SlotScheduler
/// \brief Decides which statements a target runs, in which order, and which
/// are refused.
///
/// A target runs Slots statements at once. Work is short or long by what its
/// shape took before; a shape not seen yet waits with the short work but runs
/// in at most Slots - 1 slots, as long work does, so that one slot is always
/// left to work known to be short. Long work is served by caller in turn, and
/// holds one slot for LongShare of the time while it waits. Short work is
/// served by deadline, refused on arrival when the work before it would make
/// it late, and given up when it can no longer end in time. With a single slot,
/// long work runs when no short work waits or its share is due.
///
/// Callers' own declarations are not used. O(log n) a start, O(n) an offer,
/// n at most QueueLimit. Not thread safe.
class SlotScheduler {
public:
  struct Options {
    unsigned Slots = 2;
    std::size_t QueueLimit = 512;
    /// Work expected to take longer is long.
    Duration LongThreshold = std::chrono::milliseconds(100);
    /// Part of one slot that waiting long work is given.
    double LongShare = 0.85;
    /// Part of a deadline's remaining time that waiting may take.
    double DeadlineShare = 0.5;
    ServiceTimes::Options Times;
  };

  explicit SlotScheduler(Options Opts);

  /// Queues \p Item, or refuses it with verdict NotRun.
  Status offer(const WorkItem &Item, TimePoint Now);

  /// Items to start now; they hold their slots until finish.
  std::vector<WorkId> start(TimePoint Now);

  /// Items that can no longer meet their deadline; they leave the queue.
  std::vector<WorkId> expire(TimePoint Now);

  /// The started item \p Id has ended after holding its slot for \p Held.
  void finish(WorkId Id, Duration Held, TimePoint Now);

  /// Removes \p Id from the queue; false when it is not queued.
  bool cancel(WorkId Id);

  std::size_t queued() const { return Short.size() + LongCount; }
  std::size_t running() const { return Running.size(); }

  /// Time that a short item arriving now would wait.
  Duration expectedWait() const;

private:
  struct RunningItem {
    WorkItem Item;
    bool CountsAsLong = false;
  };
  using ByDeadline = std::map<std::pair<TimePoint, WorkId>, WorkItem>;

  bool isLong(const WorkItem &Item) const;
  bool isUnknown(const WorkItem &Item) const;
  unsigned longLimit() const;
  unsigned longRunning() const;
  bool longIsDue(TimePoint Now) const;
  Duration waitBefore(const WorkItem &Item) const;
  Status checkFairness(const WorkItem &Item) const;
  Status checkDeadline(const WorkItem &Item, TimePoint Now) const;
  bool startLong(TimePoint Now, std::vector<WorkId> &Started);
  bool startShort(std::vector<WorkId> &Started);
  void accountLong(TimePoint Now);

  Options Opts;
  ServiceTimes Times;
  ByDeadline Short;
  /// Long work by caller, in order of arrival.
  std::map<std::string, std::vector<WorkItem>> Long;
  std::size_t LongCount = 0;
  std::string LastLongCaller;
  std::map<WorkId, RunningItem> Running;
  std::map<std::string, std::size_t> QueuedByCaller;
  TimePoint AccountedAt;
  /// Slot time that long work is owed while it waits; negative is overdrawn.
  Duration LongCredit = Duration::zero();
};

} // namespace cicadawind

#endif
