// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Pooler/PoolerService.h"

#include "Peers/PeerNode.h"
#include "Pooler/TargetPool.h"

namespace cicadawind {
namespace internal {

/// Returns the error for a call on a transaction that is not open. A commit may
/// be the repetition of one that took effect, so its verdict is NotRun only if
/// the transaction is known to have been rolled back.
static Error notOpenError(const TransactionTable::Ended *Ended, bool IsCommit) {
  bool RolledBack = Ended && Ended->State == "rolled_back";
  Error E;
  E.Outcome = IsCommit && !RolledBack ? Verdict::MayHaveRun : Verdict::NotRun;
  E.Code = Ended ? ErrorCode::TransactionEnded : ErrorCode::TransactionUnknown;
  E.Message = Ended ? "the transaction was " + Ended->Reason
                    : "no such transaction is open here; unless it was "
                      "committed before, it has been rolled back";
  return E;
}

static ExecuteResponse failed(const Error &E) {
  ExecuteResponse Out;
  Out.Failure = E;
  return Out;
}

} // namespace internal

boost::asio::awaitable<ExecuteResponse>
PoolerService::begin(ExecuteRequest Request) {
  Result<ResolvedTarget> Found = resolve(Request);
  if (const Error *E = errorOf(Found))
    co_return internal::failed(*E);
  ResolvedTarget Resolved = valueOf(Found);
  if (DrainStart)
    co_return internal::failed(
        Error{.Code = ErrorCode::Leaving, .Message = "this VM is leaving"});
  co_await Resolved.Monitor->waitForLease(BootClock::now() + Request.TimeLeft);
  Status Allowed = checkLeaving(Resolved);
  if (!errorOf(Allowed))
    Allowed = checkPrimary(Resolved, Request.Target);
  if (!errorOf(Allowed))
    Allowed = checkPosition(Resolved, Request.Constraints.MinPosition);
  if (const Error *E = errorOf(Allowed))
    co_return internal::failed(*E);
  TimePoint Deadline = BootClock::now() + Request.TimeLeft;
  Result<std::unique_ptr<PooledConnection>> Connection =
      co_await Resolved.Pool->acquireConnection(Deadline);
  if (const Error *E = errorOf(Connection))
    co_return internal::failed(*E);
  std::unique_ptr<PooledConnection> Pinned = std::move(valueOf(Connection));
  Pinned->machine().fire("pin");
  Term ExpectedTerm = Resolved.Monitor->hint().CurrentTerm;
  Duration Left = Deadline - BootClock::now();
  Status Begun = co_await Pinned->link().begin(Request.Id, ExpectedTerm, Left);
  if (const Error *E = errorOf(Begun)) {
    Error NotRunError = *E;
    // A transaction without statements has no effect, even if it was begun.
    NotRunError.Outcome = Verdict::NotRun;
    Pinned->machine().fire("pinned_done");
    Resolved.Pool->releaseConnection(std::move(Pinned));
    co_return internal::failed(NotRunError);
  }
  TimePoint Now = BootClock::now();
  Pinned->recordReply(Now);
  std::string Id =
      Opts.Targets.Vm + "-" + std::to_string(Opts.Targets.Random());
  Transactions.add(std::make_shared<OpenTransaction>(
      OpenTransaction{.Id = Id,
                      .Database = Request.Database,
                      .Caller = Request.Caller,
                      .TransactionTerm = ExpectedTerm,
                      .Pool = Resolved.Pool,
                      .Connection = std::move(Pinned),
                      .Machine = StateMachine(Opts.Targets.Charts.Transaction),
                      .LastUse = Now,
                      .EndedBecause = {}}));
  ExecuteResponse Out;
  Out.Transaction = Id;
  fillPrimary(Resolved, Out);
  co_return Out;
}

boost::asio::awaitable<ExecuteResponse>
PoolerService::runInTransaction(ExecuteRequest Request) {
  TransactionTable::Entry Entry = Transactions.find(Request.Transaction);
  if (!Entry)
    co_return internal::failed(
        internal::notOpenError(Transactions.ended(Request.Transaction), false));
  if (!Entry->Machine.fire("statement"))
    co_return internal::failed(
        Error{.Code = ErrorCode::Conflict,
              .Message = "another statement of the transaction is running"});
  TimePoint Deadline = BootClock::now() + Request.TimeLeft;
  ExecuteResponse Out;
  TimePoint Start = BootClock::now();
  Result<WorkId> Slot = co_await Entry->Pool->acquireSlot(
      fingerprintOf(Request.Statement), Request.Caller, Deadline);
  Out.Queued = toMillis(BootClock::now() - Start);
  if (const Error *E = errorOf(Slot)) {
    Entry->Machine.fire("answered");
    co_return internal::failed(*E);
  }
  StatementCall Call{.Id = Request.Id,
                     .Text = Request.Statement,
                     // Nothing takes effect before the commit, so callers do
                     // not have to declare which statements write.
                     .Kind = StatementKind::Write,
                     .ExpectedTerm = Entry->TransactionTerm,
                     .IdempotencyKey = {}};
  TimePoint Sent = BootClock::now();
  Result<StatementReply> Reply = co_await Entry->Pool->runOn(
      *Entry->Connection, std::move(Call), Deadline);
  TimePoint Now = BootClock::now();
  Entry->Pool->releaseSlot(valueOf(Slot), Now - Sent);
  Entry->LastUse = Now;
  if (const Error *E = errorOf(Reply)) {
    bool Lost = !Entry->Connection->link().isOpen() ||
                E->Code == ErrorCode::StaleTerm ||
                E->Code == ErrorCode::NotPrimary;
    if (!Lost) {
      Entry->Machine.fire("answered");
      co_return internal::failed(*E);
    }
    Transactions.end(Request.Transaction, "lost",
                     "rolled back when its connection or primary was lost",
                     Now);
    Error EndedError = *E;
    EndedError.Code = ErrorCode::TransactionEnded;
    EndedError.Message += "; the transaction was rolled back";
    co_return internal::failed(EndedError);
  }
  Entry->Machine.fire("answered");
  auto Monitor = Targets.monitorOf(Request.Database);
  if (Monitor)
    co_await Monitor->waitForLease(Deadline);
  if (!Monitor || !Monitor->leaseValid() ||
      Monitor->hint().CurrentTerm != Entry->TransactionTerm)
    co_return internal::failed(
        Error{.Code = ErrorCode::LeaseLost,
              .Outcome = Verdict::MayHaveRun,
              .Message = "the primary may have been replaced"});
  Out.Rows = std::move(valueOf(Reply).Rows);
  Out.Position = valueOf(Reply).Position;
  if (DrainLimit)
    Out.EndsIn = toMillis(*DrainLimit - Now);
  fillPrimary(ResolvedTarget{.Monitor = Monitor, .Pool = Entry->Pool}, Out);
  co_return Out;
}

boost::asio::awaitable<ExecuteResponse>
PoolerService::commit(ExecuteRequest Request) {
  TransactionTable::Entry Entry = Transactions.find(Request.Transaction);
  if (!Entry)
    co_return co_await repeatCommit(std::move(Request));
  if (!Entry->Machine.fire("commit"))
    co_return internal::failed(
        Error{.Code = ErrorCode::Conflict,
              .Message = "a statement of the transaction is running"});
  TimePoint Deadline = BootClock::now() + Request.TimeLeft;
  Result<StatementReply> Reply = co_await Entry->Connection->link().commit(
      Request.Id, Request.IdempotencyKey, Request.TimeLeft);
  TimePoint Now = BootClock::now();
  if (const Error *E = errorOf(Reply)) {
    bool Refused = E->Outcome == Verdict::NotRun;
    Transactions.end(Request.Transaction, Refused ? "refused" : "lost",
                     Refused ? "rolled back: its commit was refused"
                             : "left unknown: its commit had no answer",
                     Now);
    co_return internal::failed(*E);
  }
  Transactions.end(Request.Transaction, "confirmed", "committed", Now);
  Transactions.setCommitted(Request.Transaction, valueOf(Reply).Position);
  auto Monitor = Targets.monitorOf(Request.Database);
  ExecuteResponse Out;
  Out.Position = valueOf(Reply).Position;
  Status Confirmed = Error{.Code = ErrorCode::UnknownDatabase,
                           .Outcome = Verdict::MayHaveRun,
                           .Message = "the database was withdrawn"};
  if (Monitor)
    Confirmed = co_await Monitor->confirm(Out.Position, Deadline);
  if (const Error *E = errorOf(Confirmed))
    co_return internal::failed(*E);
  fillPrimary(ResolvedTarget{.Monitor = Monitor, .Pool = Entry->Pool}, Out);
  co_return Out;
}

boost::asio::awaitable<ExecuteResponse>
PoolerService::repeatCommit(ExecuteRequest Request) {
  const TransactionTable::Ended *Ended =
      Transactions.ended(Request.Transaction);
  if (!Ended || Ended->State != "committed")
    co_return internal::failed(internal::notOpenError(Ended, true));
  Request.Constraints.MinPosition = Ended->Committed;
  co_return co_await confirm(std::move(Request));
}

boost::asio::awaitable<ExecuteResponse>
PoolerService::rollback(ExecuteRequest Request) {
  if (!Transactions.find(Request.Transaction))
    co_return internal::failed(
        internal::notOpenError(Transactions.ended(Request.Transaction), false));
  Transactions.end(Request.Transaction, "rollback", "rolled back",
                   BootClock::now());
  if (Transactions.find(Request.Transaction))
    co_return internal::failed(
        Error{.Code = ErrorCode::Conflict,
              .Message = "a statement of the transaction is running"});
  ExecuteResponse Out;
  Out.FromPrimary = true;
  co_return Out;
}

} // namespace cicadawind
