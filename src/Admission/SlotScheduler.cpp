#include "Admission/SlotScheduler.h"

#include <algorithm>
#include <cassert>

namespace cicadawind {
namespace internal {

/// Maximum absolute value of the credit of long items.
constexpr Duration MaxLongCredit = std::chrono::seconds(2);

/// Number of queued items below which the items of one caller are not limited.
constexpr std::size_t FairnessFloor = 16;

static Error refusal(const char *Message, Duration RetryAfter) {
  return Error{.Code = ErrorCode::Overloaded,
               .Outcome = Verdict::NotRun,
               .Message = Message,
               .RetryAfter = std::max(Millis(10), toMillis(RetryAfter))};
}

} // namespace internal

SlotScheduler::SlotScheduler(Options NewOpts)
    : Opts(NewOpts), Times(NewOpts.Times) {
  assert(Opts.Slots > 0 && "a target requires at least one slot");
}

bool SlotScheduler::isLong(const WorkItem &Item) const {
  std::optional<Duration> Mean = Times.meanOf(Item.Fingerprint);
  return Mean && *Mean > Opts.LongThreshold;
}

bool SlotScheduler::isUnknown(const WorkItem &Item) const {
  return !Times.meanOf(Item.Fingerprint);
}

unsigned SlotScheduler::longLimit() const {
  return std::max(1U, Opts.Slots - 1);
}

unsigned SlotScheduler::longRunning() const {
  auto CountsAsLong = [](const auto &Row) { return Row.second.CountsAsLong; };
  return static_cast<unsigned>(
      std::count_if(Running.begin(), Running.end(), CountsAsLong));
}

Duration SlotScheduler::waitBefore(const WorkItem &Item) const {
  Duration WorkAhead = Duration::zero();
  for (const auto &[Key, Queued] : Short) {
    if (Key.first > Item.Deadline)
      break;
    WorkAhead += Times.expected(Queued.Fingerprint);
  }
  for (const auto &[Id, Active] : Running)
    if (!Active.CountsAsLong)
      WorkAhead += Times.expected(Active.Item.Fingerprint) / 2;
  // While long items are queued or running, the estimate assumes that they hold
  // one slot and that the short items share the others.
  bool LongPresent = LongCount > 0 || longRunning() > 0;
  unsigned Slots = LongPresent ? std::max(1U, Opts.Slots - 1) : Opts.Slots;
  return WorkAhead / Slots;
}

Duration SlotScheduler::expectedWait() const {
  return waitBefore(WorkItem{.Deadline = TimePoint::max()});
}

Status SlotScheduler::checkFairness(const WorkItem &Item) const {
  std::size_t QueueLength = queued();
  if (QueueLength >= Opts.QueueLimit)
    return internal::refusal("the target's queue is full", expectedWait());
  if (QueueLength < internal::FairnessFloor)
    return std::monostate();
  auto OwnCount = QueuedByCaller.find(Item.Caller);
  if (OwnCount == QueuedByCaller.end())
    return std::monostate();
  // Dynamic threshold: a caller may hold as many places of the queue as are
  // free. Some places therefore remain free for callers that hold none,
  // regardless of how many callers offer items at once.
  std::size_t Free = Opts.QueueLimit - QueueLength;
  if (OwnCount->second >= Free)
    return internal::refusal("this caller holds too much of the queue",
                             expectedWait());
  return std::monostate();
}

Status SlotScheduler::checkDeadline(const WorkItem &Item, TimePoint Now) const {
  Duration Remaining = Item.Deadline - Now;
  if (Remaining <= Duration::zero())
    return Error{.Code = ErrorCode::DeadlineExceeded,
                 .Outcome = Verdict::NotRun,
                 .Message = "the deadline passed before a slot was free"};
  if (isLong(Item))
    return std::monostate();
  Duration Wait = waitBefore(Item);
  if (Wait == Duration::zero())
    return std::monostate();
  auto Allowed =
      std::chrono::duration_cast<Duration>(Remaining * Opts.DeadlineShare);
  if (Wait + Times.expected(Item.Fingerprint) > Allowed)
    return internal::refusal("the work ahead would make this one late", Wait);
  return std::monostate();
}

Status SlotScheduler::offer(const WorkItem &Item, TimePoint Now) {
  updateLongCredit(Now);
  Status Fair = checkFairness(Item);
  if (errorOf(Fair))
    return Fair;
  Status InTime = checkDeadline(Item, Now);
  if (errorOf(InTime))
    return InTime;
  ++QueuedByCaller[Item.Caller];
  if (isLong(Item)) {
    Long[Item.Caller].push_back(Item);
    ++LongCount;
  } else {
    WorkItem Queued = Item;
    // An estimate that exceeds the deadline can only be corrected by running
    // the statement. The item is therefore tried if no work is ahead of it.
    Queued.AlwaysTried = waitBefore(Item) == Duration::zero();
    Short.emplace(std::pair(Item.Deadline, Item.Id), std::move(Queued));
  }
  return std::monostate();
}

void SlotScheduler::updateLongCredit(TimePoint Now) {
  Duration Elapsed = Now - CreditUpdatedAt;
  if (CreditUpdatedAt == TimePoint())
    Elapsed = Duration::zero();
  CreditUpdatedAt = Now;
  unsigned LongSlots = longRunning();
  if (LongCount == 0 && LongSlots == 0) {
    LongCredit = Duration::zero();
    return;
  }
  auto Earned = std::chrono::duration_cast<Duration>(Elapsed * Opts.LongShare);
  LongCredit += Earned - Elapsed * LongSlots;
  LongCredit =
      std::clamp(LongCredit, -internal::MaxLongCredit, internal::MaxLongCredit);
}

bool SlotScheduler::longIsDue(TimePoint) const {
  if (LongCount == 0 || longRunning() >= longLimit())
    return false;
  return Short.empty() || LongCredit >= Duration::zero();
}

bool SlotScheduler::startLong(TimePoint Now, std::vector<WorkId> &Started) {
  if (!longIsDue(Now))
    return false;
  auto It = Long.upper_bound(LastLongCaller);
  if (It == Long.end())
    It = Long.begin();
  WorkItem Item = It->second.front();
  It->second.erase(It->second.begin());
  LastLongCaller = It->first;
  if (It->second.empty())
    Long.erase(It);
  --LongCount;
  if (--QueuedByCaller[Item.Caller] == 0)
    QueuedByCaller.erase(Item.Caller);
  Running[Item.Id] = RunningItem{.Item = Item, .CountsAsLong = true};
  Started.push_back(Item.Id);
  return true;
}

bool SlotScheduler::startShort(std::vector<WorkId> &Started) {
  bool LongFull = longRunning() >= longLimit();
  for (auto It = Short.begin(); It != Short.end(); ++It) {
    const WorkItem Item = It->second;
    bool CountsAsLong = isUnknown(Item) || isLong(Item);
    if (CountsAsLong && LongFull)
      continue;
    Short.erase(It);
    if (--QueuedByCaller[Item.Caller] == 0)
      QueuedByCaller.erase(Item.Caller);
    Running[Item.Id] = RunningItem{.Item = Item, .CountsAsLong = CountsAsLong};
    Started.push_back(Item.Id);
    return true;
  }
  return false;
}

std::vector<WorkId> SlotScheduler::start(TimePoint Now) {
  updateLongCredit(Now);
  std::vector<WorkId> Started;
  while (Running.size() < Opts.Slots) {
    if (startLong(Now, Started))
      continue;
    if (!startShort(Started))
      break;
  }
  return Started;
}

std::vector<WorkId> SlotScheduler::expire(TimePoint Now) {
  std::vector<WorkId> Expired;
  for (const auto &[Key, Item] : Short) {
    // Short items are expected to take no longer than LongThreshold, so later
    // deadlines can still be met.
    if (Item.Deadline > Now + Opts.LongThreshold)
      break;
    // An item that cannot end in time would take a slot from one that can.
    Duration Needed =
        Item.AlwaysTried ? Duration::zero() : Times.expected(Item.Fingerprint);
    if (Now + Needed > Item.Deadline || Now >= Item.Deadline)
      Expired.push_back(Item.Id);
  }
  for (const auto &[Caller, Items] : Long)
    for (const WorkItem &Item : Items)
      if (Item.Deadline <= Now)
        Expired.push_back(Item.Id);
  for (WorkId Id : Expired)
    cancel(Id);
  return Expired;
}

void SlotScheduler::finish(WorkId Id, std::optional<Duration> ServiceTime,
                           TimePoint Now) {
  auto It = Running.find(Id);
  assert(It != Running.end() && "only a started item can finish");
  updateLongCredit(Now);
  if (ServiceTime)
    Times.observe(It->second.Item.Fingerprint, *ServiceTime);
  Running.erase(It);
}

bool SlotScheduler::cancel(WorkId Id) {
  auto DecrementCount = [this](const std::string &Caller) {
    auto It = QueuedByCaller.find(Caller);
    if (--It->second == 0)
      QueuedByCaller.erase(It);
  };
  for (auto It = Short.begin(); It != Short.end(); ++It) {
    if (It->first.second != Id)
      continue;
    DecrementCount(It->second.Caller);
    Short.erase(It);
    return true;
  }
  for (auto It = Long.begin(); It != Long.end(); ++It) {
    std::vector<WorkItem> &Items = It->second;
    auto Same = [Id](const WorkItem &Item) { return Item.Id == Id; };
    auto Found = std::find_if(Items.begin(), Items.end(), Same);
    if (Found == Items.end())
      continue;
    DecrementCount(Found->Caller);
    Items.erase(Found);
    --LongCount;
    if (Items.empty())
      Long.erase(It);
    return true;
  }
  return false;
}

} // namespace cicadawind
