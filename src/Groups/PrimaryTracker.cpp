#include "Groups/PrimaryTracker.h"

#include <algorithm>

namespace cicadawind {

void PrimaryTracker::recordLeadershipProof(const std::string &Instance,
                                           LogPosition LogEnd,
                                           TimePoint RequestedAt) {
  auto Refusal = NotPrimaryRequestAt.find(Instance);
  if (Refusal != NotPrimaryRequestAt.end() && RequestedAt <= Refusal->second)
    return; // The proof is older than the refusal.
  bool PrimaryChanged =
      Instance != Primary || !Confirmed || LogEnd.WrittenIn != WrittenIn;
  if (PrimaryChanged) {
    // A proof that was requested before the newest one may be outdated.
    if (Confirmed && RequestedAt <= ConfirmedAt)
      return;
    Samples.clear();
    Primary = Instance;
    WrittenIn = LogEnd.WrittenIn;
    ++Epoch;
  }
  Confirmed = true;
  ConfirmedAt = std::max(ConfirmedAt, RequestedAt);
  NotPrimaryRequestAt.erase(Instance);
  Samples.add(RequestedAt, LogEnd.Index);
}

void PrimaryTracker::recordNotPrimary(const std::string &Instance,
                                      TimePoint RequestedAt) {
  TimePoint &Latest = NotPrimaryRequestAt[Instance];
  // Replies may arrive out of order.
  Latest = std::max(Latest, RequestedAt);
  bool Newer = !Confirmed || RequestedAt > ConfirmedAt;
  if (Instance != Primary || !Newer)
    return;
  Primary.clear();
  Confirmed = false;
}

void PrimaryTracker::recordPrimaryClaim(const std::string &Instance,
                                        bool ClaimsPrimary) {
  if (!ClaimsPrimary) {
    // The registry lags, so an entry that does not claim to be primary clears a
    // hint but not a confirmed primary.
    if (Instance == Primary && !Confirmed)
      Primary.clear();
    return;
  }
  if (Instance == Primary)
    return;
  NotPrimaryRequestAt.erase(Instance);
  Primary = Instance;
  Confirmed = false;
}

void PrimaryTracker::forget(const std::string &Instance) {
  NotPrimaryRequestAt.erase(Instance);
  if (Instance != Primary)
    return;
  Primary.clear();
  Confirmed = false;
}

std::optional<LogPosition> PrimaryTracker::requiredPosition(
    TimePoint MustSeeBefore,
    const std::optional<SessionWrite> &LastWrite) const {
  bool SameEpoch = LastWrite && LastWrite->Epoch == Epoch;
  // A write under an earlier primary may have been discarded by the change of
  // primary. A proof requested after its acknowledgement covers the write if it
  // survived.
  if (LastWrite && !SameEpoch)
    MustSeeBefore = std::max(MustSeeBefore, LastWrite->AcknowledgedAt);
  std::optional<LogIndex> Index = Samples.indexCovering(MustSeeBefore);
  if (!Index)
    return std::nullopt;
  LogPosition Position{.WrittenIn = WrittenIn, .Index = *Index};
  if (SameEpoch)
    Position = std::max(Position, LastWrite->Position);
  return Position;
}

std::optional<LeadershipProof> PrimaryTracker::newest() const {
  std::optional<FreshnessSamples::Sample> Last = Samples.newest();
  if (!Last || Primary.empty())
    return std::nullopt;
  return LeadershipProof{
      .RequestedAt = Last->At,
      .LogEnd = {.WrittenIn = WrittenIn, .Index = Last->Index}};
}

std::optional<Duration> PrimaryTracker::ageOf(LogPosition Applied,
                                              TimePoint Now) const {
  if (Applied.WrittenIn != WrittenIn)
    return std::nullopt;
  return Samples.ageOf(Applied.Index, Now);
}

} // namespace cicadawind
