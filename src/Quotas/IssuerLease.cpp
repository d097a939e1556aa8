#include "Quotas/IssuerLease.h"

#include <algorithm>

namespace cicadawind {

void IssuerLease::recordClaim(std::uint64_t Number,
                              std::set<std::string> Voters,
                              std::size_t Majority, TimePoint Now) {
  std::erase_if(Claims,
                [&](const auto &Each) { return endOf(Each.second) <= Now; });
  Claims[Number] = {
      .SentAt = Now, .Voters = std::move(Voters), .Majority = Majority};
}

bool IssuerLease::recordVote(std::uint64_t Number, const std::string &Voter,
                             TimePoint Now) {
  auto It = Claims.find(Number);
  if (It == Claims.end() || It->second.Voters.count(Voter) == 0)
    return false;
  Claim &Sent = It->second;
  Sent.VotedFor.insert(Voter);
  TimePoint End = endOf(Sent);
  if (Sent.VotedFor.size() < Sent.Majority || End <= Now)
    return false;
  bool Begins = !isHeld(Now);
  HeldUntil = Begins ? End : std::max(*HeldUntil, End);
  return Begins;
}

void IssuerLease::end() {
  HeldUntil.reset();
  Claims.clear();
}

} // namespace cicadawind
