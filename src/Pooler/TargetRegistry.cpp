// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Pooler/TargetRegistry.h"

#include "Observability/Metrics.h"
#include "Peers/PeerNode.h"
#include "Pooler/GroupMonitor.h"
#include "Pooler/TargetPool.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace cicadawind {
namespace internal {

/// Number of a target's owners, by rank, that are queried for a term record.
constexpr std::size_t OwnersQueried = 2;
/// Interval at which ownership is recomputed while the members do not change.
/// Suspicions of members expire without a change of the member table's version.
constexpr Duration OwnershipInterval = std::chrono::seconds(5);
/// The pool of a target that another pooler owns is closed when it has not been
/// used for this long.
constexpr Duration UnownedPoolTimeout = std::chrono::seconds(3);
/// Delay of a promotion for each owner of the database's targets that comes
/// before this VM.
constexpr Duration RankDelayStep = std::chrono::milliseconds(150);

static std::string poolKey(const std::string &Database,
                           const std::string &Target) {
  return Database + "/" + Target;
}

/// Requests a planned switchover if the primary is leaving; withdraws the
/// request otherwise.
static void updateSwitchoverRequest(GroupMonitor &Monitor) {
  std::string Primary = Monitor.control().primary();
  const auto &Targets = Monitor.config().Targets;
  auto It = Targets.find(Primary);
  bool IsLeaving = It != Targets.end() && It->second.Leaving;
  Monitor.control().requestSwitchover(IsLeaving ? Primary : std::string());
}

} // namespace internal

TargetRegistry::TargetRegistry(boost::asio::io_context &Loop, Options NewOpts,
                               PeerNode &Peers, DatabaseGroup &Group,
                               ObjectStore &Store, Metrics &Meter)
    : Loop(Loop), Opts(std::move(NewOpts)), Peers(Peers), Group(Group),
      Store(Store), Meter(Meter) {
  Peers.history().onChange([this](const ServiceConfig &) { reconfigure(); });
  registerMethods();
}

void TargetRegistry::registerMethods() {
  Peers.rpc().add("peer.term", [this](const nlohmann::json &Params) {
    nlohmann::json Out = nlohmann::json::object();
    auto It = Monitors.find(Params.at("database").get<std::string>());
    if (It != Monitors.end() && It->second->control().record())
      Out["record"] = encodeTermRecord(*It->second->control().record());
    return Out;
  });
}

boost::asio::awaitable<std::optional<TermRecord>>
TargetRegistry::queryPeers(std::string Database) {
  std::set<std::string> Addresses;
  auto It = Peers.history().config().Databases.find(Database);
  if (It == Peers.history().config().Databases.end())
    co_return std::nullopt;
  TimePoint Now = BootClock::now();
  for (const auto &[Name, Target] : It->second.Targets) {
    std::vector<VmEntry> Owners =
        Peers.members().ownersOf(Name, Target.FailureDomain, Target.Region, Now,
                                 internal::OwnersQueried);
    for (const VmEntry &Owner : Owners)
      if (Owner.Vm != Opts.Vm)
        Addresses.insert(Owner.PoolerPeer);
  }
  std::optional<TermRecord> Best;
  for (const std::string &Address : Addresses) {
    nlohmann::json Params{{"database", Database}};
    nlohmann::json Response =
        co_await Peers.callPeer(Address, "peer.term", std::move(Params));
    if (!Response.is_object() || !Response.contains("record"))
      continue;
    Result<TermRecord> PeerRecord =
        decodeTermRecord(Response["record"].get<std::string>());
    if (errorOf(PeerRecord))
      continue;
    if (!Best || valueOf(PeerRecord).Current > Best->Current)
      Best = valueOf(PeerRecord);
  }
  co_return Best;
}

Duration TargetRegistry::rankDelay(const DatabaseConfig &Database) const {
  std::vector<std::string> Vms;
  TimePoint Now = BootClock::now();
  for (const auto &[Name, Target] : Database.Targets) {
    std::vector<VmEntry> Owners = Peers.members().ownersOf(
        Name, Target.FailureDomain, Target.Region, Now);
    if (!Owners.empty())
      Vms.push_back(Owners.front().Vm);
  }
  auto It = std::find(Vms.begin(), Vms.end(), Opts.Vm);
  return internal::RankDelayStep * (It - Vms.begin());
}

std::shared_ptr<GroupMonitor>
TargetRegistry::monitorOf(const std::string &Database) {
  LastUse[Database] = BootClock::now();
  auto It = Monitors.find(Database);
  if (It != Monitors.end())
    return It->second;
  const auto &Databases = Peers.history().config().Databases;
  auto Config = Databases.find(Database);
  if (Config == Databases.end())
    return nullptr;
  GroupMonitor::Options MonitorOpts;
  MonitorOpts.FailureDomain = Opts.FailureDomain;
  MonitorOpts.Region = Opts.Region;
  MonitorOpts.Control.ControllerId = Opts.Vm;
  MonitorOpts.Control.PromotionChart = Opts.Charts.Promotion;
  MonitorOpts.Control.Random = Opts.Random;
  MonitorOpts.Control.Trigger.SuspectAfter = Opts.SuspectAfter;
  MonitorOpts.Control.Trigger.RankDelay = rankDelay(Config->second);
  auto Monitor = std::make_shared<GroupMonitor>(Loop, MonitorOpts, Group, Store,
                                                Meter, Config->second);
  Monitor->setPeerRecordHook(
      [this](std::string Name) { return queryPeers(std::move(Name)); });
  Monitors[Database] = Monitor;
  Monitor->start();
  return Monitor;
}

std::shared_ptr<TargetPool> TargetRegistry::poolOf(const std::string &Database,
                                                   const std::string &Target) {
  std::string Key = internal::poolKey(Database, Target);
  auto It = Pools.find(Key);
  if (It != Pools.end())
    return It->second;
  const ServiceConfig &Config = Peers.history().config();
  const TargetConfig *Found = Config.findTarget(Database, Target);
  if (!Found)
    return nullptr;
  TargetPool::Options PoolOpts;
  PoolOpts.Target = *Found;
  PoolOpts.QueueLimit = Config.Limits.QueueLimit;
  PoolOpts.ConnectionChart = Opts.Charts.Connection;
  auto Pool = std::make_shared<TargetPool>(Loop, PoolOpts, Group, Meter);
  Pools[Key] = Pool;
  Pool->start();
  return Pool;
}

void TargetRegistry::reconfigure() {
  const ServiceConfig &Config = Peers.history().config();
  TimePoint Now = BootClock::now();
  std::erase_if(Monitors, [&](auto &Entry) {
    auto It = Config.Databases.find(Entry.first);
    if (It == Config.Databases.end()) {
      Entry.second->stop();
      return true;
    }
    Entry.second->reconfigure(It->second);
    return false;
  });
  std::erase_if(Pools, [&](auto &Entry) {
    const TargetConfig &Old = Entry.second->target();
    std::string Database = Entry.first.substr(0, Entry.first.find('/'));
    const TargetConfig *New = Config.findTarget(Database, Old.Name);
    bool Unchanged =
        New && New->Address == Old.Address && New->Slots == Old.Slots;
    if (Unchanged)
      Entry.second->reconfigure(*New);
    else
      Entry.second->stop();
    return !Unchanged;
  });
  for (const auto &[Name, Database] : Config.Databases)
    for (const auto &[TargetName, Target] : Database.Targets) {
      std::string Key = internal::poolKey(Name, TargetName);
      if (Target.Leaving)
        LeavingSince.try_emplace(Key, Now);
      else
        LeavingSince.erase(Key);
    }
  updateOwnedTargets();
  maintain();
}

void TargetRegistry::updateOwnedTargets() {
  TimePoint Now = BootClock::now();
  Owned.clear();
  for (const auto &[Name, Database] : Peers.history().config().Databases)
    for (const auto &[TargetName, Target] : Database.Targets) {
      std::vector<VmEntry> Owners = Peers.members().ownersOf(
          TargetName, Target.FailureDomain, Target.Region, Now, 1);
      if (!Owners.empty() && Owners.front().Vm == Opts.Vm)
        Owned.emplace_back(Name, TargetName);
    }
  OwnedVersion = Peers.members().version();
  OwnedComputedAt = Now;
}

void TargetRegistry::maintain() {
  TimePoint Now = BootClock::now();
  // Besides changes of the configuration, ownership changes only with the
  // members or when a suspicion expires.
  bool Outdated = OwnedVersion != Peers.members().version() ||
                  Now - OwnedComputedAt > internal::OwnershipInterval;
  if (Outdated)
    updateOwnedTargets();
  for (const auto &[Database, Target] : Owned) {
    monitorOf(Database);
    poolOf(Database, Target);
  }
  for (const auto &[Name, Monitor] : Monitors)
    internal::updateSwitchoverRequest(*Monitor);
  std::erase_if(Monitors, [&](auto &Entry) {
    if (Now - LastUse[Entry.first] < Opts.UnusedTimeout)
      return false;
    Entry.second->stop();
    return true;
  });
  removeUnusedPools(Now);
  updatePoolMetrics();
}

void TargetRegistry::updatePoolMetrics() {
  for (const auto &[Key, Pool] : Pools) {
    MetricLabels Labels{{"target", Key}};
    Meter.set("queue_depth", static_cast<double>(Pool->queued()), Labels);
    Meter.set("connections", static_cast<double>(Pool->connections()), Labels);
  }
}

void TargetRegistry::removeUnusedPools(TimePoint Now) {
  // The target limits its connections, so the new owner may be able to open its
  // own only after this pooler has closed some.
  std::erase_if(Pools, [&](auto &Entry) {
    const std::string &Key = Entry.first;
    bool IsOwned =
        std::any_of(Owned.begin(), Owned.end(), [&](const auto &OwnedTarget) {
          return internal::poolKey(OwnedTarget.first, OwnedTarget.second) ==
                 Key;
        });
    bool Used = Now - Entry.second->lastUse() < internal::UnownedPoolTimeout;
    if (IsOwned || Used)
      return false;
    Entry.second->stop();
    return true;
  });
}

std::shared_ptr<GroupMonitor>
TargetRegistry::existingMonitor(const std::string &Database) const {
  auto It = Monitors.find(Database);
  return It == Monitors.end() ? nullptr : It->second;
}

std::optional<TimePoint>
TargetRegistry::leavingSince(const std::string &Database,
                             const std::string &Target) const {
  auto It = LeavingSince.find(internal::poolKey(Database, Target));
  if (It == LeavingSince.end())
    return std::nullopt;
  return It->second;
}

nlohmann::json TargetRegistry::status() const {
  nlohmann::json Databases = nlohmann::json::array();
  for (const auto &[Name, Monitor] : Monitors) {
    PrimaryHint Hint = Monitor->hint();
    Databases.push_back({{"database", Name},
                         {"term", Hint.CurrentTerm},
                         {"primary", Hint.Primary},
                         {"lease", Monitor->leaseValid()},
                         {"in_use", Monitor->isBusy()}});
  }
  nlohmann::json Targets = nlohmann::json::array();
  for (const auto &[Key, Pool] : Pools)
    Targets.push_back({{"target", Key},
                       {"connections", Pool->connections()},
                       {"queued", Pool->queued()}});
  return {{"databases", Databases}, {"targets", Targets}};
}

} // namespace cicadawind
