// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Pooler/GroupMonitor.h"

#include "Observability/Metrics.h"
#include "Platform/ObjectStore.h"
#include "Targets/DatabaseGroup.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace cicadawind {
namespace internal {

static const std::string TermKind = "terms";
constexpr Duration ReportPause = std::chrono::milliseconds(40);
constexpr Duration RefreshPause = std::chrono::milliseconds(100);
/// Period of re-reading the record while it does not name a primary.
constexpr Duration RefreshPeriod = std::chrono::milliseconds(500);
/// A hand-over pauses writes for this part of each period until it succeeds.
constexpr Duration HandoverPause = std::chrono::milliseconds(300);
constexpr Duration HandoverPeriod = std::chrono::seconds(3);

} // namespace internal

GroupMonitor::GroupMonitor(boost::asio::io_context &Loop, Options NewOpts,
                           DatabaseGroup &Group, ObjectStore &Store,
                           Metrics &Meter, DatabaseConfig NewConfig)
    : Loop(Loop), Opts(std::move(NewOpts)), Group(Group), Store(Store),
      Meter(Meter), Config(std::move(NewConfig)), Trigger(Opts.Trigger),
      Changed(Loop) {}

void GroupMonitor::start() {
  spawn(Loop, tickLoop());
  reconfigure(Config);
}

void GroupMonitor::stop() {
  Stopped = true;
  Changed.notifyAll();
}

void GroupMonitor::reconfigure(const DatabaseConfig &NewConfig) {
  bool SameTargets = true;
  for (const auto &[Name, Target] : NewConfig.Targets) {
    auto Old = Config.Targets.find(Name);
    SameTargets = SameTargets && Old != Config.Targets.end() &&
                  Old->second.Address == Target.Address;
  }
  Config = NewConfig;
  if (!SameTargets) {
    ++Generation;
    Watched.clear();
  }
  for (const auto &[Name, Target] : Config.Targets)
    if (Watched.insert(Name).second)
      spawn(Loop, watchInstance(Name, Generation));
}

std::vector<std::string> GroupMonitor::memberNames() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Target] : Config.Targets)
    Names.push_back(Name);
  return Names;
}

std::string GroupMonitor::addressOf(const std::string &Instance) const {
  auto It = Config.Targets.find(Instance);
  return It == Config.Targets.end() ? std::string() : It->second.Address;
}

GroupView GroupMonitor::view() const {
  if (!Record)
    return {};
  return GroupView{.Current = Record->Current,
                   .Primary =
                       Record->isOpen() ? Record->Primary : std::string()};
}

bool GroupMonitor::isPrimary(const std::string &Instance) const {
  return Record && Record->isOpen() && Record->Primary == Instance;
}

bool GroupMonitor::leaseValid() const {
  return Lease && Lease->validAt(BootClock::now());
}

Duration GroupMonitor::leaseAge() const {
  return Lease ? BootClock::now() - Lease->anchor() : Duration::max();
}

std::optional<InstanceReport>
GroupMonitor::reportOf(const std::string &Instance) const {
  auto It = Reports.find(Instance);
  if (It == Reports.end())
    return std::nullopt;
  return It->second;
}

std::optional<Duration> GroupMonitor::ageOf(LogPosition Position) const {
  if (!Record || fateOf(Position) != PositionFate::Survives)
    return std::nullopt;
  return Marks.ageOf(Position.Index, BootClock::now());
}

boost::asio::awaitable<void> GroupMonitor::waitForChange(Duration Limit) {
  co_await Changed.wait(Limit);
}

PositionFate GroupMonitor::fateOf(LogPosition Position) const {
  return Record ? Record->fateOf(Position) : PositionFate::Unknown;
}

boost::asio::awaitable<Status> GroupMonitor::confirm(LogPosition Position,
                                                     TimePoint Deadline) {
  auto Keep = shared_from_this();
  for (;;) {
    PositionFate Fate = fateOf(Position);
    if (Fate == PositionFate::Discarded)
      co_return Error{.Code = ErrorCode::PositionLost,
                      .Outcome = Verdict::MayHaveRun,
                      .Message = "the write was lost when its primary was "
                                 "replaced before it could be confirmed"};
    if (Fate == PositionFate::Survives && leaseValid()) {
      // An entry of the current term that a majority holds keeps all entries
      // before it from being lost.
      bool Held = Position.WrittenIn == Lease->term()
                      ? Lease->confirms(Position)
                      : Lease->confirmedIndex() > Position.Index;
      if (Held)
        co_return std::monostate();
    }
    TimePoint Now = BootClock::now();
    if (Stopped || Now >= Deadline)
      co_return Error{.Code = ErrorCode::NotConfirmed,
                      .Outcome = Verdict::MayHaveRun,
                      .Message = "the write could not be confirmed in time"};
    co_await Changed.wait(Deadline - Now);
  }
}

boost::asio::awaitable<void>
GroupMonitor::watchInstance(std::string Instance, std::uint64_t Started) {
  auto Keep = shared_from_this();
  while (!Stopped && Started == Generation && Config.Targets.count(Instance)) {
    TimePoint Sent = BootClock::now();
    auto Known = Reports.find(Instance);
    LogIndex After = Known == Reports.end() ? 0 : Known->second.Received.Index;
    bool First = Known == Reports.end();
    Duration Wait = First ? Duration::zero() : Opts.ReportWait;
    Result<InstanceReport> Report = co_await Group.report(
        addressOf(Instance), After, Wait, Opts.ReportLimit);
    if (Stopped || Started != Generation)
      break;
    if (errorOf(Report)) {
      co_await sleepFor(internal::ReportPause);
      continue;
    }
    InstanceReport Named = valueOf(Report);
    Named.Instance = Instance;
    takeReport(Named, Sent);
  }
}

void GroupMonitor::takeReport(const InstanceReport &Report, TimePoint Sent) {
  Reports[Report.Instance] = Report;
  Trigger.add(Report, BootClock::now());
  if (Lease)
    Lease->add(Report, Sent);
  addMark(Report, Sent);
  bool Newer = !Record || Report.Promised > Record->Current;
  if (Newer && Report.Promised > 0)
    spawn(Loop, refreshRecord());
  Changed.notifyAll();
}

void GroupMonitor::addMark(const InstanceReport &Report, TimePoint Sent) {
  if (!isPrimary(Report.Instance) || !Report.IsPrimary || !Lease)
    return;
  if (Report.Promised != Record->Current || Lease->superseded())
    return;
  // The lease must cover the time that the mark speaks about.
  if (Sent < Lease->anchor() + Opts.LeaseLength)
    Marks.add(Sent, Report.Received.Index);
}

boost::asio::awaitable<void> GroupMonitor::refreshRecord() {
  auto Keep = shared_from_this();
  if (Refreshing || BootClock::now() - LastRefresh < internal::RefreshPause)
    co_return;
  Refreshing = true;
  Result<StoredObject> Object =
      co_await Store.read(internal::TermKind, Config.Name, Opts.StoreLimit);
  if (const Error *E = errorOf(Object)) {
    Logger.debug("term record not read", {{"why", E->Message}});
    if (PeerRecord) {
      std::optional<TermRecord> Told = co_await PeerRecord(Config.Name);
      // A peer's record is a hint of the same kind as an older read.
      if (Told && (!Record || Told->Current > Record->Current)) {
        adopt(*Told, 0);
        RecordFromStore = false;
      }
    }
  } else if (valueOf(Object).exists()) {
    Result<TermRecord> Read = decodeTermRecord(valueOf(Object).Value);
    if (const Error *Bad = errorOf(Read))
      Logger.error("term record malformed", {{"why", Bad->Message}});
    else {
      RecordFromStore = true;
      adopt(valueOf(Read), valueOf(Object).Version);
    }
  } else if (!Record) {
    RecordFromStore = true;
    adopt(TermRecord(), 0);
  }
  LastRefresh = BootClock::now();
  Refreshing = false;
}

void GroupMonitor::adopt(TermRecord NewRecord, std::uint64_t NewVersion) {
  bool SameTerm = Record && NewRecord.Current == Record->Current &&
                  NewRecord.State == Record->State;
  if (SameTerm && NewVersion <= Version)
    return;
  if (Record && NewRecord.Current < Record->Current)
    return;
  TimePoint Now = BootClock::now();
  Version = NewVersion;
  Trigger.observe(NewRecord, NewVersion, Now);
  if (SameTerm) {
    Record = std::move(NewRecord);
    return;
  }
  Record = std::move(NewRecord);
  RecordSince = Now;
  Marks.clear();
  Lease.reset();
  if (Record->isOpen()) {
    Lease.emplace(LeaseTracker::Options{.Current = Record->Current,
                                        .Members = Record->Members,
                                        .Length = Opts.LeaseLength});
    Logger.info("term open", {{"database", Config.Name},
                              {"term", std::to_string(Record->Current)},
                              {"primary", Record->Primary}});
  }
  Meter.set("term", static_cast<double>(Record->Current),
            {{"database", Config.Name}});
  Changed.notifyAll();
}

boost::asio::awaitable<void> GroupMonitor::tickLoop() {
  auto Keep = shared_from_this();
  while (!Stopped) {
    tick();
    co_await sleepFor(Opts.Tick);
  }
}

void GroupMonitor::tick() {
  TimePoint Now = BootClock::now();
  bool Unsettled = !Record || !Record->isOpen() || !RecordFromStore;
  if (Unsettled && Now - LastRefresh > internal::RefreshPeriod)
    spawn(Loop, refreshRecord());
  if (Promotion) {
    carryOut(Promotion->tick(Now));
    finishPromotion();
    return;
  }
  if (!Record || !RecordFromStore || Config.Targets.empty())
    return;
  bool Bootstrap = Record->Current == 0;
  if (Bootstrap && Reports.size() >= quorumOf(Config.Targets.size()) &&
      Now - RecordSince >= Opts.Trigger.RankDelay)
    startPromotion("first term");
  else if (!Bootstrap && handoverDue())
    startPromotion("hand-over");
  else if (!Bootstrap && Trigger.shouldPromote(*Record, Now))
    startPromotion(Record->isOpen() ? "primary silent" : "claim stalled");
  else
    reconcile();
}

void GroupMonitor::requestHandover(const std::string &Instance) {
  HandoverFrom = Instance;
}

bool GroupMonitor::writesPaused() const {
  if (HandoverFrom.empty() || !isPrimary(HandoverFrom))
    return false;
  // Paused in turns, so that a replica that never catches up does not stop
  // writes for good.
  Duration Since = BootClock::now() - RecordSince;
  return Since % internal::HandoverPeriod < internal::HandoverPause;
}

bool GroupMonitor::handoverDue() const {
  if (!writesPaused() || Config.Targets.size() < 2)
    return false;
  auto Primary = Reports.find(HandoverFrom);
  if (Primary == Reports.end())
    return false;
  for (const auto &[Name, Report] : Reports)
    if (Name != HandoverFrom && Report.Received == Primary->second.Received &&
        Report.Following == HandoverFrom)
      return true;
  return false;
}

void GroupMonitor::startPromotion(const char *Why) {
  PromotionMachine::Options MachineOpts;
  MachineOpts.Claim = Opts.Vm + "/" + std::to_string(Opts.Random());
  for (const std::string &Name : memberNames())
    if (Name != HandoverFrom)
      MachineOpts.Candidates.push_back(Name);
  MachineOpts.Members = memberNames();
  MachineOpts.LeaseLength = Opts.LeaseLength;
  MachineOpts.Chart = Opts.PromotionChart;
  Logger.warning("promotion begins",
                 {{"database", Config.Name},
                  {"why", Why},
                  {"term", std::to_string(Record->Current + 1)}});
  Meter.count("promotions_begun_total", {{"database", Config.Name}});
  PromotionSince = BootClock::now();
  Promotion.emplace(std::move(MachineOpts), *Record, Version);
  carryOut(Promotion->begin(PromotionSince));
}

void GroupMonitor::finishPromotion() {
  if (!Promotion || !Promotion->finished())
    return;
  Duration Took = BootClock::now() - PromotionSince;
  Logger.warning("promotion ended",
                 {{"database", Config.Name},
                  {"state", Promotion->state()},
                  {"took_ms", std::to_string(toMillis(Took).count())}});
  if (Promotion->succeeded()) {
    Meter.count("promotions_done_total", {{"database", Config.Name}});
    Meter.observe("promotion_seconds",
                  std::chrono::duration<double>(Took).count());
    adopt(Promotion->record(), Promotion->version());
  }
  Promotion.reset();
  LastRefresh = TimePoint();
  spawn(Loop, refreshRecord());
}

void GroupMonitor::carryOut(PromotionMachine::Commands Commands) {
  for (PromotionCommand &Command : Commands) {
    if (auto *Write = std::get_if<WriteTermRecord>(&Command))
      spawn(Loop, writeRecord(*Write));
    else if (std::holds_alternative<ReadTermRecord>(Command))
      spawn(Loop, readRecord());
    else if (auto *Fence = std::get_if<FenceInstance>(&Command))
      spawn(Loop, fence(*Fence));
    else if (auto *Promote = std::get_if<PromoteInstance>(&Command))
      spawn(Loop, promote(*Promote));
  }
}

boost::asio::awaitable<void>
GroupMonitor::writeRecord(WriteTermRecord Command) {
  auto Keep = shared_from_this();
  std::string Claim = Command.Record.Claim;
  std::string Text = encodeTermRecord(Command.Record);
  WriteAnswer Answer =
      co_await Store.write(internal::TermKind, Config.Name, Text,
                           Command.ExpectedVersion, Opts.StoreLimit);
  if (!Promotion || Promotion->record().Claim != Claim)
    co_return;
  StoreWriteOutcome Outcome = StoreWriteOutcome::Unknown;
  if (Answer.End == WriteEnd::Accepted)
    Outcome = StoreWriteOutcome::Accepted;
  if (Answer.End == WriteEnd::Conflict)
    Outcome = StoreWriteOutcome::Conflict;
  carryOut(Promotion->onWrite(Outcome, Answer.Version, BootClock::now()));
  finishPromotion();
}

boost::asio::awaitable<void> GroupMonitor::readRecord() {
  auto Keep = shared_from_this();
  Result<StoredObject> Object =
      co_await Store.read(internal::TermKind, Config.Name, Opts.StoreLimit);
  if (!Promotion)
    co_return;
  TimePoint Now = BootClock::now();
  if (errorOf(Object)) {
    carryOut(Promotion->onReadFailed(Now));
    co_return;
  }
  TermRecord Stored;
  if (valueOf(Object).exists()) {
    Result<TermRecord> Read = decodeTermRecord(valueOf(Object).Value);
    if (errorOf(Read))
      co_return;
    Stored = valueOf(Read);
  }
  carryOut(Promotion->onRead(Stored, valueOf(Object).Version, Now));
  finishPromotion();
}

boost::asio::awaitable<void> GroupMonitor::fence(FenceInstance Command) {
  auto Keep = shared_from_this();
  Result<InstanceReport> Report = co_await Group.fence(
      addressOf(Command.Instance), Command.NewTerm, Opts.ControlLimit);
  if (errorOf(Report) || !Promotion ||
      Promotion->record().Current != Command.NewTerm)
    co_return;
  InstanceReport Named = valueOf(Report);
  Named.Instance = Command.Instance;
  carryOut(Promotion->onFenced(Named, BootClock::now()));
  finishPromotion();
}

boost::asio::awaitable<void> GroupMonitor::promote(PromoteInstance Command) {
  auto Keep = shared_from_this();
  Result<InstanceReport> Report = co_await Group.promote(
      addressOf(Command.Instance), Command.NewTerm, Opts.ControlLimit);
  if (errorOf(Report) || !Promotion ||
      Promotion->record().Current != Command.NewTerm)
    co_return;
  InstanceReport Named = valueOf(Report);
  Named.Instance = Command.Instance;
  carryOut(Promotion->onPromoted(Named, BootClock::now()));
  finishPromotion();
}

void GroupMonitor::reconcile() {
  if (!Record->isOpen())
    return;
  for (const auto &[Name, Report] : Reports)
    reconcileInstance(Name);
}

void GroupMonitor::reconcileInstance(const std::string &Instance) {
  const InstanceReport &Report = Reports[Instance];
  if (Report.Promised > Record->Current || ControlBusy.count(Instance) ||
      !Config.Targets.count(Instance))
    return;
  bool InTerm = Report.Promised == Record->Current;
  if (Instance == Record->Primary) {
    // Another pooler may have just opened the term: leases of the term before
    // are over one lease length after this pooler first saw the record.
    bool LeasesOver = BootClock::now() - RecordSince >= Opts.LeaseLength;
    if ((!InTerm || !Report.IsPrimary) && LeasesOver) {
      ControlBusy.insert(Instance);
      spawn(Loop, control(Instance, true));
    }
    return;
  }
  if (InTerm && Report.Following == Record->Primary)
    return;
  ControlBusy.insert(Instance);
  spawn(Loop, control(Instance, false));
}

boost::asio::awaitable<void> GroupMonitor::control(std::string Instance,
                                                   bool Promote) {
  auto Keep = shared_from_this();
  TimePoint Sent = BootClock::now();
  Term Current = Record->Current;
  std::string Primary = Record->Primary;
  LogIndex LastIndex = Record->Ends.empty() ? 0 : Record->Ends.back().LastIndex;
  std::string Address = addressOf(Instance);
  std::string PrimaryAddress = addressOf(Primary);
  Result<InstanceReport> Report = Error();
  if (Promote)
    Report = co_await Group.promote(Address, Current, Opts.ControlLimit);
  else
    Report = co_await Group.follow(Address, Current, Primary, PrimaryAddress,
                                   LastIndex, Opts.ControlLimit);
  ControlBusy.erase(Instance);
  if (errorOf(Report) || Stopped)
    co_return;
  InstanceReport Named = valueOf(Report);
  Named.Instance = Instance;
  takeReport(Named, Sent);
}

} // namespace cicadawind
