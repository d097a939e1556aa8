#ifndef CICADAWIND_ADMISSION_SLOTSCHEDULER_H
#define CICADAWIND_ADMISSION_SLOTSCHEDULER_H

#include "Admission/ServiceTimes.h"
#include "Admission/WorkItem.h"
#include "Core/Result.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadawind {

/// \class SlotScheduler
/// \brief Decides which statements a target runs, in which order, and which are
/// refused.
///
/// A target runs at most Slots statements at once. A work item is long if the
/// mean time of its fingerprint exceeds LongThreshold, and short otherwise. An
/// item with an unknown fingerprint is queued with the short items. Together,
/// long items and items with unknown fingerprints hold at most Slots - 1 slots,
/// so that one of several slots always remains for items that are known to be
/// short.
///
/// Long items are served round-robin by caller. While both kinds wait, long
/// items get LongShare of the time of one slot. Short items are served in the
/// order of their deadlines. A short item is refused on arrival if the work
/// ahead of it would make it late, and expires once it can no longer end in
/// time. With a single slot, long items run when no short item waits or when
/// their share is due.
///
/// Does not rely on information that callers declare about their statements.
/// An operation costs at most O(n) for each item that it queues, starts or
/// removes, where n is the number of queued and running items. At most
/// QueueLimit items are queued. Not thread safe.
class SlotScheduler {
public:
  struct Options {
    /// Number of statements that the target runs at once.
    unsigned Slots = 2;
    /// Maximum number of queued items.
    std::size_t QueueLimit = 512;
    /// Expected time beyond which an item is long.
    Duration LongThreshold = std::chrono::milliseconds(100);
    /// Share of one slot's time that long items get while short ones wait too.
    double LongShare = 0.85;
    /// Share of the time until an item's deadline within which it must be
    /// expected to end. Otherwise it is refused on arrival.
    double DeadlineShare = 0.5;
    ServiceTimes::Options Times;
  };

  explicit SlotScheduler(Options Opts);

  /// Queues \p Item, or returns an error with verdict NotRun.
  Status offer(const WorkItem &Item, TimePoint Now);

  /// Returns the items to start now. Each holds its slot until finish() is
  /// called for it.
  std::vector<WorkId> start(TimePoint Now);

  /// Removes expired items from the queue and returns them: short items that
  /// can no longer end before their deadlines, and long items whose deadlines
  /// have passed.
  std::vector<WorkId> expire(TimePoint Now);

  /// Records that the started item \p Id has ended after it held its slot for
  /// \p ServiceTime; empty if it did not run, which says nothing about the
  /// service time of its fingerprint.
  void finish(WorkId Id, std::optional<Duration> ServiceTime, TimePoint Now);

  /// Removes \p Id from the queue. Returns false if it is not queued.
  bool cancel(WorkId Id);

  std::size_t queued() const { return Short.size() + LongCount; }
  std::size_t running() const { return Running.size(); }

  /// Returns the time that a short item would wait if it arrived now.
  Duration expectedWait() const;

private:
  struct RunningItem {
    WorkItem Item;
    bool CountsAsLong = false;
  };
  using ByDeadline = std::map<std::pair<TimePoint, WorkId>, WorkItem>;

  bool isLong(const WorkItem &Item) const;
  bool isUnknown(const WorkItem &Item) const;
  /// Returns the number of slots that long and unknown items may hold.
  unsigned longLimit() const;
  unsigned longRunning() const;
  /// Returns whether a long item must be started before any short one.
  bool longIsDue(TimePoint Now) const;
  /// Returns the expected time until \p Item would start if queued now.
  Duration waitBefore(const WorkItem &Item) const;
  /// Refuses \p Item if the queue is full or already holds too many items of
  /// the same caller.
  Status checkFairness(const WorkItem &Item) const;
  /// Refuses \p Item if it would probably end too late.
  Status checkDeadline(const WorkItem &Item, TimePoint Now) const;
  bool startLong(TimePoint Now, std::vector<WorkId> &Started);
  bool startShort(std::vector<WorkId> &Started);
  /// Updates LongCredit for the time since the last update.
  void updateLongCredit(TimePoint Now);

  Options Opts;
  ServiceTimes Times;
  /// Short items and items with unknown fingerprints.
  ByDeadline Short;
  /// Long items by caller, in order of arrival.
  std::map<std::string, std::vector<WorkItem>> Long;
  std::size_t LongCount = 0;
  std::string LastLongCaller;
  std::map<WorkId, RunningItem> Running;
  std::map<std::string, std::size_t> QueuedByCaller;
  /// Time of the last update of LongCredit.
  TimePoint CreditUpdatedAt;
  /// Slot time that long items are entitled to but have not used. Negative if
  /// they have used more than their share.
  Duration LongCredit = Duration::zero();
};

} // namespace cicadawind

#endif
