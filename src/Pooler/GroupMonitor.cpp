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

/// Wait after a failed report request, and between frequent report requests
/// that are no long polls because no lease is valid or no report is known.
constexpr Duration ReportBackoff = std::chrono::milliseconds(40);
/// An instance of this region whose last report is older than this does not
/// count towards a regional majority.
constexpr Duration MaxRegionalReportAge = std::chrono::milliseconds(250);
/// If a replica's last contact with the primary is older than this, the primary
/// is in doubt and frequent reports are requested from all instances.
constexpr Millis MaxPrimaryContactAge(350);
/// No log reaches this index. A report request with it ends when its long-poll
/// time has passed or the instance promises a new term.
constexpr LogIndex NoIndex = ~LogIndex{0};

} // namespace internal

GroupMonitor::GroupMonitor(boost::asio::io_context &Loop, Options NewOpts,
                           DatabaseGroup &Group, ObjectStore &Store,
                           Metrics &Meter, DatabaseConfig NewConfig)
    : Loop(Loop), Opts(std::move(NewOpts)), Group(Group), Store(Store),
      Meter(Meter), Config(std::move(NewConfig)),
      Control(Opts.Control, memberNames()), Schedule(Opts.Schedule),
      Changed(Loop) {
  Control.onEvent([this](const std::string &Event, const std::string &Detail) {
    Logger.warning(Event, {{"database", Config.Name}, {"detail", Detail}});
    this->Meter.count("term_events_total",
                      {{"database", Config.Name}, {"event", Event}});
    this->Meter.set("term", static_cast<double>(Control.term()),
                    {{"database", Config.Name}});
  });
}

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
  Control.setMembers(memberNames());
  if (!SameTargets) {
    ++Generation;
    Watched.clear();
  }
  for (const auto &[Name, Target] : Config.Targets)
    if (Watched.insert(Name).second)
      spawn(Loop, reportLoop(Name, Generation));
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

PrimaryHint GroupMonitor::hint() const {
  return PrimaryHint{.CurrentTerm = Control.term(),
                     .Primary = Control.primary()};
}

bool GroupMonitor::leaseValid() const {
  return Control.leaseValidAt(BootClock::now());
}

bool GroupMonitor::writesPaused() const {
  return Control.writesPaused(BootClock::now());
}

std::optional<Duration> GroupMonitor::ageOf(LogPosition Position) const {
  return Control.ageOf(Position, BootClock::now());
}

boost::asio::awaitable<void> GroupMonitor::waitForChange(Duration Timeout) {
  co_await Changed.wait(Timeout);
}

boost::asio::awaitable<Status> GroupMonitor::confirm(LogPosition Position,
                                                     TimePoint Deadline) {
  auto KeepAlive = shared_from_this();
  for (;;) {
    // The statement may have taken so long that the last recorded use of the
    // primary no longer counts as recent.
    requestFrequentReports();
    TimePoint Now = BootClock::now();
    switch (Control.commitStateOf(Position, Now)) {
    case CommitState::Committed:
      co_return std::monostate();
    case CommitState::Lost:
      co_return Error{.Code = ErrorCode::PositionLost,
                      .Outcome = Verdict::MayHaveRun,
                      .Message = "the write was lost when its primary was "
                                 "replaced before it could be confirmed"};
    case CommitState::Pending:
      break;
    }
    if (Stopped || Now >= Deadline)
      co_return Error{.Code = ErrorCode::NotConfirmed,
                      .Outcome = Verdict::MayHaveRun,
                      .Message = "the write could not be confirmed in time"};
    co_await Changed.wait(Deadline - Now);
  }
}

boost::asio::awaitable<bool> GroupMonitor::requestReport(std::string Instance,
                                                         LogIndex After,
                                                         Duration Wait) {
  TimePoint Sent = BootClock::now();
  std::uint64_t StartGeneration = Generation;
  Result<InstanceReport> Report = co_await Group.report(
      addressOf(Instance), After, Wait, Wait + Opts.ReportTimeoutMargin);
  if (errorOf(Report) || StartGeneration != Generation)
    co_return false;
  handleReport(Instance, valueOf(Report), Sent);
  co_return true;
}

boost::asio::awaitable<void>
GroupMonitor::reportLoop(std::string Instance, std::uint64_t StartGeneration) {
  auto KeepAlive = shared_from_this();
  while (!Stopped && StartGeneration == Generation &&
         Config.Targets.count(Instance)) {
    TimePoint Now = BootClock::now();
    bool IsOwnDomain =
        Config.Targets[Instance].FailureDomain == Opts.FailureDomain;
    bool Busy = needsFrequentReports(Instance, Now);
    std::optional<InstanceReport> Latest = Control.reportOf(Instance);
    Duration Wait = Schedule.pollTimeout(IsOwnDomain, Busy);
    LogIndex After = internal::NoIndex;
    if (Busy && Latest)
      After = Latest->Received.Index;
    if (!Latest)
      Wait = Duration::zero();
    if (!Busy)
      InSlowPoll.insert(Instance);
    bool Received = co_await requestReport(Instance, After, Wait);
    InSlowPoll.erase(Instance);
    if (!Received)
      co_await sleepFor(internal::ReportBackoff);
  }
}

boost::asio::awaitable<void>
GroupMonitor::frequentReportLoop(std::string Instance) {
  auto KeepAlive = shared_from_this();
  while (!Stopped && InSlowPoll.count(Instance) &&
         needsFrequentReports(Instance, BootClock::now())) {
    std::optional<InstanceReport> Latest = Control.reportOf(Instance);
    bool CanLongPoll = Latest && Control.leaseValidAt(BootClock::now());
    LogIndex After = Latest ? Latest->Received.Index : 0;
    Duration Wait =
        CanLongPoll ? Opts.Schedule.BusyPollTimeout : Duration::zero();
    bool Received = co_await requestReport(Instance, After, Wait);
    if (!Received || !CanLongPoll)
      co_await sleepFor(internal::ReportBackoff);
  }
  InFrequentLoop.erase(Instance);
}

void GroupMonitor::requestFrequentReports() {
  Schedule.recordUse(BootClock::now());
  startFrequentReportLoops();
}

void GroupMonitor::startFrequentReportLoops() {
  for (const std::string &Instance : InSlowPoll)
    if (needsFrequentReports(Instance, BootClock::now()) &&
        InFrequentLoop.insert(Instance).second)
      spawn(Loop, frequentReportLoop(Instance));
}

bool GroupMonitor::hasRegionalMajority(TimePoint Now) const {
  std::size_t Reporting = 0;
  for (const auto &[Name, Target] : Config.Targets) {
    auto It = LastReport.find(Name);
    bool Counts = Target.Region == Opts.Region && It != LastReport.end() &&
                  Now - It->second < internal::MaxRegionalReportAge;
    Reporting += Counts ? 1 : 0;
  }
  return Reporting >= quorumOf(Config.Targets.size());
}

bool GroupMonitor::needsFrequentReports(const std::string &Instance,
                                        TimePoint Now) const {
  if (!Schedule.isBusy(Now))
    return false;
  // Traffic between regions is paid by volume, and the lease and confirmations
  // need only a majority. Frequent reports are requested from other regions
  // only if this region has no majority or the primary is in doubt.
  auto It = Config.Targets.find(Instance);
  bool InRegion =
      It != Config.Targets.end() && It->second.Region == Opts.Region;
  return InRegion || isPrimaryInDoubt() || !hasRegionalMajority(Now);
}

boost::asio::awaitable<void> GroupMonitor::waitForLease(TimePoint Deadline) {
  auto KeepAlive = shared_from_this();
  requestFrequentReports();
  TimePoint End = std::min(Deadline, BootClock::now() + Opts.MaxLeaseWait);
  while (!Stopped && !leaseValid()) {
    TimePoint Now = BootClock::now();
    if (Now >= End)
      co_return;
    co_await Changed.wait(End - Now);
  }
}

void GroupMonitor::recordApplied(const std::string &Instance,
                                 LogPosition Applied) {
  Control.recordApplied(Instance, Applied);
}

void GroupMonitor::handleReport(const std::string &Instance,
                                InstanceReport Report, TimePoint Sent) {
  if (Stopped)
    return;
  Report.Instance = Instance;
  LastReport[Instance] = BootClock::now();
  carryOut(Control.onReport(Report, Sent, BootClock::now()));
  Changed.notifyAll();
}

boost::asio::awaitable<void> GroupMonitor::refreshReports() {
  auto KeepAlive = shared_from_this();
  std::string Primary = Control.primary();
  if (Refreshing || Primary.empty()) {
    co_await Changed.wait(Opts.Schedule.BusyPollTimeout);
    co_return;
  }
  Refreshing = true;
  for (const auto &[Name, Target] : Config.Targets)
    if (Name != Primary)
      spawn(Loop,
            [](std::shared_ptr<GroupMonitor> Self,
               std::string Instance) -> boost::asio::awaitable<void> {
              co_await Self->requestReport(Instance, 0, Duration::zero());
            }(KeepAlive, Name));
  co_await requestReport(Primary, 0, Duration::zero());
  Refreshing = false;
}

bool GroupMonitor::isPrimaryInDoubt() const {
  if (!Control.record() || !Control.record()->isOpen() || Control.isPromoting())
    return true;
  for (const auto &[Name, Target] : Config.Targets) {
    std::optional<InstanceReport> Report = Control.reportOf(Name);
    if (!Report)
      continue;
    bool ContactLost =
        Report->SincePrimaryContact &&
        *Report->SincePrimaryContact > internal::MaxPrimaryContactAge;
    bool OtherTerm = Report->PromisedTerm != Control.term();
    bool NotServing = Name == Control.primary() && !Report->IsPrimary;
    if (ContactLost || OtherTerm || NotServing)
      return true;
  }
  return false;
}

void GroupMonitor::measureWriteGap(TimePoint Now) {
  bool HasLease = Control.leaseValidAt(Now);
  if (LeaseMissingSince && HasLease)
    Meter.observe("write_gap_seconds", Now - *LeaseMissingSince);
  if (HasLease || !Schedule.isBusy(Now))
    LeaseMissingSince.reset();
  else if (!LeaseMissingSince)
    LeaseMissingSince = Now;
}

boost::asio::awaitable<void> GroupMonitor::tickLoop() {
  auto KeepAlive = shared_from_this();
  while (!Stopped) {
    TimePoint Now = BootClock::now();
    bool Switchover = Control.writesPaused(Now);
    if (isPrimaryInDoubt() || Switchover)
      requestFrequentReports();
    else if (Schedule.isBusy(Now))
      startFrequentReportLoops();
    measureWriteGap(Now);
    carryOut(Control.tick(Now));
    co_await sleepFor(Opts.TickInterval);
  }
}

} // namespace cicadawind
