// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Pooler/PoolerService.h"

#include "Observability/Metrics.h"
#include "Peers/PeerNode.h"
#include "Pooler/TargetPool.h"
#include "Targets/DatabaseGroup.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace cicadawind {
namespace internal {

constexpr Duration MaintainPeriod = std::chrono::milliseconds(250);
/// Owners of a target that are asked for a term record.
constexpr std::size_t PeersAsked = 2;
/// Pause between walks over all targets without a change of members.
constexpr Duration OwnershipPeriod = std::chrono::seconds(5);
/// Connections to a target that another pooler owns are kept this long.
constexpr Duration ReleaseAfter = std::chrono::seconds(3);
/// Age beyond the accepted one that newer evidence may take away.
constexpr Duration EvidenceMargin = std::chrono::milliseconds(150);
constexpr Duration RankStep = std::chrono::milliseconds(150);

static std::string poolKey(const std::string &Database,
                           const std::string &Target) {
  return Database + "/" + Target;
}

} // namespace internal

PoolerService::PoolerService(boost::asio::io_context &Loop, Options NewOpts,
                             PeerNode &Peers, DatabaseGroup &Group,
                             ObjectStore &Store, Metrics &Meter)
    : Loop(Loop), Opts(std::move(NewOpts)), Peers(Peers), Group(Group),
      Store(Store), Meter(Meter) {
  Peers.history().onChange([this](const ServiceConfig &) { reconfigure(); });
  registerMethods();
}

PoolerService::~PoolerService() = default;

void PoolerService::start() { spawn(Loop, maintainLoop()); }

void PoolerService::registerMethods() {
  Peers.rpc().add("peer.term", [this](const nlohmann::json &Params) {
    nlohmann::json Out = nlohmann::json::object();
    auto It = Monitors.find(Params.at("database").get<std::string>());
    if (It != Monitors.end() && It->second->control().record())
      Out["record"] = encodeTermRecord(*It->second->control().record());
    return Out;
  });
}

boost::asio::awaitable<std::optional<TermRecord>>
PoolerService::askPeers(std::string Database) {
  std::set<std::string> Addresses;
  auto It = Peers.history().config().Databases.find(Database);
  if (It == Peers.history().config().Databases.end())
    co_return std::nullopt;
  TimePoint Now = BootClock::now();
  for (const auto &[Name, Target] : It->second.Targets) {
    std::vector<VmEntry> Owners = Peers.members().ownersOf(
        Name, Target.FailureDomain, Target.Region, Now, internal::PeersAsked);
    for (const VmEntry &Owner : Owners)
      if (Owner.Vm != Opts.Vm)
        Addresses.insert(Owner.PoolerPeer);
  }
  std::optional<TermRecord> Best;
  for (const std::string &Address : Addresses) {
    nlohmann::json Params{{"database", Database}};
    nlohmann::json Answer =
        co_await Peers.callPeer(Address, "peer.term", std::move(Params));
    if (!Answer.is_object() || !Answer.contains("record"))
      continue;
    Result<TermRecord> Told =
        decodeTermRecord(Answer["record"].get<std::string>());
    if (errorOf(Told))
      continue;
    if (!Best || valueOf(Told).Current > Best->Current)
      Best = valueOf(Told);
  }
  co_return Best;
}

Duration PoolerService::rankDelay(const DatabaseConfig &Database) const {
  std::vector<std::string> Vms;
  TimePoint Now = BootClock::now();
  for (const auto &[Name, Target] : Database.Targets) {
    std::vector<VmEntry> Owners = Peers.members().ownersOf(
        Name, Target.FailureDomain, Target.Region, Now);
    if (!Owners.empty())
      Vms.push_back(Owners.front().Vm);
  }
  auto It = std::find(Vms.begin(), Vms.end(), Opts.Vm);
  return internal::RankStep * (It - Vms.begin());
}

std::shared_ptr<GroupMonitor>
PoolerService::monitorOf(const std::string &Database) {
  LastUse[Database] = BootClock::now();
  auto It = Monitors.find(Database);
  if (It != Monitors.end())
    return It->second;
  const auto &Databases = Peers.history().config().Databases;
  auto Config = Databases.find(Database);
  if (Config == Databases.end())
    return nullptr;
  GroupMonitor::Options MonitorOpts;
  MonitorOpts.Control.Claimant = Opts.Vm;
  MonitorOpts.Control.PromotionChart = Opts.Charts.Promotion;
  MonitorOpts.Control.Random = Opts.Random;
  MonitorOpts.Control.Trigger.SuspectAfter = Opts.SuspectAfter;
  MonitorOpts.Control.Trigger.RankDelay = rankDelay(Config->second);
  auto Monitor = std::make_shared<GroupMonitor>(Loop, MonitorOpts, Group, Store,
                                                Meter, Config->second);
  Monitor->setPeerRecordHook(
      [this](std::string Name) { return askPeers(std::move(Name)); });
  Monitors[Database] = Monitor;
  Monitor->start();
  return Monitor;
}

std::shared_ptr<TargetPool> PoolerService::poolOf(const std::string &Database,
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

void PoolerService::reconfigure() {
  const ServiceConfig &Config = Peers.history().config();
  TimePoint Now = BootClock::now();
  std::erase_if(Monitors, [&](auto &Row) {
    auto It = Config.Databases.find(Row.first);
    if (It == Config.Databases.end()) {
      Row.second->stop();
      return true;
    }
    Row.second->reconfigure(It->second);
    return false;
  });
  std::erase_if(Pools, [&](auto &Row) {
    const TargetConfig &Old = Row.second->target();
    std::string Database = Row.first.substr(0, Row.first.find('/'));
    const TargetConfig *New = Config.findTarget(Database, Old.Name);
    bool Same = New && New->Address == Old.Address && New->Slots == Old.Slots;
    if (Same)
      Row.second->reconfigure(*New);
    else
      Row.second->stop();
    return !Same;
  });
  for (const auto &[Name, Database] : Config.Databases)
    for (const auto &[TargetName, Target] : Database.Targets) {
      std::string Key = internal::poolKey(Name, TargetName);
      if (Target.Leaving)
        LeavingSince.try_emplace(Key, Now);
      else
        LeavingSince.erase(Key);
    }
  takeOwnership();
  maintain();
}

boost::asio::awaitable<void> PoolerService::maintainLoop() {
  for (;;) {
    co_await sleepFor(internal::MaintainPeriod);
    maintain();
  }
}

void PoolerService::takeOwnership() {
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
  OwnedSince = Now;
}

void PoolerService::maintain() {
  TimePoint Now = BootClock::now();
  // Walking all targets is kept to changes, and to the end of suspicions.
  bool Outdated = OwnedVersion != Peers.members().version() ||
                  Now - OwnedSince > internal::OwnershipPeriod;
  if (Outdated)
    takeOwnership();
  for (const auto &[Database, Target] : Owned) {
    monitorOf(Database);
    poolOf(Database, Target);
  }
  for (const auto &[Name, Monitor] : Monitors)
    requestHandover(*Monitor);
  std::erase_if(Monitors, [&](auto &Row) {
    if (Now - LastUse[Row.first] < Opts.UnusedLimit)
      return false;
    Row.second->stop();
    return true;
  });
  releasePools(Now);
  endTransactions(Now);
}

void PoolerService::releasePools(TimePoint Now) {
  // The new owner can open connections only as the old one lets go.
  std::erase_if(Pools, [&](auto &Row) {
    const std::string &Key = Row.first;
    bool Mine = std::any_of(Owned.begin(), Owned.end(), [&](const auto &Own) {
      return internal::poolKey(Own.first, Own.second) == Key;
    });
    bool Used = Now - Row.second->lastUse() < internal::ReleaseAfter;
    if (Mine || Used)
      return false;
    Row.second->stop();
    return true;
  });
}

void PoolerService::requestHandover(GroupMonitor &Monitor) {
  std::string Primary = Monitor.control().primary();
  const auto &Targets = Monitor.config().Targets;
  auto It = Targets.find(Primary);
  bool Leaves = It != Targets.end() && It->second.Leaving;
  Monitor.control().requestHandover(Leaves ? Primary : std::string());
}

void PoolerService::endTransactions(TimePoint Now) {
  Duration IdleLimit = Peers.history().config().Limits.IdleTransaction;
  for (const std::string &Id : Transactions.idleSince(Now - IdleLimit))
    Transactions.end(Id, "idle_limit",
                     "rolled back after the idle limit of transactions", Now);
  if (DrainLimit && Now >= *DrainLimit)
    for (const std::string &Id : Transactions.all())
      Transactions.end(Id, "drain_limit",
                       "rolled back at the drain limit of a planned stop", Now);
  Transactions.forget(Now);
}

void PoolerService::drain(TimePoint Limit) {
  if (DrainStart)
    return;
  DrainStart = BootClock::now();
  DrainLimit = Limit;
}

Result<PoolerService::Place>
PoolerService::locate(const ExecuteRequest &Request) {
  if (!Peers.hasNote())
    return Error{.Code = ErrorCode::NoReleaseNote,
                 .Message = "no release note is in force here yet"};
  Place At;
  At.Monitor = monitorOf(Request.Database);
  if (At.Monitor)
    At.Pool = poolOf(Request.Database, Request.Target);
  if (!At.Monitor || !At.Pool)
    return Error{.Code = ErrorCode::UnknownDatabase,
                 .Message = "no such database or target in force"};
  return At;
}

Status PoolerService::checkLeaving(const Place &At) const {
  TimePoint Now = BootClock::now();
  if (DrainStart && Now - *DrainStart > Opts.LeaveGrace)
    return Error{.Code = ErrorCode::Leaving, .Message = "this VM is leaving"};
  const TargetConfig &Target = At.Pool->target();
  auto It = LeavingSince.find(
      internal::poolKey(At.Monitor->config().Name, Target.Name));
  if (It != LeavingSince.end() && Now - It->second > Opts.LeaveGrace)
    return Error{.Code = ErrorCode::Leaving,
                 .Message = "the target is leaving"};
  return std::monostate();
}

Status PoolerService::checkPrimary(const Place &At,
                                   const std::string &Target) const {
  if (!At.Monitor->control().isPrimary(Target))
    return Error{.Code = ErrorCode::NotPrimary,
                 .Message = "the target is not the primary"};
  if (!At.Monitor->leaseValid())
    return Error{.Code = ErrorCode::LeaseLost,
                 .Message = "a majority of the database's instances cannot "
                            "be reached, so nothing may be acknowledged"};
  return std::monostate();
}

Status PoolerService::checkPosition(const Place &At,
                                    LogPosition AtLeast) const {
  if (AtLeast == LogPosition())
    return std::monostate();
  const std::optional<TermRecord> &Record = At.Monitor->control().record();
  PositionFate Fate = Record ? Record->fateOf(AtLeast) : PositionFate::Unknown;
  if (Fate == PositionFate::Survives)
    return std::monostate();
  bool Older =
      Record && Record->isOpen() && AtLeast.WrittenIn < Record->Current;
  if (Fate == PositionFate::Discarded || Older)
    return Error{.Code = ErrorCode::PositionLost,
                 .Message = "the session has seen a write that did not "
                            "survive a change of primary"};
  return Error{.Code = ErrorCode::StaleTerm,
               .Message = "this pooler does not know the session's term yet"};
}

void PoolerService::fillPrimary(const Place &At, ExecuteAnswer &Out) const {
  Out.FromPrimary = true;
  Out.EvidenceAt = At.Monitor->control().leaseAnchor();
  Out.LeaseLength = toMillis(At.Monitor->control().leaseLength());
}

boost::asio::awaitable<ExecuteAnswer>
PoolerService::serve(ExecuteRequest Request) {
  TimePoint Start = BootClock::now();
  ++Serving;
  std::string Database = Request.Database;
  ExecuteAnswer Answer = co_await dispatch(std::move(Request));
  --Serving;
  // Handled is taken first: a pause from here on counts as travel time.
  Answer.Handled = toMillis(BootClock::now() - Start);
  if (Answer.EvidenceAt != TimePoint())
    Answer.EvidenceAge =
        toMillis(BootClock::now() - Answer.EvidenceAt) + Millis(1);
  auto It = Monitors.find(Database);
  if (It != Monitors.end())
    Answer.View = It->second->view();
  std::string Verdict =
      Answer.Failure ? std::string(toString(Answer.Failure->Outcome)) : "ran";
  std::string Code =
      Answer.Failure ? std::string(toString(Answer.Failure->Code)) : "ok";
  Meter.count("requests_total", {{"verdict", Verdict}, {"code", Code}});
  Meter.observe(
      "request_seconds",
      std::chrono::duration<double>(BootClock::now() - Start).count());
  co_return Answer;
}

boost::asio::awaitable<ExecuteAnswer>
PoolerService::dispatch(ExecuteRequest Request) {
  switch (Request.Action) {
  case ExecuteAction::Begin:
    co_return co_await begin(std::move(Request));
  case ExecuteAction::Commit:
    co_return co_await commit(std::move(Request));
  case ExecuteAction::Rollback:
    co_return co_await rollback(std::move(Request));
  case ExecuteAction::Confirm:
    co_return co_await confirm(std::move(Request));
  case ExecuteAction::Statement:
    break;
  }
  if (!Request.Transaction.empty())
    co_return co_await inTransaction(std::move(Request));
  co_return co_await statement(std::move(Request));
}

boost::asio::awaitable<ExecuteAnswer>
PoolerService::statement(ExecuteRequest Request) {
  ExecuteAnswer Out;
  Result<Place> At = locate(Request);
  if (const Error *E = errorOf(At)) {
    Out.Failure = *E;
    co_return Out;
  }
  Status Leaving = checkLeaving(valueOf(At));
  if (const Error *E = errorOf(Leaving)) {
    Out.Failure = *E;
    co_return Out;
  }
  Status Position = checkPosition(valueOf(At), Request.Need.AtLeast);
  if (const Error *E = errorOf(Position)) {
    Out.Failure = *E;
    co_return Out;
  }
  bool OnPrimary = Request.Kind == StatementKind::Write ||
                   Request.Need.needsPrimary() ||
                   valueOf(At).Monitor->control().isPrimary(Request.Target);
  if (OnPrimary)
    co_return co_await usePrimary(std::move(Request), valueOf(At));
  co_return co_await readReplica(std::move(Request), valueOf(At));
}

boost::asio::awaitable<Result<StatementAnswer>>
PoolerService::runInSlot(std::shared_ptr<TargetPool> Pool,
                         ExecuteRequest Request, Term Believed,
                         TimePoint Deadline, Millis &Queued) {
  TimePoint Start = BootClock::now();
  Result<WorkId> Slot = co_await Pool->enter(shapeOf(Request.Statement),
                                             Request.Caller, Deadline);
  Queued = toMillis(BootClock::now() - Start);
  if (const Error *E = errorOf(Slot))
    co_return *E;
  Result<std::unique_ptr<PooledConnection>> Connection =
      co_await Pool->borrow(Deadline);
  if (const Error *E = errorOf(Connection)) {
    Pool->leave(valueOf(Slot), Duration::zero());
    co_return *E;
  }
  PooledConnection &Lent = *valueOf(Connection);
  StatementCall Call{.Id = Request.Id,
                     .Text = Request.Statement,
                     .Kind = Request.Kind,
                     .Believed = Believed,
                     .IdempotencyKey = Request.IdempotencyKey};
  TimePoint Sent = BootClock::now();
  Result<StatementAnswer> Answer =
      co_await Pool->runOn(Lent, std::move(Call), Deadline);
  Pool->leave(valueOf(Slot), BootClock::now() - Sent);
  const StatementAnswer *Clean = std::get_if<StatementAnswer>(&Answer);
  Lent.walk().fire(Clean && Clean->Tainted ? "taint" : "answered");
  Pool->giveBack(std::move(valueOf(Connection)));
  co_return Answer;
}

boost::asio::awaitable<ExecuteAnswer>
PoolerService::usePrimary(ExecuteRequest Request, Place At) {
  ExecuteAnswer Out;
  TimePoint Deadline = BootClock::now() + Request.Left;
  Status Primary = checkPrimary(At, Request.Target);
  bool Write = Request.Kind == StatementKind::Write;
  if (!errorOf(Primary) && Write && At.Monitor->writesPaused())
    Primary = Error{.Code = ErrorCode::LeaseLost,
                    .Message = "the primary is being handed over"};
  if (const Error *E = errorOf(Primary)) {
    Out.Failure = *E;
    co_return Out;
  }
  Term Believed = At.Monitor->view().Current;
  Result<StatementAnswer> Answer =
      co_await runInSlot(At.Pool, Request, Believed, Deadline, Out.Queued);
  if (const Error *E = errorOf(Answer)) {
    Out.Failure = *E;
    co_return Out;
  }
  Out.Rows = std::move(valueOf(Answer).Rows);
  Out.Position = valueOf(Answer).Position;
  // Reads wait as well: what they saw must not be lost in a promotion.
  Status Confirmed = std::monostate();
  if (Out.Position != LogPosition())
    Confirmed = co_await At.Monitor->confirm(Out.Position, Deadline);
  else
    Confirmed = checkPrimary(At, Request.Target);
  if (const Error *E = errorOf(Confirmed)) {
    Out.Failure = *E;
    Out.Failure->Outcome = Verdict::MayHaveRun;
    co_return Out;
  }
  fillPrimary(At, Out);
  co_return Out;
}

boost::asio::awaitable<Status>
PoolerService::awaitReplica(const ExecuteRequest &Request, Place At,
                            TimePoint Deadline) {
  TimePoint Now = BootClock::now();
  TimePoint End = std::min(Deadline, Now + Opts.CatchUpWait);
  bool Refreshed = false;
  for (;;) {
    std::optional<InstanceReport> Report =
        At.Monitor->control().reportOf(Request.Target);
    const std::optional<TermRecord> &Record = At.Monitor->control().record();
    bool InTerm = Report && Record && Record->isOpen() &&
                  Report->Promised == Record->Current;
    if (!InTerm)
      co_return Error{.Code = ErrorCode::ReplicaBehind,
                      .Message = "the replica has not joined the term"};
    // The report may lag behind the replica; the answer is checked again.
    std::optional<Duration> Age = At.Monitor->ageOf(Report->Applied);
    bool Fresh = Age && *Age <= Request.Need.AcceptedAge;
    bool Covers = Report->Applied.Index >= Request.Need.AtLeast.Index;
    if (Fresh && Covers)
      co_return std::monostate();
    Now = BootClock::now();
    if (Now >= End)
      co_return Error{.Code = ErrorCode::ReplicaBehind,
                      .Message = "the replica's data is older than the read "
                                 "accepts"};
    // Newer evidence can show that the data is as young as needed.
    bool Marginal =
        Age && *Age <= Request.Need.AcceptedAge + internal::EvidenceMargin;
    if (!Fresh && Marginal && !Refreshed) {
      Refreshed = true;
      co_await At.Monitor->refreshEvidence();
      continue;
    }
    co_await At.Monitor->waitForChange(End - Now);
  }
}

Status PoolerService::checkReplicaAnswer(const ExecuteRequest &Request,
                                         const Place &At,
                                         const StatementAnswer &Answer,
                                         ExecuteAnswer &Out) const {
  const std::optional<TermRecord> &Record = At.Monitor->control().record();
  bool SameTerm = Record && Answer.RanIn == Record->Current;
  std::optional<Duration> Age = At.Monitor->ageOf(Answer.Position);
  bool Covers = Answer.Position.Index >= Request.Need.AtLeast.Index;
  bool Fresh = Age && *Age <= Request.Need.AcceptedAge;
  if (!SameTerm || !Covers || !Fresh)
    return Error{.Code = ErrorCode::ReplicaBehind,
                 .Outcome = Verdict::MayHaveRun,
                 .Message = "the replica's answer was older than accepted"};
  Out.EvidenceAt = BootClock::now() - *Age;
  return std::monostate();
}

void PoolerService::tellReplicaState(const std::string &Target, const Place &At,
                                     ExecuteAnswer &Out) {
  std::optional<InstanceReport> Report = At.Monitor->control().reportOf(Target);
  if (!Report)
    return;
  std::optional<Duration> Age = At.Monitor->ageOf(Report->Applied);
  if (!Age)
    return;
  Out.Position = Report->Applied;
  Out.EvidenceAt = BootClock::now() - *Age;
}

boost::asio::awaitable<ExecuteAnswer>
PoolerService::readReplica(ExecuteRequest Request, Place At) {
  ExecuteAnswer Out;
  TimePoint Deadline = BootClock::now() + Request.Left;
  Status Ready = co_await awaitReplica(Request, At, Deadline);
  if (const Error *E = errorOf(Ready)) {
    Out.Failure = *E;
    tellReplicaState(Request.Target, At, Out);
    co_return Out;
  }
  Term Believed = At.Monitor->view().Current;
  Result<StatementAnswer> Answer =
      co_await runInSlot(At.Pool, Request, Believed, Deadline, Out.Queued);
  if (const Error *E = errorOf(Answer)) {
    Out.Failure = *E;
    co_return Out;
  }
  Status Checked = checkReplicaAnswer(Request, At, valueOf(Answer), Out);
  if (const Error *E = errorOf(Checked)) {
    Out.Failure = *E;
    co_return Out;
  }
  Out.Rows = std::move(valueOf(Answer).Rows);
  Out.Position = valueOf(Answer).Position;
  co_return Out;
}

boost::asio::awaitable<ExecuteAnswer>
PoolerService::confirm(ExecuteRequest Request) {
  ExecuteAnswer Out;
  Result<Place> At = locate(Request);
  if (const Error *E = errorOf(At)) {
    Out.Failure = *E;
    co_return Out;
  }
  TimePoint Deadline = BootClock::now() + Request.Left;
  Status Confirmed =
      co_await valueOf(At).Monitor->confirm(Request.Need.AtLeast, Deadline);
  if (const Error *E = errorOf(Confirmed)) {
    Out.Failure = *E;
    co_return Out;
  }
  Out.Position = Request.Need.AtLeast;
  fillPrimary(valueOf(At), Out);
  co_return Out;
}

nlohmann::json PoolerService::status() const {
  nlohmann::json Databases = nlohmann::json::array();
  for (const auto &[Name, Monitor] : Monitors) {
    GroupView View = Monitor->view();
    Databases.push_back({{"database", Name},
                         {"term", View.Current},
                         {"primary", View.Primary},
                         {"lease", Monitor->leaseValid()}});
  }
  nlohmann::json Owned = nlohmann::json::array();
  for (const auto &[Key, Pool] : Pools)
    Owned.push_back({{"target", Key},
                     {"connections", Pool->connections()},
                     {"queued", Pool->queued()}});
  return {{"databases", Databases},
          {"targets", Owned},
          {"in_flight", Serving},
          {"transactions", Transactions.size()}};
}

} // namespace cicadawind
