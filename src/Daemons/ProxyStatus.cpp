// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Daemons/ProxyStatus.h"

#include "Exchange/PeerExchange.h"
#include "Leases/PrimaryLease.h"
#include "Platform/StoreRevision.h"
#include "Proxy/ProxyService.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cicadawind {
namespace internal {

using Json = nlohmann::json;

static Json targetStatus(const GroupDispatcher &Group,
                         const TargetEntry &Entry) {
  return {{"target", Entry.Instance},
          {"address", Entry.Address},
          {"failure_domain", Entry.FailureDomain},
          {"leaving", Entry.Leaving},
          {"reached", !Group.isUnreachable(Entry.Instance)}};
}

/// Returns the lease on the primary that \p Group uses; null if the platform
/// fences promotions or this VM uses relays, which have leases of their own.
static Json leaseStatus(const GroupDispatcher &Group, TimePoint Now) {
  const PrimaryLease *Lease = Group.guard().lease();
  if (!Lease || !Group.isDirect(Lease->primary()))
    return nullptr;
  std::optional<TimePoint> Until = Lease->validUntil();
  Millis Left = Until ? toMillis(*Until - Now) : Millis::zero();
  return {{"held", Lease->isValidAt(Now)},
          {"remaining_ms", std::max(Left, Millis::zero()).count()},
          {"blocked", Lease->isBlocked()},
          {"superseded", Lease->isSuperseded()},
          {"replaced_primaries", Group.guard().replacedPrimaries()}};
}

static Json groupStatus(const GroupDispatcher &Group, TimePoint Now) {
  const PrimaryTracker &Tracker = Group.tracker();
  std::optional<LeadershipProof> Proof = Tracker.newest();
  std::int64_t Age = Proof ? toMillis(Now - Proof->RequestedAt).count() : -1;
  Json Targets = Json::array();
  for (const TargetEntry &Entry : Group.entries())
    Targets.push_back(targetStatus(Group, Entry));
  return {{"group", Group.group()},
          {"primary", Tracker.primary()},
          {"proved", Tracker.isConfirmed()},
          {"term", Tracker.term()},
          {"proof_age_ms", Age},
          {"in_doubt", Group.failureDetector().isSuspect(Now)},
          {"waiting", Group.waiting()},
          {"lease", leaseStatus(Group, Now)},
          {"targets", std::move(Targets)}};
}

} // namespace internal

nlohmann::json statusOf(const ProxyService &Service, const PeerExchange &Peers,
                        TimePoint Now) {
  VmEntry Self = Peers.self();
  internal::Json LivePeers = internal::Json::array();
  for (const VmEntry &Each : Peers.livePeers(Now))
    LivePeers.push_back({{"vm", Each.Vm},
                         {"address", Each.RouterPeer},
                         {"failure_domain", Each.FailureDomain}});
  internal::Json Groups = internal::Json::array();
  for (const auto &[Name, Group] : Service.groups())
    Groups.push_back(internal::groupStatus(*Group, Now));
  StoreRevision Targets = StoreRevision::unpack(Service.targetsRevision());
  return {{"vm", Self.Vm},
          {"failure_domain", Self.FailureDomain},
          {"ready", Service.isReady()},
          {"leaving", Service.isDraining()},
          {"sessions", Service.sessions()},
          {"config_version", Service.config().Version},
          {"targets_era", Targets.Era},
          {"targets_revision", Targets.Number},
          {"peers", std::move(LivePeers)},
          {"groups", std::move(Groups)}};
}

} // namespace cicadawind
