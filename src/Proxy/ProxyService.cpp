// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Proxy/ProxyService.h"

#include "Net/LineStream.h"
#include "Observability/Log.h"
#include "Observability/Metrics.h"

#include <algorithm>
#include <utility>

namespace cicadawind {
namespace internal {

static const Log Logger("proxy");
/// Maximum number of log lines per second about requests with the same outcome:
/// about those that were served, and about others, which matter more.
constexpr unsigned ServedLinesPerSecond = 1;
constexpr unsigned UnservedLinesPerSecond = 100;
constexpr unsigned RefusedSessionLinesPerSecond = 1;
/// Maximum number of sessions closed in one sweep of a drain, so that not all
/// callers reconnect at the same time.
constexpr std::size_t MaxClosedPerSweep = 2;
/// Minimum time between two updates of all paths.
constexpr Duration PathUpdateInterval = std::chrono::milliseconds(100);

static std::string describe(const std::optional<ConnectionCount> &Connections) {
  if (!Connections)
    return {};
  return std::to_string(Connections->Open) + " of " +
         std::to_string(Connections->Allowed);
}

/// Returns the number of accounts; empty if they are not told apart.
static std::string describe(const AccountDirectory &Accounts) {
  return Accounts.isEnabled() ? std::to_string(Accounts.accounts().size())
                              : std::string();
}

static std::string millisSince(TimePoint Start, TimePoint Now) {
  return std::to_string(toMillis(Now - Start).count());
}

} // namespace internal

static RelayPlan::Options planOptions(const ProxyService::Options &Opts) {
  RelayPlan::Options Out;
  Out.Vm = Opts.Vm;
  Out.FailureDomain = Opts.FailureDomain;
  Out.Region = Opts.Region;
  Out.Regions = Opts.Regions;
  Out.PoolsScarceConnections = Opts.PoolsScarceConnections;
  return Out;
}

ProxyService::ProxyService(boost::asio::io_context &Loop, Options NewOpts,
                           Metrics &Meter)
    : Loop(Loop), Opts(std::move(NewOpts)), Meter(Meter),
      Config(std::make_shared<ProxyConfig>()),
      Host(std::make_shared<CallerSession::Host>()), Plan(planOptions(Opts)),
      KnowsPeers(!Opts.AwaitsPeers) {
  Host->Codec = Opts.Codec;
  Host->Config = [this]() -> const ProxyConfig & { return *Config; };
  Host->Group = [this](const std::string &Name) { return findGroup(Name); };
  Host->MayRun = [this](TimePoint Deadline) { return mayRun(Deadline); };
  Host->Report = [this](const RequestReport &Report) { recordRequest(Report); };
  Host->Ended = [this](const std::shared_ptr<CallerSession> &Session) {
    Sessions.erase(Session);
  };
}

ProxyService::~ProxyService() = default;

GroupDispatcher *ProxyService::findGroup(const std::string &Group) {
  auto It = Groups.find(Group);
  return It == Groups.end() ? nullptr : It->second.get();
}

GroupDispatcher *ProxyService::acceptRelay(const std::string &Group,
                                           const std::string &Instance) {
  GroupDispatcher *Found = findGroup(Group);
  if (!Found || !Found->findEntry(Instance) || Found->isUnreachable(Instance))
    return nullptr;
  Plan.recordRelayRequest(Instance, BootClock::now());
  if (!Found->isDirect(Instance))
    updatePathsOf(*Found);
  return Found;
}

bool ProxyService::applyConfig(std::shared_ptr<const ProxyConfig> Next) {
  if (Next->Version <= Config->Version)
    return false;
  std::shared_ptr<const ProxyConfig> Previous = std::exchange(Config, Next);
  ConfigSince = BootClock::now();
  std::string KnownMs;
  if (const NewerConfigs::Announcement *First = Newer.earliest()) {
    KnownMs = internal::millisSince(First->HeardAt, ConfigSince);
    Meter.observe("config_known_before_use_seconds",
                  ConfigSince - First->HeardAt);
  }
  Newer.recordActive(Config->Version);
  internal::Logger.info("configuration in force",
                        {{"version", std::to_string(Config->Version)},
                         {"before", std::to_string(Previous->Version)},
                         {"known_ms", KnownMs},
                         {"routes", std::to_string(Config->Routes.size())},
                         {"accounts", internal::describe(Config->Accounts)},
                         {"groups", std::to_string(Config->Groups.size())}});
  Meter.set("config_version", static_cast<double>(Config->Version));
  Plan.setServesAccounts(Config->Accounts.isEnabled());
  updateGroups();
  if (Previous->Version == 0)
    openWaitingSessions();
  closeRemovedSessions();
  if (ConfigHook)
    ConfigHook();
  return true;
}

bool ProxyService::recordAnnouncedConfig(std::uint64_t Version,
                                         const std::string &From,
                                         TimePoint Now) {
  return Newer.record(Version, Config->Version, From, Now);
}

void ProxyService::openWaitingSessions() {
  std::vector<std::shared_ptr<CallerSession>> Current(Sessions.begin(),
                                                      Sessions.end());
  for (const std::shared_ptr<CallerSession> &Session : Current)
    Session->retryOpen();
}

void ProxyService::closeRemovedSessions() {
  std::vector<std::shared_ptr<CallerSession>> Removed;
  for (const std::shared_ptr<CallerSession> &Session : Sessions)
    if (!Session->isPermitted())
      Removed.push_back(Session);
  for (const std::shared_ptr<CallerSession> &Session : Removed)
    Session->closeIfIdle();
}

void ProxyService::applyTargets(const std::vector<TargetEntry> &Listed,
                                std::uint64_t Revision,
                                TargetDirectory::Source From) {
  TargetsRevision = Revision;
  Directory.applyList(Listed, BootClock::now(), From);
  History.record(Directory.listed(), Revision);
  updateGroups();
  std::uint64_t Previous =
      std::exchange(TargetsHash, hashOf(Directory.listed()));
  if (TargetsHash != Previous && TargetsHook)
    TargetsHook();
}

void ProxyService::recordDepartures(const std::vector<TargetDeparture> &Known) {
  bool HasChanged = false;
  for (const TargetDeparture &Each : Known)
    HasChanged |= Directory.recordDeparture(Each);
  if (HasChanged)
    updateGroups();
}

void ProxyService::setPeers(const std::vector<VmEntry> &LivePeers) {
  std::size_t PreviousCount = Plan.vms();
  bool HasChanged = Plan.setPeers(LivePeers);
  if (!std::exchange(KnowsPeers, true))
    updatePaths();
  if (!HasChanged)
    return;
  Peers.clear();
  for (const VmEntry &Each : LivePeers)
    Peers[Each.Vm] = Each;
  if (Plan.vms() != PreviousCount)
    internal::Logger.info("number of VMs that share connections changed",
                          {{"count", std::to_string(Plan.vms())},
                           {"before", std::to_string(PreviousCount)}});
}

std::optional<VmEntry> ProxyService::findPeer(const std::string &Vm) const {
  auto It = Peers.find(Vm);
  if (It == Peers.end())
    return std::nullopt;
  return It->second;
}

static unsigned maxConnections(const ProxyConfig &Config,
                               const std::string &Group) {
  auto Limits = Config.Groups.find(Group);
  return Limits == Config.Groups.end() ? 0 : Limits->second.MaxConnections;
}

unsigned ProxyService::synchronousReplicas(const std::string &Group) const {
  auto Limits = Config->Groups.find(Group);
  return Limits == Config->Groups.end() ? 0
                                        : Limits->second.SynchronousReplicas;
}

std::set<std::string> ProxyService::votersFor(const std::string &Group) const {
  std::set<std::string> Out;
  auto Found = Groups.find(Group);
  if (Found == Groups.end())
    return Out;
  for (const TargetEntry &Entry : Found->second->entries()) {
    std::set<std::string> Relays =
        Plan.relaysOf(Entry, maxConnections(*Config, Group));
    if (Relays.empty())
      return {};
    Out.merge(Relays);
  }
  return Out;
}

std::set<std::string>
ProxyService::relaysToPrimary(const std::string &Group) const {
  auto Found = Groups.find(Group);
  if (Found == Groups.end())
    return {};
  const TargetEntry *Primary =
      Found->second->findEntry(Found->second->tracker().primary());
  if (!Primary)
    return {};
  return Plan.relaysOf(*Primary, maxConnections(*Config, Group));
}

void ProxyService::updatePaths() {
  for (auto &[Name, Group] : Groups)
    updatePathsOf(*Group);
}

void ProxyService::updatePathsOf(GroupDispatcher &Group) {
  unsigned Connections = maxConnections(*Config, Group.group());
  if (Connections == 0 || !KnowsPeers)
    return;
  std::map<std::string, TargetPath> Paths;
  bool IsVoter = false;
  for (const TargetEntry &Entry : Group.entries()) {
    TargetPath Path = Plan.pathTo(Entry, Connections);
    IsVoter |= Path.Direct;
    Paths[Entry.Instance] = std::move(Path);
  }
  Group.setPaths(Paths, IsVoter);
}

void ProxyService::updateGroups() {
  ++TargetsUpdates;
  for (const auto &[Name, Limits] : Config->Groups) {
    if (Groups.count(Name))
      continue;
    GroupDispatcher::Options GroupOpts = Opts.Group;
    GroupOpts.Codec = Opts.Codec;
    GroupOpts.Group = Name;
    GroupOpts.FailureDomain = Opts.FailureDomain;
    GroupOpts.Region = Opts.Region;
    GroupOpts.Regions = Opts.Regions;
    GroupOpts.Random = Opts.Random;
    GroupOpts.FindRelay = [this](const std::string &Vm) {
      return findPeer(Vm);
    };
    GroupOpts.OnRelayFailed = [this](const std::string &Vm) {
      Plan.markUnreachable(Vm, BootClock::now());
    };
    GroupOpts.OnSlowStart = [this](const char *Effect) {
      Meter.count("slow_start_statements_total", {{"effect", Effect}});
    };
    Groups[Name] = std::make_unique<GroupDispatcher>(Loop, GroupOpts);
  }
  for (auto &[Name, Group] : Groups)
    Group->setTargets(Directory.ofGroup(Name));
  updatePaths();
}

void ProxyService::accept(boost::asio::ip::tcp::socket Socket) {
  if (Sessions.size() >= Opts.MaxSessions) {
    Meter.count("sessions_refused_total");
    if (RequestLogLimiter.allow("session refused",
                                internal::RefusedSessionLinesPerSecond,
                                BootClock::now()))
      internal::Logger.warning("session refused",
                               {{"why", "too many sessions"},
                                {"most", std::to_string(Opts.MaxSessions)}});
    return;
  }
  LineStream::Options StreamOpts;
  // MaxMessageBytes limits the text of a request; its id and verb come on top
  // of that.
  constexpr std::size_t HeaderAllowance = 1024;
  StreamOpts.MaxLineBytes = Config->Callers.MaxMessageBytes + HeaderAllowance;
  auto Stream = LineStream::accepted(std::move(Socket), StreamOpts);
  auto Session = std::make_shared<CallerSession>(std::move(Stream), Host);
  Sessions.insert(Session);
  Session->start();
}

void ProxyService::recordRequest(const RequestReport &Report) {
  MetricLabels Labels{{"kind", Report.Kind},
                      {"outcome", Report.Outcome},
                      {"code", Report.Code}};
  Meter.count("requests_total", Labels);
  Meter.observe("request_seconds", Report.Latency, {{"kind", Report.Kind}});
  TimePoint Now = BootClock::now();
  bool Served = Report.Outcome == "ok";
  unsigned PerSecond = Served ? internal::ServedLinesPerSecond
                              : internal::UnservedLinesPerSecond;
  if (!RequestLogLimiter.allow(Report.Outcome, PerSecond, Now))
    return;
  const NewerConfigs::Announcement *First = Newer.earliest();
  internal::Logger.info(
      Served ? "request served" : "request not served",
      {{"id", Report.Id},
       {"database", Report.Database},
       {"group", Report.Group},
       {"account", Report.Account},
       {"kind", Report.Kind},
       {"outcome", Report.Outcome},
       {"code", Report.Code},
       {"why", Report.Reason},
       {"target", Report.Instance},
       {"attempts", std::to_string(Report.Attempts)},
       {"tries", Report.FailedAttempts},
       {"at_least", Report.MinPosition},
       {"proof_age_ms", Report.ProofAge
                            ? std::to_string(toMillis(*Report.ProofAge).count())
                            : std::string()},
       {"connections", internal::describe(Report.Connections)},
       {"config", std::to_string(Config->Version)},
       {"config_age_ms", internal::millisSince(ConfigSince, Now)},
       {"newer_config",
        First ? std::to_string(Newer.highest()->Version) : std::string()},
       {"newer_known_ms",
        First ? internal::millisSince(First->HeardAt, Now) : std::string()},
       {"took_ms", std::to_string(toMillis(Report.Latency).count())}});
}

void ProxyService::publishConnections() const {
  for (const auto &[Name, Group] : Groups) {
    std::size_t Relayed = 0;
    for (const TargetEntry &Entry : Group->entries())
      Relayed += Group->isDirect(Entry.Instance) ? 0 : 1;
    ConnectionCount Connections = Group->connectionCount();
    MetricLabels Labels{{"group", Name}};
    Meter.set("targets_relayed", static_cast<double>(Relayed), Labels);
    Meter.set("connections_open", static_cast<double>(Connections.Open),
              Labels);
    Meter.set("connections_allowed", static_cast<double>(Connections.Allowed),
              Labels);
    Meter.set("requests_waiting", static_cast<double>(Group->waiting()),
              Labels);
  }
}

void ProxyService::logSuppressedLines(TimePoint Now) {
  for (const auto &[Kind, Count] : RequestLogLimiter.takeSuppressed(Now)) {
    Meter.count("log_lines_left_out_total", {{"kind", Kind}},
                static_cast<double>(Count));
    internal::Logger.info(
        "request lines left out",
        {{"outcome", Kind}, {"count", std::to_string(Count)}});
  }
}

void ProxyService::sweep(TimePoint Now) {
  if (Directory.expire(Now))
    updateGroups();
  if (Now >= NextPathUpdate && Plan.sweep(Now)) {
    NextPathUpdate = Now + internal::PathUpdateInterval;
    updatePaths();
  }
  std::vector<std::shared_ptr<CallerSession>> Current(Sessions.begin(),
                                                      Sessions.end());
  for (const std::shared_ptr<CallerSession> &Session : Current)
    Session->sweep(Now);
  for (auto &[Name, Group] : Groups)
    Group->sweep(Now);
  if (Drain)
    sweepDrain(Now);
  logSuppressedLines(Now);
}

void ProxyService::beginDrain(Duration Grace) {
  if (Drain)
    return;
  Drain.emplace(BootClock::now(), Grace);
  Plan.setLeaving();
  internal::Logger.info("leaving",
                        {{"sessions", std::to_string(Sessions.size())}});
}

void ProxyService::sweepDrain(TimePoint Now) {
  std::vector<std::shared_ptr<CallerSession>> Current(Sessions.begin(),
                                                      Sessions.end());
  std::size_t Closed = 0;
  for (const std::shared_ptr<CallerSession> &Session : Current) {
    if (!Drain->isFirstHalf(Now) && Session->hasTransaction())
      Session->endIdleTransaction("this VM leaves");
    if (Closed < internal::MaxClosedPerSweep && Session->closeIfUnused(Now))
      ++Closed;
  }
  bool IsOver = Drain->isOver(Now, !Sessions.empty());
  IsDrained = std::exchange(IsDrainOver, IsOver) && IsOver;
}

bool ProxyService::mayRun(TimePoint Deadline) const {
  return !Drain || Drain->mayRun(BootClock::now(), Deadline);
}

ProxyState ProxyService::stateSince(std::uint64_t ConfigVersion,
                                    std::uint64_t TargetsOf) const {
  ProxyState Out;
  if (Config->Version > ConfigVersion)
    Out.Config = *Config;
  Out.TargetsRevision = TargetsRevision;
  Out.TargetsHash = TargetsHash;
  std::optional<TargetChanges> Changes = History.changesSince(TargetsOf);
  if (!Changes) {
    Out.Targets = Directory.listed();
    return Out;
  }
  Out.Base = TargetsOf;
  Out.Targets = std::move(Changes->Changed);
  Out.Removed = std::move(Changes->Removed);
  return Out;
}

bool ProxyService::applyTargetsOf(const ProxyState &State) {
  if (!State.Base) {
    applyTargets(State.Targets, State.TargetsRevision,
                 TargetDirectory::Source::Peer);
    return true;
  }
  if (*State.Base != TargetsRevision)
    return false;
  std::vector<TargetEntry> Listed = applyChanges(
      Directory.listed(), {.Changed = State.Targets, .Removed = State.Removed});
  // A target that changed twice between two lists of the peer is missing in
  // its changes, although this VM may have the state in between.
  if (hashOf(Listed) != State.TargetsHash)
    return false;
  applyTargets(Listed, State.TargetsRevision, TargetDirectory::Source::Peer);
  return true;
}

bool ProxyService::isReady() const {
  if (Drain || Config->Version == 0)
    return false;
  return Directory.size() != 0;
}

} // namespace cicadawind
