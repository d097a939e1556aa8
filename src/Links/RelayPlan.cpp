#include "Links/RelayPlan.h"

#include "Core/Random.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace cicadawind {
namespace internal {

static std::uint64_t hashOf(const std::string &Text) {
  return std::hash<std::string>()(Text);
}

/// Removes expired entries. Returns whether any was removed.
static bool eraseExpired(std::map<std::string, TimePoint> &Until,
                         TimePoint Now) {
  std::size_t Before = Until.size();
  for (auto It = Until.begin(); It != Until.end();)
    It = Now >= It->second ? Until.erase(It) : std::next(It);
  return Until.size() != Before;
}

} // namespace internal

RelayPlan::RelayPlan(Options NewOpts) : Opts(std::move(NewOpts)) {
  Self.Vm = Opts.Vm;
  Self.FailureDomain = Opts.FailureDomain;
  Self.Region = Opts.Region;
  indexVms();
}

bool RelayPlan::setPeers(std::vector<VmEntry> Alive) {
  std::sort(Alive.begin(), Alive.end(),
            [](const VmEntry &A, const VmEntry &B) { return A.Vm < B.Vm; });
  if (Alive == Peers)
    return false;
  Peers = std::move(Alive);
  indexVms();
  recordChange();
  return true;
}

void RelayPlan::recordChange() {
  Changed = true;
  ++Version;
  Cache.clear();
  indexExclusions();
}

void RelayPlan::indexExclusions() {
  Excluded.assign(Peers.size() + 1, false);
  if (!Exclusions.empty())
    for (VmIndex I : AllVms)
      Excluded[I] = isExcluded(entryAt(I).Vm);
  if (ServesAccounts && IsLeaving)
    Excluded[Peers.size()] = true;
}

void RelayPlan::setServesAccounts(bool Serves) {
  if (std::exchange(ServesAccounts, Serves) != Serves)
    recordChange();
}

void RelayPlan::setLeaving() {
  if (!std::exchange(IsLeaving, true))
    recordChange();
}

const VmEntry &RelayPlan::entryAt(VmIndex Index) const {
  return Index == Peers.size() ? Self : Peers[Index];
}

void RelayPlan::indexVms() {
  NameHashes.clear();
  ByDomain.clear();
  ByRegion.clear();
  AllVms.clear();
  for (VmIndex I = 0; I <= Peers.size(); ++I) {
    const VmEntry &Entry = entryAt(I);
    NameHashes.push_back(internal::hashOf(Entry.Vm));
    ByDomain[Entry.FailureDomain].push_back(I);
    ByRegion[Entry.Region].push_back(I);
    AllVms.push_back(I);
  }
  indexExclusions();
}

bool RelayPlan::isExcluded(const std::string &Vm) const {
  auto It = Exclusions.find(Vm);
  return It != Exclusions.end() && !It->second.Expired;
}

void RelayPlan::markUnreachable(const std::string &Vm, TimePoint Now) {
  if (isExcluded(Vm))
    return;
  auto [It, IsNew] = Exclusions.try_emplace(Vm);
  Exclusion &Entry = It->second;
  Entry.Length = IsNew ? Opts.InitialExclusion
                       : std::min(2 * Entry.Length, Opts.MaxExclusion);
  Entry.Until = Now + Entry.Length;
  Entry.Expired = false;
  recordChange();
}

bool RelayPlan::sweepExclusions(TimePoint Now) {
  bool AnyExpired = false;
  for (auto It = Exclusions.begin(); It != Exclusions.end();) {
    Exclusion &Entry = It->second;
    AnyExpired |= !Entry.Expired && Now >= Entry.Until;
    Entry.Expired = Now >= Entry.Until;
    bool IsObsolete = Now >= Entry.Until + Entry.Length;
    It = IsObsolete ? Exclusions.erase(It) : std::next(It);
  }
  return AnyExpired;
}

void RelayPlan::recordRelayRequest(const std::string &Instance, TimePoint Now) {
  if (!RelayRequestedUntil.count(Instance))
    recordChange();
  RelayRequestedUntil[Instance] = Now + Opts.RelayRequestLifetime;
}

bool RelayPlan::sweep(TimePoint Now) {
  bool Expired = sweepExclusions(Now);
  Expired |= internal::eraseExpired(RelayRequestedUntil, Now);
  if (Expired)
    recordChange();
  return std::exchange(Changed, false);
}

unsigned RelayPlan::minDirectShare(const TargetEntry &Target) const {
  if (!Opts.PoolsScarceConnections)
    return Opts.MinDirectShare;
  return std::max(Opts.MinDirectShare, Target.Slots);
}

bool RelayPlan::allDirect(const TargetEntry &Target,
                          unsigned MaxConnections) const {
  return vms() <= Opts.RelaysPerTarget ||
         MaxConnections / vms() >= minDirectShare(Target);
}

void RelayPlan::appendBest(const TargetEntry &Target,
                           const std::vector<VmIndex> &Candidates,
                           std::vector<VmIndex> &Out) const {
  using Ranked = std::pair<std::uint64_t, VmIndex>;
  std::uint64_t TargetHash = internal::hashOf(Target.Instance);
  std::vector<Ranked> Order;
  Order.reserve(Candidates.size());
  for (VmIndex I : Candidates) {
    bool IsTaken = std::find(Out.begin(), Out.end(), I) != Out.end();
    if (!IsTaken && !Excluded[I])
      Order.emplace_back(hashCombine(TargetHash, NameHashes[I]), I);
  }
  std::size_t Count = std::min(Order.size(), Opts.RelaysPerTarget - Out.size());
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Count),
                    Order.end());
  for (std::size_t I = 0; I < Count; ++I)
    Out.push_back(Order[I].second);
}

std::vector<RelayPlan::VmIndex>
RelayPlan::chooseRelays(const TargetEntry &Target) const {
  std::vector<VmIndex> Out;
  auto Domain = ByDomain.find(Target.FailureDomain);
  if (Domain != ByDomain.end())
    appendBest(Target, Domain->second, Out);
  auto Region = Opts.Regions.find(Target.FailureDomain);
  auto InRegion = Region == Opts.Regions.end() ? ByRegion.end()
                                               : ByRegion.find(Region->second);
  if (Out.size() < Opts.RelaysPerTarget && InRegion != ByRegion.end())
    appendBest(Target, InRegion->second, Out);
  if (Out.size() < Opts.RelaysPerTarget)
    appendBest(Target, AllVms, Out);
  return Out;
}

const std::vector<RelayPlan::VmIndex> &
RelayPlan::relaysFor(const TargetEntry &Target) const {
  auto [It, IsNew] = Cache.try_emplace(Target.Instance);
  if (IsNew)
    It->second = chooseRelays(Target);
  return It->second;
}

unsigned RelayPlan::relayShare(unsigned MaxConnections, bool Standby) const {
  double Fraction = Standby ? Opts.ReservedFraction : 1 - Opts.ReservedFraction;
  double Share =
      MaxConnections * Fraction / static_cast<double>(Opts.RelaysPerTarget);
  return std::max(1U, static_cast<unsigned>(Share));
}

TargetPath RelayPlan::pathTo(const TargetEntry &Target,
                             unsigned MaxConnections) const {
  TargetPath Path;
  Path.Vms = static_cast<unsigned>(vms());
  if (allDirect(Target, MaxConnections)) {
    Path.Share =
        std::max<unsigned>(1, MaxConnections / static_cast<unsigned>(vms()));
    return Path;
  }
  const std::vector<VmIndex> &Chosen = relaysFor(Target);
  bool IsChosen =
      std::find(Chosen.begin(), Chosen.end(), Peers.size()) != Chosen.end();
  if (IsChosen || RelayRequestedUntil.count(Target.Instance) != 0) {
    Path.Vms = static_cast<unsigned>(Opts.RelaysPerTarget);
    Path.Standby = ServesAccounts && !IsChosen;
    Path.Share = relayShare(MaxConnections, Path.Standby);
    return Path;
  }
  Path.Direct = false;
  Path.Share = Opts.RelayedShare;
  if (Chosen.empty())
    return Path;
  // VMs begin with different relays, so that the relays share the load.
  std::size_t First =
      hashCombine(NameHashes.back(), internal::hashOf(Target.Instance)) %
      Chosen.size();
  for (std::size_t I = 0; I < Chosen.size(); ++I)
    Path.Relays.push_back(entryAt(Chosen[(First + I) % Chosen.size()]));
  return Path;
}

std::set<std::string> RelayPlan::relaysOf(const TargetEntry &Target,
                                          unsigned MaxConnections) const {
  std::set<std::string> Out;
  if (allDirect(Target, MaxConnections))
    return Out;
  for (VmIndex I : relaysFor(Target))
    Out.insert(entryAt(I).Vm);
  return Out;
}

} // namespace cicadawind
