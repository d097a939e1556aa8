#include "Quotas/IssuerCandidacy.h"

namespace cicadawind {

IssuerCandidacy::Action IssuerCandidacy::nextOfHolder(TimePoint Now) {
  if (!WasHeld)
    NextRenewal = ClaimedAt.value_or(Now) + Times.RenewInterval;
  WasHeld = true;
  ClaimedAt.reset();
  FreeSince.reset();
  if (Now < NextRenewal)
    return Action::None;
  NextRenewal = Now + Times.RenewInterval;
  return Action::Claim;
}

IssuerCandidacy::Action IssuerCandidacy::fail(TimePoint Now) {
  WasHeld = false;
  ClaimedAt.reset();
  FreeSince.reset();
  auto Backoff = std::chrono::duration_cast<Duration>(Times.MaxClaimBackoff *
                                                      toUnit(Random()));
  NotBefore = Now + Backoff;
  return Action::Release;
}

IssuerCandidacy::Action IssuerCandidacy::next(const View &Seen, TimePoint Now) {
  if (Seen.IsHeld)
    return nextOfHolder(Now);
  if (WasHeld)
    return fail(Now);
  if (ClaimedAt)
    return Now - *ClaimedAt < Times.ClaimTimeout ? Action::None : fail(Now);
  if (Seen.IsTaken || !Seen.Rank) {
    FreeSince.reset();
    return Action::None;
  }
  if (!FreeSince)
    FreeSince = Now;
  if (Now < NotBefore || Now - *FreeSince < *Seen.Rank * Times.RankDelay)
    return Action::None;
  ClaimedAt = Now;
  return Action::Claim;
}

} // namespace cicadawind
