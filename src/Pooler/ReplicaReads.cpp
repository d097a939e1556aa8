// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Pooler/PoolerService.h"

#include "Observability/Metrics.h"
#include "Peers/PeerNode.h"
#include "Pooler/TargetPool.h"
#include "Targets/DatabaseGroup.h"

#include <algorithm>

// Reads on replicas, part of PoolerService.

namespace cicadawind {
namespace internal {

/// Reports take time to arrive, so the age known here may exceed the real age
/// of a replica's data by about this much.
constexpr Duration ReportDelayMargin = std::chrono::milliseconds(150);

} // namespace internal

boost::asio::awaitable<Status>
PoolerService::awaitReplica(const ExecuteRequest &Request,
                            ResolvedTarget Resolved, TimePoint Deadline) {
  TimePoint Now = BootClock::now();
  TimePoint End = std::min(Deadline, Now + Opts.MaxCatchUpWait);
  bool Refreshed = false;
  for (;;) {
    std::optional<InstanceReport> Report =
        Resolved.Monitor->control().reportOf(Request.Target);
    const std::optional<TermRecord> &Record =
        Resolved.Monitor->control().record();
    bool InTerm = Report && Record && Record->isOpen() &&
                  Report->PromisedTerm == Record->Current;
    if (!InTerm)
      co_return Error{.Code = ErrorCode::ReplicaBehind,
                      .Message = "the replica has not joined the term"};
    // The report may be older than the replica's state; checkReplicaReply
    // checks the reply itself.
    std::optional<Duration> Age = Resolved.Monitor->ageOf(Report->Applied);
    bool Fresh = Age && *Age <= Request.Constraints.AcceptedAge;
    bool Covers =
        Report->Applied.Index >= Request.Constraints.MinPosition.Index;
    if (Fresh && Covers)
      co_return std::monostate();
    Now = BootClock::now();
    if (Now >= End)
      co_return Error{.Code = ErrorCode::ReplicaBehind,
                      .Message = "the replica's data is older than the read "
                                 "accepts"};
    // A newer report can show that the data is fresh enough.
    bool Marginal = !Age || *Age <= Request.Constraints.AcceptedAge +
                                        internal::ReportDelayMargin;
    if ((Marginal || !Covers) && !Refreshed) {
      Refreshed = true;
      co_await Resolved.Monitor->refreshReports();
      continue;
    }
    co_await Resolved.Monitor->waitForChange(End - Now);
  }
}

Status PoolerService::checkReplicaReply(const ExecuteRequest &Request,
                                        const ResolvedTarget &Resolved,
                                        const StatementReply &Reply,
                                        ExecuteResponse &Out) const {
  const std::optional<TermRecord> &Record =
      Resolved.Monitor->control().record();
  bool SameTerm = Record && Reply.ExecutedTerm == Record->Current;
  std::optional<Duration> Age = Resolved.Monitor->ageOf(Reply.Position);
  bool Covers = Reply.Position.Index >= Request.Constraints.MinPosition.Index;
  bool Fresh = Age && *Age <= Request.Constraints.AcceptedAge;
  if (!SameTerm || !Covers || !Fresh)
    return Error{.Code = ErrorCode::ReplicaBehind,
                 .Outcome = Verdict::MayHaveRun,
                 .Message = "the replica's answer was older than accepted"};
  Out.FreshAt = BootClock::now() - *Age;
  return std::monostate();
}

void PoolerService::fillReplicaState(const std::string &Target,
                                     const ResolvedTarget &Resolved,
                                     ExecuteResponse &Out) {
  std::optional<InstanceReport> Report =
      Resolved.Monitor->control().reportOf(Target);
  if (!Report)
    return;
  std::optional<Duration> Age = Resolved.Monitor->ageOf(Report->Applied);
  if (!Age)
    return;
  Out.Position = Report->Applied;
  Out.FreshAt = BootClock::now() - *Age;
}

boost::asio::awaitable<ExecuteResponse>
PoolerService::runOnReplica(ExecuteRequest Request, ResolvedTarget Resolved) {
  ExecuteResponse Out;
  TimePoint Deadline = BootClock::now() + Request.TimeLeft;
  Status Ready = co_await awaitReplica(Request, Resolved, Deadline);
  if (const Error *E = errorOf(Ready)) {
    Out.Failure = *E;
    fillReplicaState(Request.Target, Resolved, Out);
    co_return Out;
  }
  Term ExpectedTerm = Resolved.Monitor->hint().CurrentTerm;
  Result<StatementReply> Reply = co_await runInSlot(
      Resolved.Pool, Request, ExpectedTerm, Deadline, Out.Queued);
  if (const Error *E = errorOf(Reply)) {
    Out.Failure = *E;
    co_return Out;
  }
  Resolved.Monitor->recordApplied(Request.Target, valueOf(Reply).Position);
  Status Checked = checkReplicaReply(Request, Resolved, valueOf(Reply), Out);
  if (const Error *E = errorOf(Checked)) {
    Out.Failure = *E;
    co_return Out;
  }
  Out.Rows = std::move(valueOf(Reply).Rows);
  Out.Position = valueOf(Reply).Position;
  co_return Out;
}

} // namespace cicadawind
