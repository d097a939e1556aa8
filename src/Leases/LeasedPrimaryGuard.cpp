#include "Leases/LeasedPrimaryGuard.h"

#include "Statements/TargetStatus.h"

#include <algorithm>

namespace cicadawind {

void LeasedPrimaryGuard::setPrimary(const std::string &Instance) {
  Lease.setPrimary(Instance);
  auto Claim = Claims.find(Instance);
  if (Claim != Claims.end())
    Lease.setTerm(Claim->second);
}

void LeasedPrimaryGuard::setReplicas(const std::vector<std::string> &Instances,
                                     TimePoint Now) {
  Lease.setReplicas(Instances, Now);
  // An instance that was removed or restarted leads no term any more.
  for (auto It = Claims.begin(); It != Claims.end();) {
    bool IsListed =
        It->first == Lease.primary() ||
        std::count(Instances.begin(), Instances.end(), It->first) != 0;
    It = IsListed ? std::next(It) : Claims.erase(It);
  }
}

void LeasedPrimaryGuard::recordStatus(const std::string &Instance,
                                      const TargetStatus &Status,
                                      TimePoint RequestedAt) {
  // Replies over different connections may arrive out of order.
  TimePoint &Latest = StatusRequestedAt[Instance];
  if (RequestedAt < Latest)
    return;
  Latest = RequestedAt;
  Lease.recordStatus(Instance, Status, RequestedAt);
  if (!Status.IsPrimary) {
    Claims.erase(Instance);
    return;
  }
  Claims[Instance] = Status.CurrentTerm;
  Promise.recordLeader(Status.CurrentTerm);
}

bool LeasedPrimaryGuard::mayUse(const std::string &Instance,
                                TimePoint Now) const {
  return Instance == Lease.primary() && Lease.isValidAt(Now);
}

bool LeasedPrimaryGuard::covers(const std::string &Instance,
                                TimePoint At) const {
  return Instance == Lease.primary() && Lease.isValidAt(At);
}

bool LeasedPrimaryGuard::acceptsClaim(const std::string &Instance,
                                      TimePoint Now) const {
  if (Lease.primary().empty())
    return true;
  if (Lease.isValidAt(Now))
    return false;
  // The registry may still list an older primary.
  auto Claim = Claims.find(Instance);
  bool IsOlder =
      Claim != Claims.end() && Lease.term() && Claim->second < *Lease.term();
  return !IsOlder;
}

std::string LeasedPrimaryGuard::newerPrimary() const {
  std::string Newest;
  Term Leads = Lease.term().value_or(0);
  for (const auto &[Instance, Claimed] : Claims)
    if (Instance != Lease.primary() && Claimed > Leads) {
      Newest = Instance;
      Leads = Claimed;
    }
  return Newest;
}

std::vector<std::string> LeasedPrimaryGuard::replacedPrimaries() const {
  std::vector<std::string> Out;
  for (const auto &[Instance, Claimed] : Claims)
    if (Lease.term() && Claimed < *Lease.term())
      Out.push_back(Instance);
  return Out;
}

std::vector<std::string> LeasedPrimaryGuard::statusDue(bool HasPeer,
                                                       TimePoint Now) {
  return Lease.statusDue(HasPeer, Now);
}

std::optional<Term> LeasedPrimaryGuard::peerEvidenceDue(TimePoint Now) {
  return Lease.peerEvidenceDue(Now) ? Lease.term() : std::nullopt;
}

std::optional<Term> LeasedPrimaryGuard::votesDue(TimePoint Now) {
  return Lease.votesDue(Now) ? Lease.term() : std::nullopt;
}

} // namespace cicadawind
