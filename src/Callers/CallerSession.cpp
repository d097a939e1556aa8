// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Callers/CallerSession.h"

#include "Dispatch/GroupDispatcher.h"
#include "Net/LineStream.h"

#include <algorithm>
#include <cassert>

namespace cicadawind {
namespace internal {

/// Number of received requests that may wait for the active one; the connection
/// of a caller that sends more is closed.
constexpr std::size_t MaxInboxRequests = 64;
/// Time that the first request of a session may take to arrive after the caller
/// has opened it. Callers are a few milliseconds away; a full link adds more.
constexpr Duration FirstRequestWait = std::chrono::milliseconds(1000);
/// Number of attempts of a read, from the first one on, that may take only half
/// of the time that is left until its deadline, so that another target can
/// still answer.
constexpr unsigned ShortenedAttempts = 2;

} // namespace internal

CallerSession::CallerSession(std::shared_ptr<LineStream> NewStream,
                             std::shared_ptr<const Host> NewOwner)
    : Stream(std::move(NewStream)), Owner(std::move(NewOwner)),
      LastActivity(BootClock::now()) {
  assert(Owner && Owner->Codec &&
         "a caller session needs a host and its codec");
}

void CallerSession::start() {
  Stream->onLine([Self = shared_from_this()](std::string_view Line) {
    Self->handleLine(Line);
  });
  Stream->onEnd([Self = shared_from_this()](LineStream::End) { Self->end(); });
  Stream->start();
}

void CallerSession::handleLine(std::string_view Line) {
  LastActivity = BootClock::now();
  CallerMessage Message = Owner->Codec->decodeCaller(Line);
  if (std::holds_alternative<EndSession>(Message))
    return close();
  if (const OpenSession *Opening = std::get_if<OpenSession>(&Message)) {
    if (Opened || OpeningThatWaits)
      return rejectMessage({.Id = "", .Reason = "the session is open"});
    return openSession(*Opening);
  }
  if (const auto *Malformed = std::get_if<MalformedMessage>(&Message))
    return rejectMessage(*Malformed);
  if (!Opened)
    return rejectMessage({.Id = "", .Reason = "the session is not open"});
  if (Inbox.size() >= internal::MaxInboxRequests)
    return close();
  HasReceivedRequest = true;
  Inbox.push_back(std::move(std::get<Statement>(Message)));
  processNext();
}

void CallerSession::retryOpen() {
  if (Opened || !OpeningThatWaits || Ended)
    return;
  OpenSession Opening = std::move(*OpeningThatWaits);
  OpeningThatWaits.reset();
  openSession(std::move(Opening));
}

std::optional<std::string>
CallerSession::findAccount(const RouteConfig &Route) const {
  const AccountDirectory &Accounts = Owner->Config().Accounts;
  if (!Accounts.isEnabled())
    return std::string();
  if (const ClientAccount *Found = Accounts.findByKey(Key))
    return Found->Name;
  if (Route.Public)
    return std::string();
  return std::nullopt;
}

bool CallerSession::hasCurrentAccount() const {
  return findAccount(Route) == Account;
}

bool CallerSession::isPermitted() const {
  const RouteConfig *Found = route();
  return Found && findAccount(*Found);
}

void CallerSession::refuseOpening(const OpenSession &Opening,
                                  const Error &Failure) {
  std::string Bytes;
  Owner->Codec->encodeError(Bytes, Failure.Code, Failure.Message);
  Owner->Report({.Id = "-",
                 .Database = Opening.Database,
                 .Kind = "open",
                 .Outcome = "refused",
                 .Reason = Failure.Message,
                 .Code = std::string(toString(Failure.Code))});
  Stream->send(Bytes);
  Stream->closeAfterSending();
  end();
}

void CallerSession::openSession(OpenSession Opening) {
  // Nothing is known before the first configuration is active.
  if (Owner->Config().Version == 0) {
    OpeningThatWaits = std::move(Opening);
    return;
  }
  const RouteConfig *Found = Owner->Config().findRoute(Opening.Database);
  if (!Found)
    return refuseOpening(Opening, Error{.Code = ErrorCode::UnknownDatabase,
                                        .Message = "no such database"});
  Key = Opening.Key;
  if (!findAccount(*Found))
    return refuseOpening(Opening, Error{.Code = ErrorCode::Unauthorized,
                                        .Message = "unknown API key"});
  Database = std::move(Opening.Database);
  Opened = true;
  std::string Bytes;
  Owner->Codec->encodeReady(Bytes, SessionPhase::Idle, std::nullopt);
  Stream->send(Bytes);
}

void CallerSession::rejectMessage(const MalformedMessage &Message) {
  std::string Bytes;
  Owner->Codec->encodeError(Bytes, ErrorCode::BadRequest, Message.Reason);
  bool KeepsSession = Opened && !Message.Id.empty() && !Active && Inbox.empty();
  if (KeepsSession)
    Owner->Codec->encodeReady(Bytes, phase(), std::nullopt);
  Owner->Report({.Id = Message.Id,
                 .Database = Database,
                 .Kind = "malformed",
                 .Outcome = "refused",
                 .Reason = Message.Reason,
                 .Code = std::string(toString(ErrorCode::BadRequest))});
  // While a request is active, the caller would take the error for its
  // response, so it is not sent.
  if (!Active)
    Stream->send(Bytes);
  if (KeepsSession)
    return;
  Stream->closeAfterSending();
  end();
}

const RouteConfig *CallerSession::route() const {
  return Owner->Config().findRoute(Database);
}

SessionPhase CallerSession::phase() const {
  switch (Transaction.CurrentStage) {
  case CallerTransaction::Stage::None:
    return SessionPhase::Idle;
  case CallerTransaction::Stage::Failed:
    return SessionPhase::FailedTransaction;
  default:
    return SessionPhase::InTransaction;
  }
}

void CallerSession::processNext() {
  while (!Active && !Inbox.empty() && !Ended) {
    Statement Next = std::move(Inbox.front());
    Inbox.pop_front();
    handle(std::move(Next));
  }
}

void CallerSession::handle(Statement Request) {
  if (Transaction.CurrentStage == CallerTransaction::Stage::Failed)
    return handleInFailedTransaction(Request);
  switch (Request.Kind) {
  case StatementKind::Begin:
  case StatementKind::BeginReadOnly:
    return beginTransaction(Request);
  case StatementKind::Rollback:
    return rollBack(Request);
  case StatementKind::SetValue:
  case StatementKind::Prepare:
  case StatementKind::ClosePrepared:
    return handleLocally(Request);
  default:
    return runOnTarget(std::move(Request));
  }
}

void CallerSession::respondLocally(const Statement &Request,
                                   const Error *Failure) {
  std::string Bytes;
  if (Failure)
    Owner->Codec->encodeError(Bytes, Failure->Code, Failure->Message);
  else
    Owner->Codec->encodeCompleted(Bytes, "");
  Owner->Codec->encodeReady(Bytes, phase(), std::nullopt);
  if (Failure) {
    RequestReport Report;
    Report.Id = Request.Id;
    Report.Database = Database;
    Report.Kind = toString(Request.Kind);
    Report.Outcome = "refused";
    Report.Reason = Failure->Message;
    Report.Code = toString(Failure->Code);
    Owner->Report(Report);
  }
  Stream->send(Bytes);
}

void CallerSession::handleInFailedTransaction(const Statement &Request) {
  bool EndsTransaction = Request.Kind == StatementKind::Rollback ||
                         Request.Kind == StatementKind::Commit;
  if (!EndsTransaction) {
    bool IsUntold = std::exchange(Transaction.MustTellFailure, false);
    Error Failure{.Code = IsUntold ? ErrorCode::TransactionEnded
                                   : ErrorCode::BadRequest,
                  .Message = "the transaction has failed; roll it back"};
    return respondLocally(Request, &Failure);
  }
  Transaction = CallerTransaction();
  if (Request.Kind == StatementKind::Rollback)
    return respondLocally(Request, nullptr);
  Error Failure{.Code = ErrorCode::TransactionEnded,
                .Message = "the transaction had failed and is rolled back"};
  respondLocally(Request, &Failure);
}

void CallerSession::beginTransaction(const Statement &Request) {
  Error Failure{.Code = ErrorCode::BadRequest,
                .Message = "a transaction is open"};
  if (Transaction.isOpen())
    return respondLocally(Request, &Failure);
  const RouteConfig *Found = route();
  if (!Found) {
    Failure = Error{.Code = ErrorCode::UnknownDatabase,
                    .Message = "the database was withdrawn"};
    return respondLocally(Request, &Failure);
  }
  std::optional<std::string> FoundAccount = findAccount(*Found);
  if (!FoundAccount) {
    Failure = Error{.Code = ErrorCode::Unauthorized,
                    .Message = "the API key was removed"};
    return respondLocally(Request, &Failure);
  }
  if (!Owner->MayRun(BootClock::now() + Found->StatementTimeout))
    return refuseLeaving(Request);
  Route = *Found;
  Account = std::move(*FoundAccount);
  Transaction.CurrentStage = CallerTransaction::Stage::BeginPending;
  Transaction.ReadOnly = Request.Kind == StatementKind::BeginReadOnly;
  Transaction.Since = BootClock::now();
  respondLocally(Request, nullptr);
}

void CallerSession::refuseLeaving(const Statement &Request) {
  Error Failure{.Code = ErrorCode::Overloaded,
                .Message = "this VM stops before the request could end"};
  if (Transaction.isOpen()) {
    Failure.Code = ErrorCode::TransactionEnded;
    releaseLink(true);
    Transaction.CurrentStage = CallerTransaction::Stage::Failed;
  }
  if (Request.Kind == StatementKind::Commit)
    Transaction = CallerTransaction();
  respondLocally(Request, &Failure);
  closeIfIdle();
}

void CallerSession::rollBack(const Statement &Request) {
  if (!Transaction.isOpen()) {
    Error Failure{.Code = ErrorCode::BadRequest,
                  .Message = "no transaction is open"};
    return respondLocally(Request, &Failure);
  }
  bool Pinned = Transaction.CurrentStage == CallerTransaction::Stage::Pinned;
  Transaction = CallerTransaction();
  if (Pinned)
    releaseLink(true);
  respondLocally(Request, nullptr);
}

void CallerSession::handleLocally(const Statement &Request) {
  if (Request.Kind == StatementKind::SetValue)
    Values[Request.Name] = Request.Rest;
  else if (Request.Kind == StatementKind::Prepare)
    Prepared[Request.Name] = {.Writes = Request.PreparesWrite,
                              .Template = Request.Rest};
  else
    Prepared.erase(Request.Name);
  respondLocally(Request, nullptr);
}

void CallerSession::sweep(TimePoint Now) {
  if (Ended)
    return;
  const CallerLimits &Limits = Owner->Config().Callers;
  TimePoint IncompleteSince = Stream->partialSince();
  bool IsStalled = IncompleteSince != TimePoint() &&
                   Now - IncompleteSince > Limits.IncompleteMessage;
  if (IsStalled || (!Opened && Now - LastActivity > Limits.IncompleteMessage))
    return close();
  if (!Active) {
    if (Transaction.isOpen() && Now - LastActivity > Limits.IdleTransaction)
      endIdleTransaction("idle");
    else if (isIdle() && Now - LastActivity > Limits.IdleSession)
      closeIfIdle();
    return;
  }
  // The dispatcher ends the wait for a connection or a confirmation.
  if (!CurrentGrant.Link || AwaitsConfirmation)
    return;
  bool IsRead = !Active->WriteSent && !Transaction.isOpen();
  TimePoint AttemptEnd =
      Active->AttemptSince + (Active->Deadline - Active->AttemptSince) / 2;
  bool IsShortened = IsRead && Active->Attempts <= internal::ShortenedAttempts;
  bool IsOverdue =
      Now >= Active->Deadline || (IsShortened && Now >= AttemptEnd);
  if (!IsOverdue)
    return;
  Dispatcher->recordTimeout(CurrentGrant.Instance);
  // Failing the link calls onLinkFailed through the reply hook.
  std::shared_ptr<TargetLink> Link = CurrentGrant.Link;
  Link->failPending();
}

bool CallerSession::closeIfIdle() {
  // A request that has arrived but was not read yet would get no response.
  if (!isIdle() || Stream->hasUnread())
    return false;
  // A response may still be queued for sending.
  Stream->closeAfterSending();
  end();
  return true;
}

bool CallerSession::closeIfUnused(TimePoint Now) {
  bool AwaitsFirstRequest =
      !HasReceivedRequest && Now - LastActivity < internal::FirstRequestWait;
  return !AwaitsFirstRequest && closeIfIdle();
}

void CallerSession::endIdleTransaction(const char *Reason) {
  if (Active || !Transaction.isOpen() ||
      Transaction.CurrentStage == CallerTransaction::Stage::Failed)
    return;
  releaseLink(true);
  Transaction.CurrentStage = CallerTransaction::Stage::Failed;
  Transaction.MustTellFailure = true;
  Owner->Report({.Id = "-",
                 .Database = Database,
                 .Kind = "transaction",
                 .Outcome = "refused",
                 .Reason = std::string("ended while ") + Reason,
                 .Code = std::string(toString(ErrorCode::TransactionEnded))});
}

void CallerSession::report(const char *Outcome, const Error *Failure) const {
  TimePoint Now = BootClock::now();
  RequestReport Report;
  Report.Id = Active->Request.Id;
  Report.Database = Database;
  Report.Group = Route.Group;
  Report.Account = Account;
  Report.Kind = toString(Active->Request.Kind);
  Report.Outcome = Outcome;
  if (Failure) {
    Report.Reason = Failure->Message;
    Report.Code = toString(Failure->Code);
  }
  Report.FailedAttempts = Active->FailedAttempts;
  Report.Instance = Active->LastInstance;
  if (Active->MinPosition)
    Report.MinPosition = toString(*Active->MinPosition);
  std::optional<LeadershipProof> Proof;
  if (Dispatcher)
    Proof = Dispatcher->tracker().newest();
  if (Proof)
    Report.ProofAge = Now - Proof->RequestedAt;
  if (Failure && Dispatcher)
    Report.Connections = Dispatcher->connectionCount();
  Report.Attempts = Active->Attempts;
  Report.Latency = Now - Active->Since;
  Owner->Report(Report);
}

void CallerSession::close() {
  Stream->close();
  end();
}

void CallerSession::end() {
  if (std::exchange(Ended, true))
    return;
  std::shared_ptr<CallerSession> Self = shared_from_this();
  ++StepId;
  AwaitsConfirmation = false;
  if (Ticket && Dispatcher)
    Dispatcher->cancel(std::exchange(Ticket, 0));
  if (PermitTicket)
    Owner->CancelAdmit(std::exchange(PermitTicket, 0));
  if (Active) {
    // The target rolls back a write inside a transaction, as its connection is
    // closed.
    bool MayHaveRun = Active->WriteSent && acknowledgesWrite();
    Error Failure{.Code = MayHaveRun ? ErrorCode::NotConfirmed
                                     : ErrorCode::ConnectionLost,
                  .Message = "the caller's connection ended"};
    report(MayHaveRun ? "in_doubt" : "failed", &Failure);
  }
  // An active statement may still run, so its connection is not used again.
  releaseLink(!Active);
  Transaction = CallerTransaction();
  Active.reset();
  Owner->Ended(Self);
}

} // namespace cicadawind
