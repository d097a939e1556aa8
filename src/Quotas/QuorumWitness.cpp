#include "Quotas/QuorumWitness.h"

#include "Platform/StoreRevision.h"

namespace cicadawind {

QuorumWitness::Call QuorumWitness::next(bool IsWanted, TimePoint Now) {
  if (IsCalling || Now < NextCall)
    return Call::None;
  if (!IsWanted) {
    Version.reset();
    return Call::None;
  }
  // An object that does not exist yet is created at once, and taken over like
  // any other one.
  bool IsDue = isHeld(Now) || expectedVersion() == 0 ||
               Now - SeenAt >= Times.TakeoverTime;
  if (Version && !IsDue)
    return Call::None;
  IsCalling = true;
  NextCall = Now + Times.CallInterval;
  return Version ? Call::Write : Call::Read;
}

void QuorumWitness::recordRead(std::optional<std::uint64_t> Read,
                               TimePoint Now) {
  IsCalling = false;
  Version = Read;
  SeenAt = Now;
}

void QuorumWitness::recordAccepted(std::uint64_t Written, TimePoint SentAt,
                                   TimePoint Now) {
  IsCalling = false;
  bool IsSameEra = StoreRevision::unpack(expectedVersion()).Era ==
                   StoreRevision::unpack(Written).Era;
  bool IsTakenOver = expectedVersion() != 0 && IsSameEra &&
                     (isHeld(SentAt) || SentAt - SeenAt >= Times.TakeoverTime);
  Version = Written;
  SeenAt = Now;
  // In a later era another VM's update may have been lost, and with it the
  // version that would have refused this one.
  if (IsTakenOver)
    HeldUntil = SentAt + Times.HoldTime;
  else if (!IsSameEra)
    HeldUntil.reset();
}

void QuorumWitness::recordRefused() {
  IsCalling = false;
  Version.reset();
}

} // namespace cicadawind
