#include "Quotas/IssuerLease.h"

#include <algorithm>
#include <utility>

namespace cicadawind {

void IssuerLease::recordClaim(std::uint64_t Number,
                              std::set<std::string> Voters,
                              std::size_t Majority, std::size_t DomainSize,
                              TimePoint Now) {
  std::erase_if(Claims,
                [&](const auto &Each) { return endOf(Each.second) <= Now; });
  Claims[Number] = {.SentAt = Now,
                    .Voters = std::move(Voters),
                    .Majority = Majority,
                    .DomainSize = DomainSize};
}

bool IssuerLease::recordVote(std::uint64_t Number, const std::string &Voter,
                             Duration Idle, TimePoint Now) {
  auto It = Claims.find(Number);
  if (It == Claims.end() || It->second.Voters.count(Voter) == 0)
    return false;
  Claim &Sent = It->second;
  Sent.VotedFor.insert(Voter);
  Sent.IssuedUntil = std::max(Sent.IssuedUntil, Now - Idle);
  TimePoint End = endOf(Sent);
  if (Sent.VotedFor.size() < Sent.Majority || End <= Now)
    return false;
  bool Begins = !isHeld(Now);
  HeldUntil = Begins ? End : std::max(*HeldUntil, End);
  if (Begins) {
    HeldSince = Now;
    IdleSince.reset();
    IsIdleTimeTaken = false;
  }
  if (Sent.VotedFor.size() == Sent.DomainSize)
    IdleSince = Sent.IssuedUntil;
  return Begins;
}

Duration IssuerLease::takeIdleTime() {
  if (!HeldUntil || !IdleSince || std::exchange(IsIdleTimeTaken, true))
    return Duration::zero();
  return std::max(HeldSince - *IdleSince, Duration::zero());
}

void IssuerLease::end() {
  HeldUntil.reset();
  Claims.clear();
}

} // namespace cicadawind
