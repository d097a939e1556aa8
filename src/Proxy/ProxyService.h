#ifndef CICADAWIND_PROXY_PROXYSERVICE_H
#define CICADAWIND_PROXY_PROXYSERVICE_H

#include "Callers/CallerSession.h"
#include "Config/NewerConfigs.h"
#include "Config/ProxyConfig.h"
#include "Core/Random.h"
#include "Dispatch/GroupDispatcher.h"
#include "Links/RelayPlan.h"
#include "Links/TargetDirectory.h"
#include "Links/TargetHistory.h"
#include "Observability/LogRateLimiter.h"
#include "Proxy/DrainSchedule.h"
#include "Proxy/ProxyState.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadawind {

class Metrics;

/// \class ProxyService
/// \brief Owns the sessions of all callers and the dispatchers of all groups on
/// one VM.
///
/// Applies configurations and the registry's list of targets, accepts callers,
/// and drains before this VM leaves: sessions are closed as they become idle,
/// idle transactions are rolled back once half of the grace time has passed,
/// and requests that could not be answered before the end are refused. Runs on
/// the loop's thread.
class ProxyService {
public:
  struct Options {
    const StatementCodec *Codec = nullptr;
    std::string Vm;
    std::string FailureDomain;
    std::string Region;
    /// Region of each failure domain.
    std::map<std::string, std::string> Regions;
    RandomSource Random;
    /// Maximum number of open sessions; low enough to leave file descriptors
    /// for all other connections.
    std::size_t MaxSessions = 3000;
    /// Whether setPeers() will be called. Until then no connections are opened
    /// ahead of requests, because the number of VMs that share them is unknown.
    bool AwaitsPeers = false;
    /// See RelayPlan::Options::PoolsScarceConnections.
    bool PoolsScarceConnections = false;
    /// Options of every group's dispatcher; those that depend on the VM or the
    /// group are overwritten.
    GroupDispatcher::Options Group;
  };

  ProxyService(boost::asio::io_context &Loop, Options Opts, Metrics &Meter);
  ~ProxyService();
  ProxyService(const ProxyService &) = delete;
  ProxyService &operator=(const ProxyService &) = delete;

  /// Makes \p Config active and returns true, unless its version or a later one
  /// is active already.
  bool applyConfig(std::shared_ptr<const ProxyConfig> Config);
  /// Records that the VM \p From announced the configuration \p Version.
  /// Returns whether this is the first sign of that version or a later one.
  bool recordAnnouncedConfig(std::uint64_t Version, const std::string &From,
                             TimePoint Now);
  const NewerConfigs &newerConfigs() const { return Newer; }
  /// Applies the registry's list of targets at \p Revision of the store.
  void applyTargets(const std::vector<TargetEntry> &Listed,
                    std::uint64_t Revision) {
    applyTargets(Listed, Revision, TargetDirectory::Source::Registry);
  }
  /// Records that the registry was read and still holds the list that was
  /// applied last.
  void confirmTargetsRead(TimePoint Now) { Directory.confirmList(Now); }
  /// Records since when targets leave, as a peer knows it.
  void recordDepartures(const std::vector<TargetDeparture> &Known);
  /// Returns since when listed targets leave, as far as known.
  std::vector<TargetDeparture> departures() const {
    return Directory.departures();
  }
  /// Returns whether a listed target leaves since an unknown time. It gets no
  /// new requests until a peer tells since when.
  bool lacksDeparture() const { return Directory.lacksDeparture(); }
  /// Sets the other live VMs, with which this one shares the connections of the
  /// targets.
  void setPeers(const std::vector<VmEntry> &LivePeers);
  /// Returns a number that increases whenever paths may have changed.
  std::uint64_t pathsVersion() const { return Plan.version() + TargetsUpdates; }
  /// Returns the live peer named \p Vm; empty if there is none.
  std::optional<VmEntry> findPeer(const std::string &Vm) const;
  /// Returns the names of the voters of \p Group: the VMs whose reports are
  /// counted when the VMs decide whether its primary is lost, because they
  /// connect to one of its targets without a relay. Empty if all VMs connect to
  /// one of them without a relay, so that every VM is a voter.
  std::set<std::string> votersFor(const std::string &Group) const;
  /// Returns the names of the VMs that relay to the primary of \p Group; empty
  /// if all VMs connect to it without a relay, or no primary is known.
  std::set<std::string> relaysToPrimary(const std::string &Group) const;
  /// Makes this VM connect to \p Instance without a relay, because a peer asks
  /// it to relay. Returns the dispatcher of \p Group; null if the instance is
  /// not known or this VM cannot reach it.
  GroupDispatcher *acceptRelay(const std::string &Group,
                               const std::string &Instance);

  /// Serves a caller on \p Socket, or closes it if MaxSessions are open.
  void accept(boost::asio::ip::tcp::socket Socket);

  /// Applies the time limits of sessions, groups, targets and the drain; called
  /// every few milliseconds.
  void sweep(TimePoint Now);

  /// Begins to drain, so that this VM can stop within \p Grace. Has no effect
  /// while it drains already.
  void beginDrain(Duration Grace);
  bool isDraining() const { return Drain.has_value(); }
  /// Returns whether the drain is complete: the balancer has had time to stop
  /// sending callers, no session is left or the drain has expired, and the loop
  /// has run since then, so that the last responses are sent.
  bool isDrained() const { return IsDrained; }
  /// Returns whether the time for the drain has passed.
  bool isDrainExpired(TimePoint Now) const {
    return Drain && Now >= Drain->end();
  }
  /// Returns whether callers can be served: a configuration is active, targets
  /// are known, and this VM is not draining.
  bool isReady() const;

  const ProxyConfig &config() const { return *Config; }
  std::shared_ptr<const ProxyConfig> sharedConfig() const { return Config; }
  /// Returns how many replicas of \p Group have received a commit before it is
  /// acknowledged; see GroupLimits.
  unsigned synchronousReplicas(const std::string &Group) const;
  GroupDispatcher *findGroup(const std::string &Group);
  const std::map<std::string, std::unique_ptr<GroupDispatcher>> &
  groups() const {
    return Groups;
  }
  std::uint64_t targetsRevision() const { return TargetsRevision; }
  /// Returns a hash of the listed targets, which is the same on all VMs with
  /// the same list.
  std::uint64_t targetsHash() const { return TargetsHash; }
  /// Records that the listed targets are still current at \p Revision.
  void confirmTargets(std::uint64_t Revision) { TargetsRevision = Revision; }
  /// Returns what this VM has applied and a peer lacks that has the
  /// configuration \p ConfigVersion and targets of \p TargetsOf; both are 0 for
  /// one that has nothing.
  ProxyState stateSince(std::uint64_t ConfigVersion,
                        std::uint64_t TargetsOf) const;
  /// Applies the targets of a peer's \p State. Returns false if they are
  /// changes that do not apply to this VM's targets.
  bool applyTargetsOf(const ProxyState &State);
  /// Sets the hook that is called after a new configuration has become active.
  void onConfig(std::function<void()> Hook) { ConfigHook = std::move(Hook); }
  /// Sets the hook that is called after the listed targets have changed.
  void onTargets(std::function<void()> Hook) { TargetsHook = std::move(Hook); }
  /// Sets the function with which groups query peers about their primaries; see
  /// GroupDispatcher::Options. Has no effect on groups that exist already.
  void setQueryPeers(
      std::function<void(const std::string &Group, const std::string &Instance)>
          Hook) {
    Opts.Group.QueryPeers = std::move(Hook);
  }
  /// Likewise, sets the functions of GroupDispatcher::Options that exchange
  /// votes and evidence for leases with other VMs.
  void setLeaseHooks(
      std::function<void(const std::string &Group, Term Leading)> RequestVotes,
      std::function<std::string(const std::string &Group)> FindLeasePeer,
      std::function<void(const std::string &Vm, const std::string &Group,
                         Term Leading)>
          RequestEvidence) {
    Opts.Group.RequestVotes = std::move(RequestVotes);
    Opts.Group.FindLeasePeer = std::move(FindLeasePeer);
    Opts.Group.RequestEvidence = std::move(RequestEvidence);
  }
  /// Sets the functions that ask for permits for operations; see
  /// CallerSession::Host.
  void setAdmit(decltype(CallerSession::Host::Admit) Admit,
                decltype(CallerSession::Host::CancelAdmit) Cancel,
                TimePoint PermitsExpectedAt = TimePoint()) {
    Host->Admit = std::move(Admit);
    Host->CancelAdmit = std::move(Cancel);
    Host->PermitsExpectedAt = PermitsExpectedAt;
  }
  std::size_t sessions() const { return Sessions.size(); }
  /// Sets the gauges of each group's connections, paths and waiting requests;
  /// called when the metrics are read. Costs O(targets).
  void publishConnections() const;

private:
  void applyTargets(const std::vector<TargetEntry> &Listed,
                    std::uint64_t Revision, TargetDirectory::Source From);
  /// Counts and logs a finished request.
  void recordRequest(const RequestReport &Report);
  /// Logs how many lines about requests were suppressed.
  void logSuppressedLines(TimePoint Now);
  /// Creates the dispatchers of new groups and sets the targets of all.
  void updateGroups();
  /// Sets the paths to all targets.
  void updatePaths();
  /// Sets the paths to the targets of \p Group.
  void updatePathsOf(GroupDispatcher &Group);
  /// Opens the sessions that have waited for the first configuration.
  void openWaitingSessions();
  /// Closes the idle sessions of databases and API keys that the active
  /// configuration no longer lists.
  void closeRemovedSessions();
  void sweepDrain(TimePoint Now);
  /// Returns whether a request that ends by \p Deadline may be run.
  bool mayRun(TimePoint Deadline) const;

  boost::asio::io_context &Loop;
  Options Opts;
  Metrics &Meter;
  std::shared_ptr<const ProxyConfig> Config;
  /// When Config came into force.
  TimePoint ConfigSince = BootClock::now();
  NewerConfigs Newer;
  std::shared_ptr<CallerSession::Host> Host;
  TargetDirectory Directory{TargetDirectory::Options{}};
  std::map<std::string, std::unique_ptr<GroupDispatcher>> Groups;
  std::set<std::shared_ptr<CallerSession>> Sessions;
  RelayPlan Plan;
  /// Whether Plan knows the VMs that share the targets' connections.
  bool KnowsPeers = false;
  /// Time before which a change of the peers does not change the paths, so that
  /// the paths are not computed once for each VM that starts.
  TimePoint NextPathUpdate;
  std::map<std::string, VmEntry> Peers;
  std::uint64_t TargetsRevision = 0;
  std::uint64_t TargetsHash = 0;
  TargetHistory History;
  std::function<void()> TargetsHook;
  /// Number of updates of the groups and their targets.
  std::uint64_t TargetsUpdates = 0;
  std::function<void()> ConfigHook;
  LogRateLimiter RequestLogLimiter;
  std::optional<DrainSchedule> Drain;
  /// Whether nothing was left to wait for at the last sweep of the drain.
  bool IsDrainOver = false;
  bool IsDrained = false;
};

} // namespace cicadawind

#endif
