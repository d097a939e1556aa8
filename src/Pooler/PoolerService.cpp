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

constexpr Duration MaintenanceInterval = std::chrono::milliseconds(250);

} // namespace internal

PoolerService::PoolerService(boost::asio::io_context &Loop, Options NewOpts,
                             PeerNode &Peers, DatabaseGroup &Group,
                             ObjectStore &Store, Metrics &Meter)
    : Loop(Loop), Opts(std::move(NewOpts)), Peers(Peers), Meter(Meter),
      Targets(Loop, Opts.Targets, Peers, Group, Store, Meter) {}

PoolerService::~PoolerService() = default;

void PoolerService::start() { spawn(Loop, maintainLoop()); }

boost::asio::awaitable<void> PoolerService::maintainLoop() {
  for (;;) {
    co_await sleepFor(internal::MaintenanceInterval);
    Targets.maintain();
    endTransactions(BootClock::now());
  }
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
  Transactions.removeExpired(Now);
}

void PoolerService::drain(TimePoint Limit) {
  if (DrainStart)
    return;
  DrainStart = BootClock::now();
  DrainLimit = Limit;
}

Result<PoolerService::ResolvedTarget>
PoolerService::resolve(const ExecuteRequest &Request) {
  if (!Peers.hasNote())
    return Error{.Code = ErrorCode::NoReleaseNote,
                 .Message = "no release note is in force here yet"};
  ResolvedTarget Resolved;
  Resolved.Monitor = Targets.monitorOf(Request.Database);
  if (Resolved.Monitor)
    Resolved.Pool = Targets.poolOf(Request.Database, Request.Target);
  if (!Resolved.Monitor || !Resolved.Pool)
    return Error{.Code = ErrorCode::UnknownDatabase,
                 .Message = "no such database or target in force"};
  return Resolved;
}

Status PoolerService::checkLeaving(const ResolvedTarget &Resolved) const {
  TimePoint Now = BootClock::now();
  if (DrainStart && Now - *DrainStart > Opts.LeaveGracePeriod)
    return Error{.Code = ErrorCode::Leaving, .Message = "this VM is leaving"};
  const TargetConfig &Target = Resolved.Pool->target();
  std::optional<TimePoint> Since =
      Targets.leavingSince(Resolved.Monitor->config().Name, Target.Name);
  if (Since && Now - *Since > Opts.LeaveGracePeriod)
    return Error{.Code = ErrorCode::Leaving,
                 .Message = "the target is leaving"};
  return std::monostate();
}

Status PoolerService::checkPrimary(const ResolvedTarget &Resolved,
                                   const std::string &Target) const {
  if (!Resolved.Monitor->control().isPrimary(Target))
    return Error{.Code = ErrorCode::NotPrimary,
                 .Message = "the target is not the primary"};
  if (!Resolved.Monitor->leaseValid())
    return Error{.Code = ErrorCode::LeaseLost,
                 .Message = "a majority of the database's instances cannot "
                            "be reached, so nothing may be acknowledged"};
  return std::monostate();
}

Status PoolerService::checkPosition(const ResolvedTarget &Resolved,
                                    LogPosition MinPosition) const {
  if (MinPosition == LogPosition())
    return std::monostate();
  const std::optional<TermRecord> &Record =
      Resolved.Monitor->control().record();
  PositionOutcome Outcome =
      Record ? Record->outcomeOf(MinPosition) : PositionOutcome::Unknown;
  if (Outcome == PositionOutcome::Survives)
    return std::monostate();
  // In an open term, the outcome of an older position is unknown only if the
  // record does not list all ends since then. It may have been discarded.
  bool Older =
      Record && Record->isOpen() && MinPosition.WrittenIn < Record->Current;
  if (Outcome == PositionOutcome::Discarded || Older)
    return Error{.Code = ErrorCode::PositionLost,
                 .Message = "the session has seen a write that did not "
                            "survive a change of primary"};
  return Error{.Code = ErrorCode::StaleTerm,
               .Message = "this pooler does not know the session's term yet"};
}

void PoolerService::fillPrimary(const ResolvedTarget &Resolved,
                                ExecuteResponse &Out) const {
  Out.FromPrimary = true;
  Out.FreshAt = Resolved.Monitor->control().leaseStart();
  Out.LeaseLength = toMillis(Resolved.Monitor->control().leaseLength());
}

boost::asio::awaitable<ExecuteResponse>
PoolerService::serve(ExecuteRequest Request) {
  TimePoint Start = BootClock::now();
  ++RequestsInFlight;
  std::string Database = Request.Database;
  ExecuteResponse Response = co_await dispatch(std::move(Request));
  --RequestsInFlight;
  // ProcessingTime is measured before FreshnessAge, so that the router counts a
  // pause of this process from here on as network time and never takes the
  // response for fresher than it is.
  Response.ProcessingTime = toMillis(BootClock::now() - Start);
  // 1 ms is added because toMillis rounds down and the age must not be too low.
  if (Response.FreshAt != TimePoint())
    Response.FreshnessAge =
        toMillis(BootClock::now() - Response.FreshAt) + Millis(1);
  if (auto Monitor = Targets.existingMonitor(Database))
    Response.Hint = Monitor->hint();
  std::string Verdict = Response.Failure
                            ? std::string(toString(Response.Failure->Outcome))
                            : "ran";
  std::string Code =
      Response.Failure ? std::string(toString(Response.Failure->Code)) : "ok";
  Meter.count("requests_total", {{"verdict", Verdict}, {"code", Code}});
  Meter.observe("request_seconds", BootClock::now() - Start);
  co_return Response;
}

boost::asio::awaitable<ExecuteResponse>
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
    co_return co_await runInTransaction(std::move(Request));
  co_return co_await statement(std::move(Request));
}

boost::asio::awaitable<ExecuteResponse>
PoolerService::statement(ExecuteRequest Request) {
  ExecuteResponse Out;
  Result<ResolvedTarget> Resolved = resolve(Request);
  if (const Error *E = errorOf(Resolved)) {
    Out.Failure = *E;
    co_return Out;
  }
  Status Leaving = checkLeaving(valueOf(Resolved));
  if (const Error *E = errorOf(Leaving)) {
    Out.Failure = *E;
    co_return Out;
  }
  Status Position =
      checkPosition(valueOf(Resolved), Request.Constraints.MinPosition);
  if (const Error *E = errorOf(Position)) {
    Out.Failure = *E;
    co_return Out;
  }
  bool OnPrimary =
      Request.Kind == StatementKind::Write ||
      Request.Constraints.needsPrimary() ||
      valueOf(Resolved).Monitor->control().isPrimary(Request.Target);
  if (OnPrimary)
    co_return co_await runOnPrimary(std::move(Request), valueOf(Resolved));
  co_return co_await runOnReplica(std::move(Request), valueOf(Resolved));
}

boost::asio::awaitable<Result<StatementReply>>
PoolerService::runInSlot(std::shared_ptr<TargetPool> Pool,
                         ExecuteRequest Request, Term ExpectedTerm,
                         TimePoint Deadline, Millis &Queued) {
  TimePoint Start = BootClock::now();
  Result<WorkId> Slot = co_await Pool->acquireSlot(
      fingerprintOf(Request.Statement), Request.Caller, Deadline);
  Queued = toMillis(BootClock::now() - Start);
  if (const Error *E = errorOf(Slot))
    co_return *E;
  Result<std::unique_ptr<PooledConnection>> Connection =
      co_await Pool->acquireConnection(Deadline);
  if (const Error *E = errorOf(Connection)) {
    Pool->releaseSlot(valueOf(Slot), std::nullopt);
    co_return *E;
  }
  PooledConnection &Acquired = *valueOf(Connection);
  StatementCall Call{.Id = Request.Id,
                     .Text = Request.Statement,
                     .Kind = Request.Kind,
                     .ExpectedTerm = ExpectedTerm,
                     .IdempotencyKey = Request.IdempotencyKey};
  TimePoint Sent = BootClock::now();
  Result<StatementReply> Reply =
      co_await Pool->runOn(Acquired, std::move(Call), Deadline);
  Pool->releaseSlot(valueOf(Slot), BootClock::now() - Sent);
  // A failed statement may have set connection state before it failed.
  const StatementReply *Done = std::get_if<StatementReply>(&Reply);
  bool KnownClean = Done && !Done->Tainted;
  Acquired.machine().fire(KnownClean ? "answered" : "taint");
  Pool->releaseConnection(std::move(valueOf(Connection)));
  co_return Reply;
}

boost::asio::awaitable<ExecuteResponse>
PoolerService::runOnPrimary(ExecuteRequest Request, ResolvedTarget Resolved) {
  ExecuteResponse Out;
  TimePoint Deadline = BootClock::now() + Request.TimeLeft;
  co_await Resolved.Monitor->waitForLease(Deadline);
  Status Primary = checkPrimary(Resolved, Request.Target);
  bool Write = Request.Kind == StatementKind::Write;
  if (!errorOf(Primary) && Write && Resolved.Monitor->writesPaused())
    Primary = Error{.Code = ErrorCode::LeaseLost,
                    .Message = "the primary is being handed over"};
  if (const Error *E = errorOf(Primary)) {
    Out.Failure = *E;
    co_return Out;
  }
  Term ExpectedTerm = Resolved.Monitor->hint().CurrentTerm;
  Result<StatementReply> Reply = co_await runInSlot(
      Resolved.Pool, Request, ExpectedTerm, Deadline, Out.Queued);
  if (const Error *E = errorOf(Reply)) {
    Out.Failure = *E;
    co_return Out;
  }
  Out.Rows = std::move(valueOf(Reply).Rows);
  Out.Position = valueOf(Reply).Position;
  // Reads wait for the confirmation as well: data that a caller has seen must
  // not be lost in a promotion.
  Status Confirmed = std::monostate();
  if (Out.Position != LogPosition())
    Confirmed = co_await Resolved.Monitor->confirm(Out.Position, Deadline);
  else
    Confirmed = checkPrimary(Resolved, Request.Target);
  if (const Error *E = errorOf(Confirmed)) {
    Out.Failure = *E;
    Out.Failure->Outcome = Verdict::MayHaveRun;
    co_return Out;
  }
  fillPrimary(Resolved, Out);
  co_return Out;
}

boost::asio::awaitable<ExecuteResponse>
PoolerService::confirm(ExecuteRequest Request) {
  ExecuteResponse Out;
  Result<ResolvedTarget> Resolved = resolve(Request);
  if (const Error *E = errorOf(Resolved)) {
    Out.Failure = *E;
    co_return Out;
  }
  TimePoint Deadline = BootClock::now() + Request.TimeLeft;
  Status Confirmed = co_await valueOf(Resolved).Monitor->confirm(
      Request.Constraints.MinPosition, Deadline);
  if (const Error *E = errorOf(Confirmed)) {
    Out.Failure = *E;
    co_return Out;
  }
  Out.Position = Request.Constraints.MinPosition;
  fillPrimary(valueOf(Resolved), Out);
  co_return Out;
}

nlohmann::json PoolerService::status() const {
  nlohmann::json Json = Targets.status();
  Json["in_flight"] = RequestsInFlight;
  Json["transactions"] = Transactions.size();
  return Json;
}

} // namespace cicadawind
