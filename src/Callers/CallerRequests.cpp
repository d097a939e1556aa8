// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Callers/CallerSession.h"
#include "Dispatch/GroupDispatcher.h"
#include "Net/LineStream.h"

#include <algorithm>

namespace cicadawind {
namespace internal {

/// A statement may wait for a connection for its route's latency objective
/// divided by this.
constexpr unsigned WaitDivisor = 4;
constexpr unsigned MaxAttempts = 8;
/// Backoff after a target was too busy to accept a statement.
constexpr Duration BusyBackoff = std::chrono::milliseconds(10);

static Error keyRemoved() {
  return Error{.Code = ErrorCode::Unauthorized,
               .Message = "the API key was removed"};
}

} // namespace internal

bool CallerSession::isWrite(const Statement &Request) const {
  if (Request.Kind == StatementKind::Write)
    return true;
  if (Request.Kind != StatementKind::ExecutePrepared)
    return false;
  auto It = Prepared.find(Request.Name);
  return It != Prepared.end() && It->second.Writes;
}

std::string CallerSession::targetTextFor(const Statement &Request,
                                         TargetLink &Link) const {
  if (Request.Kind != StatementKind::ExecutePrepared)
    return Request.Text;
  const PreparedStatement &Entry = Prepared.at(Request.Name);
  std::string Name = Link.prepare(Entry.Writes, Entry.Template);
  return Owner->Codec->executeText(Name, Request.Rest);
}

void CallerSession::runOnTarget(Statement Request) {
  TimePoint Now = BootClock::now();
  Error Failure;
  if (Request.Kind == StatementKind::ExecutePrepared &&
      !Prepared.count(Request.Name)) {
    Failure = Error{.Code = ErrorCode::NotFound,
                    .Message = "no such prepared statement"};
  } else if (Request.Kind == StatementKind::Commit && !Transaction.isOpen()) {
    Failure = Error{.Code = ErrorCode::BadRequest,
                    .Message = "no transaction is open"};
  } else if (!Transaction.isOpen()) {
    const RouteConfig *Found = route();
    std::optional<std::string> FoundAccount;
    if (Found)
      FoundAccount = findAccount(*Found);
    if (!Found) {
      Failure = Error{.Code = ErrorCode::UnknownDatabase,
                      .Message = "the database was withdrawn"};
    } else if (!FoundAccount) {
      Failure = internal::keyRemoved();
    } else {
      Route = *Found;
      Account = std::move(*FoundAccount);
    }
  } else if (!hasCurrentAccount()) {
    Failure = internal::keyRemoved();
  }
  if (!Failure.Message.empty())
    return refuseWithdrawn(Request, Failure);
  if (!Owner->MayRun(Now + Route.StatementTimeout))
    return refuseLeaving(Request);
  Active.emplace();
  Active->Request = std::move(Request);
  Active->Since = Now;
  Active->Deadline = Now + Route.StatementTimeout;
  Active->GiveUpAt = Now + Route.LatencyObjective / internal::WaitDivisor;
  if (Transaction.CurrentStage == CallerTransaction::Stage::Pinned) {
    CurrentGrant.Link->applyValues(Values);
    return sendActiveRequest(std::nullopt);
  }
  requestPermit();
}

void CallerSession::refuseWithdrawn(const Statement &Request,
                                    const Error &Failure) {
  if (Transaction.isOpen()) {
    releaseLink(true);
    Transaction.CurrentStage = CallerTransaction::Stage::Failed;
    if (Request.Kind == StatementKind::Commit)
      Transaction = CallerTransaction();
  }
  respondLocally(Request, &Failure);
}

void CallerSession::requestPermit() {
  if (Account.empty() || !Owner->Admit)
    return requestLink();
  std::uint64_t Id = ++StepId;
  std::weak_ptr<CallerSession> Weak = shared_from_this();
  TimePoint ExpectedAt = std::min(Owner->PermitsExpectedAt, Active->Deadline);
  std::uint64_t NewTicket =
      Owner->Admit(Account, std::max(Active->GiveUpAt, ExpectedAt),
                   [Weak, Id](const PermitOutcome &Outcome) {
                     std::shared_ptr<CallerSession> Self = Weak.lock();
                     if (!Self || Self->StepId != Id)
                       return;
                     Self->PermitTicket = 0;
                     Self->onPermit(Outcome);
                   });
  // Admit may have decided at once, and the request has gone on or has ended.
  if (StepId == Id && Active)
    PermitTicket = NewTicket;
}

void CallerSession::onPermit(const PermitOutcome &Outcome) {
  switch (Outcome.Result) {
  case PermitOutcome::Kind::Granted:
    extendWait();
    return requestLink();
  case PermitOutcome::Kind::OverLimit:
    return finishWithError(
        Error{.Code = ErrorCode::RateLimited,
              .Message = "the account is over its rate limit; retry in " +
                         std::to_string(toMillis(Outcome.RetryAfter).count()) +
                         " ms"});
  case PermitOutcome::Kind::Unavailable:
    return finishWithError(
        Error{.Code = ErrorCode::Overloaded,
              .Message = "no VM that issues permits of the account answered"});
  }
}

void CallerSession::requestLink() {
  Dispatcher = Owner->Group(Route.Group);
  if (!Dispatcher)
    return finishWithError(
        Error{.Code = ErrorCode::Overloaded,
              .Message = "no target of the database is known"});
  LinkRequest Request;
  bool OnlyReads =
      Transaction.isOpen() ? Transaction.ReadOnly : !isWrite(Active->Request);
  Request.NeedsPrimary = !OnlyReads || Route.Reads == Consistency::Latest;
  TimePoint Start = Transaction.isOpen() ? Transaction.Since : Active->Since;
  Request.MustSeeBefore = Start - Route.MaxStaleness;
  Request.AcceptedAge = Route.MaxStaleness;
  if (Route.Reads == Consistency::ReadYourWrites)
    Request.LastWrite = LastWrite;
  Request.Account = Account;
  Request.Priority = Route.Priority;
  Request.GiveUpAt = Active->GiveUpAt;
  Request.NotBefore = Active->NotBefore;
  Request.AvoidTarget = Active->LastInstance;
  std::uint64_t Id = ++StepId;
  std::weak_ptr<CallerSession> Weak = shared_from_this();
  Request.Granted = [Weak, Id, D = Dispatcher](LinkGrant Grant) {
    std::shared_ptr<CallerSession> Self = Weak.lock();
    if (!Self || Self->StepId != Id)
      return D->release(Grant.Link);
    Self->onGranted(std::move(Grant));
  };
  Request.Refused = [Weak, Id](const Error &Failure) {
    std::shared_ptr<CallerSession> Self = Weak.lock();
    if (!Self || Self->StepId != Id)
      return;
    Self->Ticket = 0;
    bool HasFailedAttempt = !Self->Active->LastFailure.Message.empty();
    Self->finishWithError(HasFailedAttempt ? Self->Active->LastFailure
                                           : Failure);
  };
  std::uint64_t NewTicket = Dispatcher->submit(std::move(Request));
  // submit may have granted the link at once. The attempt then has its link or
  // has ended, and no ticket is needed.
  if (StepId == Id && !CurrentGrant.Link && Active)
    Ticket = NewTicket;
}

void CallerSession::onGranted(LinkGrant Grant) {
  Ticket = 0;
  if (!hasCurrentAccount()) {
    Dispatcher->release(Grant.Link);
    return finishWithError(internal::keyRemoved());
  }
  CurrentGrant = std::move(Grant);
  ++Active->Attempts;
  Active->AttemptSince = BootClock::now();
  Active->LastInstance = CurrentGrant.Instance;
  Active->MinPosition = CurrentGrant.MinPosition;
  CurrentGrant.Link->applyValues(Values);
  // For a read, a target checks that it is still primary only in a transaction
  // that may write. At the target that is believed to be the primary, a
  // read-only transaction is therefore begun as one that may write, and a
  // single read runs in such a transaction of its own.
  if (Transaction.isOpen()) {
    bool ReadOnly = Transaction.ReadOnly && !CurrentGrant.IsPrimary;
    return beginThenRun(ReadOnly, CurrentGrant.MinPosition);
  }
  if (CurrentGrant.IsPrimary && !isWrite(Active->Request))
    return beginThenRun(false, std::nullopt);
  sendActiveRequest(CurrentGrant.MinPosition);
}

void CallerSession::beginThenRun(bool ReadOnly,
                                 std::optional<LogPosition> MinPosition) {
  std::uint64_t Id = ++StepId;
  std::weak_ptr<CallerSession> Weak = shared_from_this();
  auto Hook = [Weak, Id, D = Dispatcher,
               Link = CurrentGrant.Link](const TargetReply *Reply) {
    std::shared_ptr<CallerSession> Self = Weak.lock();
    if (!Self || Self->StepId != Id)
      return;
    if (!Reply)
      return Self->onLinkFailed();
    // A replica refuses a transaction that may write, so the reply to such a
    // begin proves that the target is primary.
    D->recordReply(Link->instance(), *Reply, Self->CurrentGrant.IsPrimary);
    if (Reply->Refused)
      return Self->onErrorReply(*Reply);
    if (Self->Transaction.isOpen())
      Self->Transaction.CurrentStage = CallerTransaction::Stage::Pinned;
    Self->sendActiveRequest(std::nullopt);
  };
  CurrentGrant.Link->begin(ReadOnly, MinPosition, std::move(Hook));
}

void CallerSession::sendActiveRequest(std::optional<LogPosition> MinPosition) {
  const Statement &Request = Active->Request;
  bool Write = isWrite(Request);
  if (Write || Request.Kind == StatementKind::Commit)
    Active->WriteSent = true;
  if (Write && Transaction.isOpen())
    Transaction.Wrote = true;
  std::uint64_t Id = ++StepId;
  std::weak_ptr<CallerSession> Weak = shared_from_this();
  std::string Text = targetTextFor(Request, *CurrentGrant.Link);
  CurrentGrant.Link->runStatement(
      Request.Id, Text, MinPosition, [Weak, Id](const TargetReply *Reply) {
        std::shared_ptr<CallerSession> Self = Weak.lock();
        if (Self && Self->StepId == Id)
          Self->onReply(Reply);
      });
  // A transaction that was begun only for this read ends with it; the rollback
  // is sent without waiting for the read's reply.
  if (!Transaction.isOpen() && CurrentGrant.Link->inTransaction())
    rollBackAndRelease();
}

void CallerSession::rollBackAndRelease() {
  CurrentGrant.RollbackEnded = std::make_shared<bool>(false);
  auto Hook = [D = Dispatcher, Link = CurrentGrant.Link,
               HasEnded =
                   CurrentGrant.RollbackEnded](const TargetReply *Reply) {
    *HasEnded = true;
    bool Ended =
        Reply && !Reply->Refused && Reply->Ready.Phase == SessionPhase::Idle;
    if (Ended)
      return D->release(Link);
    Link->close();
  };
  CurrentGrant.Link->rollback(std::move(Hook));
}

void CallerSession::onReply(const TargetReply *Reply) {
  if (!Reply)
    return onLinkFailed();
  // A target that is no longer primary still commits a transaction that wrote
  // nothing, so the reply to such a commit is no leadership proof.
  bool IsCommit = Active->Request.Kind == StatementKind::Commit;
  bool IsLeadershipProof = IsCommit
                               ? Transaction.Wrote
                               : isWrite(Active->Request) ||
                                     Reply->Ready.Phase != SessionPhase::Idle;
  Dispatcher->recordReply(CurrentGrant.Instance, *Reply,
                          CurrentGrant.IsPrimary && IsLeadershipProof);
  if (Reply->Refused)
    return onErrorReply(*Reply);
  if (acknowledgesWrite())
    return respondIfConfirmed(*Reply);
  respond(*Reply);
}

bool CallerSession::acknowledgesWrite() const {
  if (Active->Request.Kind == StatementKind::Commit)
    return Transaction.Wrote;
  return isWrite(Active->Request) && !Transaction.isOpen();
}

void CallerSession::respondIfConfirmed(const TargetReply &Reply) {
  TimePoint Now = BootClock::now();
  if (Dispatcher->isWriteConfirmed(CurrentGrant.Instance, Now))
    return respond(Reply);
  std::uint64_t Id = ++StepId;
  std::weak_ptr<CallerSession> Weak = shared_from_this();
  AwaitsConfirmation = true;
  Dispatcher->confirmWrite(
      CurrentGrant.Instance, Now, Active->Deadline,
      [Weak, Id, Reply](bool IsConfirmed) {
        std::shared_ptr<CallerSession> Self = Weak.lock();
        if (!Self || Self->StepId != Id)
          return;
        Self->AwaitsConfirmation = false;
        if (IsConfirmed)
          return Self->respond(Reply);
        Self->releaseLink(true);
        Self->Transaction = CallerTransaction();
        Self->finishWithError(
            Error{.Code = ErrorCode::NotConfirmed,
                  .Message = "the primary may have been replaced"});
      });
}

void CallerSession::respond(const TargetReply &Reply) {
  const Statement &Request = Active->Request;
  bool IsCommit = Request.Kind == StatementKind::Commit;
  if (acknowledgesWrite() && Reply.Ready.Position)
    LastWrite = SessionWrite{.Position = *Reply.Ready.Position,
                             .AcknowledgedAt = BootClock::now(),
                             .Epoch = Dispatcher->tracker().epoch()};
  if (IsCommit)
    Transaction = CallerTransaction();
  std::string Bytes;
  for (const std::string &Row : Reply.Rows)
    Owner->Codec->encodeRow(Bytes, Row);
  Owner->Codec->encodeCompleted(Bytes, *Reply.Receipt);
  Owner->Codec->encodeReady(Bytes, phase(), std::nullopt);
  if (!Transaction.isOpen())
    releaseLink(true);
  finish(Bytes, "ok", nullptr);
}

void CallerSession::releaseLink(bool Healthy) {
  LinkGrant Grant = std::exchange(CurrentGrant, LinkGrant());
  if (!Grant.Link)
    return;
  if (!Healthy || !Grant.Link->isOpen())
    return Grant.Link->close();
  if (Grant.RollbackEnded) {
    // The link may be another session's by now.
    if (!*Grant.RollbackEnded)
      Dispatcher->expectRelease(Grant.Link);
    return;
  }
  if (!Grant.Link->isIdle())
    return Grant.Link->close();
  if (!Grant.Link->inTransaction())
    return Dispatcher->release(Grant.Link);
  CurrentGrant = std::move(Grant);
  rollBackAndRelease();
  std::shared_ptr<TargetLink> Link = std::move(CurrentGrant.Link);
  CurrentGrant = LinkGrant();
  Dispatcher->expectRelease(Link);
}

void CallerSession::onErrorReply(const TargetReply &Reply) {
  Error Failure{.Code = Reply.Refused->Code, .Message = Reply.Refused->Text};
  // Only a relay answers a request with this code, after the request has waited
  // there for a connection.
  bool RefusedByRelay = Failure.Code == ErrorCode::TooManyConnections;
  if (RefusedByRelay)
    Failure.Code = ErrorCode::Overloaded;
  bool NotRun = Failure.Code == ErrorCode::Overloaded ||
                Failure.Code == ErrorCode::ReplicaBehind ||
                Failure.Code == ErrorCode::NotPrimary ||
                Failure.Code == ErrorCode::NotFound;
  Failure.Outcome = NotRun ? Verdict::NotRun : Verdict::Ran;
  if (NotRun && Active->Request.Kind != StatementKind::Commit)
    Active->WriteSent = false;
  bool Pinned = Transaction.CurrentStage == CallerTransaction::Stage::Pinned;
  if (Pinned) {
    bool IsCommit = Active->Request.Kind == StatementKind::Commit;
    releaseLink(true);
    Transaction.CurrentStage = CallerTransaction::Stage::Failed;
    if (IsCommit)
      Transaction = CallerTransaction();
    // The caller receives the target's error code and text, but not its log
    // position.
    std::string Bytes;
    Owner->Codec->encodeError(Bytes, Failure.Code, Failure.Message);
    Owner->Codec->encodeReady(Bytes, phase(), std::nullopt);
    Active->recordFailure(Failure);
    return finish(Bytes, "refused", &Failure);
  }
  Active->recordFailure(Failure);
  // NotFound means that the target lacks a prepared statement that this link
  // has recorded. The record is wrong, so the link is closed.
  releaseLink(Failure.Code != ErrorCode::NotFound);
  if (RefusedByRelay && BootClock::now() >= Active->GiveUpAt)
    return finishWithError(Failure);
  if (NotRun)
    return retryOrRefuse(Failure);
  // After any other error, a request that is not a write is attempted once
  // more.
  if (!isWrite(Active->Request) && Active->Attempts < 2)
    return retryOrRefuse(Failure);
  finishWithError(Failure);
}

void CallerSession::onLinkFailed() {
  releaseLink(false);
  bool IsCommit = Active->Request.Kind == StatementKind::Commit;
  bool InTransaction = Transaction.isOpen();
  Error Failure{.Code = ErrorCode::StatementFailed,
                .Message = "the connection to the target was lost"};
  bool MayHaveCommitted =
      Active->WriteSent && (!InTransaction || (IsCommit && Transaction.Wrote));
  if (MayHaveCommitted)
    Failure.Code = ErrorCode::NotConfirmed;
  else if (InTransaction)
    Failure.Code = ErrorCode::TransactionEnded;
  Active->recordFailure(Failure);
  if (!InTransaction && !MayHaveCommitted)
    return retryOrRefuse(Failure);
  if (InTransaction)
    Transaction.CurrentStage = CallerTransaction::Stage::Failed;
  if (IsCommit)
    Transaction = CallerTransaction();
  finishWithError(Failure);
}

void CallerSession::retryOrRefuse(Error Failure) {
  TimePoint Now = BootClock::now();
  bool MayRetry = Active->Attempts < internal::MaxAttempts &&
                  Now < Active->Deadline && !Ended;
  if (!MayRetry)
    return finishWithError(Failure);
  if (Failure.Code == ErrorCode::Overloaded)
    Active->NotBefore = Now + internal::BusyBackoff;
  extendWait();
  requestLink();
}

void CallerSession::extendWait() {
  TimePoint End =
      BootClock::now() + Route.LatencyObjective / internal::WaitDivisor;
  Active->GiveUpAt =
      std::max(Active->GiveUpAt, std::min(Active->Deadline, End));
}

void CallerSession::finishWithError(const Error &Failure) {
  if (Transaction.CurrentStage == CallerTransaction::Stage::BeginPending)
    Transaction.CurrentStage = CallerTransaction::Stage::Failed;
  std::string Bytes;
  Owner->Codec->encodeError(Bytes, Failure.Code, Failure.Message);
  Owner->Codec->encodeReady(Bytes, phase(), std::nullopt);
  const char *Outcome =
      Failure.Code == ErrorCode::NotConfirmed ? "in_doubt" : "refused";
  finish(Bytes, Outcome, &Failure);
}

void CallerSession::finish(const std::string &Bytes, const char *Outcome,
                           const Error *Failure) {
  ++StepId;
  report(Outcome, Failure);
  Active.reset();
  LastActivity = BootClock::now();
  Stream->send(Bytes);
  processNext();
}

} // namespace cicadawind
