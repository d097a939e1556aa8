// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Proxy/CallerSession.h"

#include "Net/LineStream.h"
#include "Proxy/GroupDispatcher.h"

#include <algorithm>
#include <cassert>

namespace cicadawind {
namespace internal {

/// Requests that a caller may send ahead of their answers.
constexpr std::size_t MaxInbox = 64;
/// Part of a latency objective that a statement may wait for a connection.
constexpr unsigned WaitDivisor = 4;
constexpr unsigned MaxAttempts = 8;
/// Pause after a target was too busy to take a statement.
constexpr Duration BusyPause = std::chrono::milliseconds(10);
/// Attempts of a read that end early, so that another target can still answer
/// in time: each may take half of what is left.
constexpr unsigned LimitedAttempts = 2;

static const char *nameOf(StatementKind Kind) {
  switch (Kind) {
  case StatementKind::Begin:
  case StatementKind::BeginReadOnly:
    return "begin";
  case StatementKind::Commit:
    return "commit";
  case StatementKind::Rollback:
    return "rollback";
  case StatementKind::Read:
    return "read";
  case StatementKind::Write:
    return "write";
  case StatementKind::SetValue:
    return "set";
  case StatementKind::Prepare:
    return "prepare";
  case StatementKind::ExecutePrepared:
    return "execute";
  case StatementKind::ClosePrepared:
    return "close";
  }
  return "unknown";
}

} // namespace internal

CallerSession::CallerSession(std::shared_ptr<LineStream> NewStream,
                             std::shared_ptr<const Host> NewServe)
    : Stream(std::move(NewStream)), Serve(std::move(NewServe)),
      LastActivity(BootClock::now()) {
  assert(Serve && Serve->Codec && "a session needs its host");
}

void CallerSession::start() {
  Stream->onLine([Self = shared_from_this()](std::string_view Line) {
    Self->takeLine(Line);
  });
  Stream->onEnd([Self = shared_from_this()](LineStream::End) { Self->end(); });
  Stream->start();
}

void CallerSession::takeLine(std::string_view Line) {
  LastActivity = BootClock::now();
  CallerMessage Message = Serve->Codec->decodeCaller(Line);
  if (std::holds_alternative<EndSession>(Message))
    return close();
  if (const OpenSession *Opening = std::get_if<OpenSession>(&Message)) {
    if (Started || !WaitingFor.empty())
      return rejectMessage({.Id = "", .Reason = "the session is open"});
    return openSession(Opening->Database);
  }
  if (const auto *Malformed = std::get_if<MalformedMessage>(&Message))
    return rejectMessage(*Malformed);
  if (!Started)
    return rejectMessage({.Id = "", .Reason = "the session is not open"});
  if (Inbox.size() >= internal::MaxInbox)
    return close();
  Inbox.push_back(std::move(std::get<Statement>(Message)));
  takeNext();
}

void CallerSession::retryOpen() {
  if (!Started && !WaitingFor.empty() && !Ended)
    openSession(std::exchange(WaitingFor, {}));
}

void CallerSession::openSession(const std::string &Name) {
  // Before the first configuration nothing is known of any database.
  if (Serve->Config().Version == 0) {
    WaitingFor = Name;
    return;
  }
  std::string Bytes;
  if (!Serve->Config().findRoute(Name)) {
    Serve->Codec->encodeError(Bytes, ErrorCode::UnknownDatabase,
                              "no such database");
    Serve->Report({.Id = "-",
                   .Database = Name,
                   .Kind = "open",
                   .Outcome = "refused",
                   .Why = "no such database"});
    Stream->send(Bytes);
    Stream->closeAfterSending();
    return end();
  }
  Database = Name;
  Started = true;
  Serve->Codec->encodeReady(Bytes, SessionPhase::Idle);
  Stream->send(Bytes);
}

void CallerSession::rejectMessage(const MalformedMessage &Message) {
  std::string Bytes;
  Serve->Codec->encodeError(Bytes, ErrorCode::BadRequest, Message.Reason);
  bool Continues = Started && !Message.Id.empty() && !Work && Inbox.empty();
  if (Continues)
    Serve->Codec->encodeReady(Bytes, phase());
  Serve->Report({.Id = Message.Id,
                 .Database = Database,
                 .Kind = "malformed",
                 .Outcome = "refused",
                 .Why = Message.Reason});
  // Behind a request in work the error would be taken for its answer.
  if (!Work)
    Stream->send(Bytes);
  if (Continues)
    return;
  Stream->closeAfterSending();
  end();
}

const RouteConfig *CallerSession::route() const {
  return Serve->Config().findRoute(Database);
}

SessionPhase CallerSession::phase() const {
  switch (Open.At) {
  case CallerTransaction::Stage::None:
    return SessionPhase::Idle;
  case CallerTransaction::Stage::Failed:
    return SessionPhase::FailedTransaction;
  default:
    return SessionPhase::InTransaction;
  }
}

void CallerSession::takeNext() {
  while (!Work && !Inbox.empty() && !Ended) {
    Statement Next = std::move(Inbox.front());
    Inbox.pop_front();
    handle(std::move(Next));
  }
}

void CallerSession::handle(Statement Request) {
  if (Open.At == CallerTransaction::Stage::Failed)
    return handleInFailed(Request);
  switch (Request.Kind) {
  case StatementKind::Begin:
  case StatementKind::BeginReadOnly:
    return beginTransaction(Request);
  case StatementKind::Rollback:
    return rollBack();
  case StatementKind::SetValue:
  case StatementKind::Prepare:
  case StatementKind::ClosePrepared:
    return handleLocally(Request);
  default:
    return runOnTarget(std::move(Request));
  }
}

void CallerSession::replyLocally(const Error *Failure) {
  std::string Bytes;
  if (Failure)
    Serve->Codec->encodeError(Bytes, Failure->Code, Failure->Message);
  else
    Serve->Codec->encodeCompleted(Bytes, "");
  Serve->Codec->encodeReady(Bytes, phase());
  Stream->send(Bytes);
}

void CallerSession::handleInFailed(const Statement &Request) {
  bool Ends = Request.Kind == StatementKind::Rollback ||
              Request.Kind == StatementKind::Commit;
  if (!Ends) {
    Error Failure{.Code = ErrorCode::BadRequest,
                  .Message = "the transaction has failed; roll it back"};
    return replyLocally(&Failure);
  }
  Open = CallerTransaction();
  if (Request.Kind == StatementKind::Rollback)
    return replyLocally(nullptr);
  Error Failure{.Code = ErrorCode::TransactionEnded,
                .Message = "the transaction had failed and is rolled back"};
  replyLocally(&Failure);
}

void CallerSession::beginTransaction(const Statement &Request) {
  Error Failure{.Code = ErrorCode::BadRequest,
                .Message = "a transaction is open"};
  if (Open.isOpen())
    return replyLocally(&Failure);
  const RouteConfig *Found = route();
  if (!Found) {
    Failure = Error{.Code = ErrorCode::UnknownDatabase,
                    .Message = "the database was withdrawn"};
    return replyLocally(&Failure);
  }
  Route = *Found;
  Open.At = CallerTransaction::Stage::Announced;
  Open.ReadOnly = Request.Kind == StatementKind::BeginReadOnly;
  Open.Since = BootClock::now();
  replyLocally(nullptr);
}

void CallerSession::rollBack() {
  if (!Open.isOpen()) {
    Error Failure{.Code = ErrorCode::BadRequest,
                  .Message = "no transaction is open"};
    return replyLocally(&Failure);
  }
  bool Pinned = Open.At == CallerTransaction::Stage::Pinned;
  Open = CallerTransaction();
  if (Pinned)
    releaseLink(true);
  replyLocally(nullptr);
}

void CallerSession::handleLocally(const Statement &Request) {
  if (Request.Kind == StatementKind::SetValue)
    Values[Request.Name] = Request.Rest;
  else if (Request.Kind == StatementKind::Prepare)
    Prepared[Request.Name] = {.Writes = Request.PreparesWrite,
                              .Shape = Request.Rest};
  else
    Prepared.erase(Request.Name);
  replyLocally(nullptr);
}

bool CallerSession::isWrite(const Statement &Request) const {
  if (Request.Kind == StatementKind::Write)
    return true;
  if (Request.Kind != StatementKind::ExecutePrepared)
    return false;
  auto It = Prepared.find(Request.Name);
  return It != Prepared.end() && It->second.Writes;
}

std::string CallerSession::textFor(const Statement &Request,
                                   TargetLink &Link) const {
  if (Request.Kind != StatementKind::ExecutePrepared)
    return Request.Text;
  const PreparedShape &Shape = Prepared.at(Request.Name);
  std::string Name = Link.prepare(Shape.Writes, Shape.Shape);
  return Serve->Codec->executeText(Name, Request.Rest);
}

void CallerSession::runOnTarget(Statement Request) {
  TimePoint Now = BootClock::now();
  Error Failure;
  if (Request.Kind == StatementKind::ExecutePrepared &&
      !Prepared.count(Request.Name)) {
    Failure = Error{.Code = ErrorCode::NotFound,
                    .Message = "no such prepared statement"};
  } else if (Request.Kind == StatementKind::Commit && !Open.isOpen()) {
    Failure = Error{.Code = ErrorCode::BadRequest,
                    .Message = "no transaction is open"};
  } else if (!Open.isOpen()) {
    const RouteConfig *Found = route();
    if (Found)
      Route = *Found;
    else
      Failure = Error{.Code = ErrorCode::UnknownDatabase,
                      .Message = "the database was withdrawn"};
  }
  if (!Failure.Message.empty()) {
    if (Open.isOpen()) {
      releaseLink(true);
      Open.At = CallerTransaction::Stage::Failed;
    }
    return replyLocally(&Failure);
  }
  Work.emplace();
  Work->Request = std::move(Request);
  Work->Since = Now;
  Work->Deadline = Now + Route.StatementTimeout;
  Work->GiveUpAt = Now + Route.LatencyObjective / internal::WaitDivisor;
  if (Open.At == CallerTransaction::Stage::Pinned) {
    Lent.Link->applyValues(Values);
    return sendCurrent(std::nullopt);
  }
  requestLink();
}

void CallerSession::requestLink() {
  Dispatcher = Serve->Group(Route.Group);
  if (!Dispatcher)
    return finishWith(Error{.Code = ErrorCode::Overloaded,
                            .Message = "no target of the database is known"});
  LinkRequest Request;
  bool OnlyReads = Open.isOpen() ? Open.ReadOnly : !isWrite(Work->Request);
  Request.NeedsPrimary = !OnlyReads || Route.Reads == Consistency::Latest;
  TimePoint Start = Open.isOpen() ? Open.Since : Work->Since;
  Request.Horizon = Start - Route.MaxStaleness;
  Request.AcceptedAge = Route.MaxStaleness;
  if (Route.Reads == Consistency::ReadYourWrites)
    Request.Own = LastWrite;
  Request.Priority = Route.Priority;
  Request.GiveUpAt = Work->GiveUpAt;
  Request.NotBefore = Work->NotBefore;
  Request.Avoid = Work->LastInstance;
  std::uint64_t Id = ++Attempt;
  std::weak_ptr<CallerSession> Weak = shared_from_this();
  Request.Granted = [Weak, Id, D = Dispatcher](LinkGrant Grant) {
    std::shared_ptr<CallerSession> Self = Weak.lock();
    if (!Self || Self->Attempt != Id)
      return D->giveBack(Grant.Link);
    Self->onGranted(std::move(Grant));
  };
  Request.Refused = [Weak, Id](const Error &Failure) {
    std::shared_ptr<CallerSession> Self = Weak.lock();
    if (!Self || Self->Attempt != Id)
      return;
    Self->Ticket = 0;
    bool Tried = !Self->Work->LastFailure.Message.empty();
    Self->finishWith(Tried ? Self->Work->LastFailure : Failure);
  };
  std::uint64_t Queued = Dispatcher->submit(std::move(Request));
  // Granted at once: the attempt has moved on or holds its link.
  if (Attempt == Id && !Lent.Link && Work)
    Ticket = Queued;
}

void CallerSession::onGranted(LinkGrant Grant) {
  Ticket = 0;
  Lent = std::move(Grant);
  ++Work->Attempts;
  Work->AttemptSince = BootClock::now();
  Work->LastInstance = Lent.Instance;
  Lent.Link->applyValues(Values);
  if (Open.isOpen()) {
    bool ReadOnly = Open.ReadOnly && !Lent.IsPrimary;
    return beginThenRun(ReadOnly, Lent.After);
  }
  // A target checks its lead in a transaction only, not for a single read.
  if (Lent.IsPrimary && !isWrite(Work->Request))
    return beginThenRun(false, std::nullopt);
  sendCurrent(Lent.After);
}

void CallerSession::beginThenRun(bool ReadOnly,
                                 std::optional<LogPosition> After) {
  std::uint64_t Id = ++Attempt;
  std::weak_ptr<CallerSession> Weak = shared_from_this();
  auto Hook = [Weak, Id, D = Dispatcher,
               Link = Lent.Link](const TargetReply *Reply) {
    std::shared_ptr<CallerSession> Self = Weak.lock();
    if (!Self || Self->Attempt != Id)
      return;
    if (!Reply)
      return Self->onLostLink();
    // Only a transaction that may write is refused by a replica.
    D->learn(Link->instance(), *Reply, Self->Lent.IsPrimary);
    if (Reply->Refused)
      return Self->onRefusal(*Reply);
    if (Self->Open.isOpen())
      Self->Open.At = CallerTransaction::Stage::Pinned;
    Self->sendCurrent(std::nullopt);
  };
  Lent.Link->begin(ReadOnly, After, std::move(Hook));
}

void CallerSession::sendCurrent(std::optional<LogPosition> After) {
  TimePoint Now = BootClock::now();
  const Statement &Request = Work->Request;
  bool Write = isWrite(Request);
  if (Write || Request.Kind == StatementKind::Commit)
    Work->EffectSent = true;
  if (Write && Open.isOpen())
    Open.Wrote = true;
  std::uint64_t Id = ++Attempt;
  std::weak_ptr<CallerSession> Weak = shared_from_this();
  std::string Text = textFor(Request, *Lent.Link);
  Lent.Link->runStatement(Request.Id, Text, After,
                          [Weak, Id](const TargetReply *Reply) {
                            std::shared_ptr<CallerSession> Self = Weak.lock();
                            if (Self && Self->Attempt == Id)
                              Self->onAnswer(Reply);
                          });
  if (!Open.isOpen() && Lent.Link->inTransaction())
    rollBackAndReturn();
}

void CallerSession::rollBackAndReturn() {
  Lent.EndsItself = true;
  auto Hook = [D = Dispatcher, Link = Lent.Link](const TargetReply *Reply) {
    bool Ended =
        Reply && !Reply->Refused && Reply->Ready.Phase == SessionPhase::Idle;
    if (Ended)
      return D->giveBack(Link);
    Link->close();
  };
  Lent.Link->rollback(std::move(Hook));
}

void CallerSession::onAnswer(const TargetReply *Reply) {
  if (!Reply)
    return onLostLink();
  // A primary that has lost the lead still commits what wrote nothing.
  bool Commits = Work->Request.Kind == StatementKind::Commit;
  bool Checked = Commits ? Open.Wrote
                         : isWrite(Work->Request) ||
                               Reply->Ready.Phase != SessionPhase::Idle;
  Dispatcher->learn(Lent.Instance, *Reply, Lent.IsPrimary && Checked);
  if (Reply->Refused)
    return onRefusal(*Reply);
  answer(*Reply);
}

void CallerSession::answer(const TargetReply &Reply) {
  const Statement &Request = Work->Request;
  bool Commits = Request.Kind == StatementKind::Commit;
  bool Wrote = Commits ? Open.Wrote : isWrite(Request) && !Open.isOpen();
  if (Wrote && Reply.Ready.Position)
    LastWrite = SessionWrite{.Position = *Reply.Ready.Position,
                             .AcknowledgedAt = BootClock::now(),
                             .Epoch = Dispatcher->leader().epoch()};
  if (Commits)
    Open = CallerTransaction();
  std::string Bytes;
  for (const std::string &Row : Reply.Rows)
    Serve->Codec->encodeRow(Bytes, Row);
  Serve->Codec->encodeCompleted(Bytes, *Reply.Receipt);
  Serve->Codec->encodeReady(Bytes, phase());
  if (!Open.isOpen())
    releaseLink(true);
  finish(Bytes, "ok", "");
}

void CallerSession::releaseLink(bool Healthy) {
  LinkGrant Held = std::exchange(Lent, LinkGrant());
  if (!Held.Link)
    return;
  if (!Healthy || !Held.Link->isOpen())
    return Held.Link->close();
  if (Held.EndsItself)
    return;
  if (!Held.Link->isIdle())
    return Held.Link->close();
  if (!Held.Link->inTransaction())
    return Dispatcher->giveBack(Held.Link);
  Lent = std::move(Held);
  rollBackAndReturn();
  Lent = LinkGrant();
}

void CallerSession::onRefusal(const TargetReply &Reply) {
  Error Failure{.Code = Reply.Refused->Code, .Message = Reply.Refused->Text};
  bool NotRun = Failure.Code == ErrorCode::Overloaded ||
                Failure.Code == ErrorCode::ReplicaBehind ||
                Failure.Code == ErrorCode::NotPrimary ||
                Failure.Code == ErrorCode::NotFound;
  Failure.Outcome = NotRun ? Verdict::NotRun : Verdict::Ran;
  if (NotRun && Work->Request.Kind != StatementKind::Commit)
    Work->EffectSent = false;
  bool Pinned = Open.At == CallerTransaction::Stage::Pinned;
  if (Pinned) {
    bool Commits = Work->Request.Kind == StatementKind::Commit;
    releaseLink(true);
    Open.At = CallerTransaction::Stage::Failed;
    if (Commits)
      Open = CallerTransaction();
    // What the target names in its refusal is of no use to the caller.
    std::string Bytes;
    Serve->Codec->encodeError(Bytes, Failure.Code, Failure.Message);
    Serve->Codec->encodeReady(Bytes, phase());
    return finish(Bytes, "refused", Failure.Message);
  }
  // A prepared name that the target does not know: what this link is believed
  // to hold is wrong.
  releaseLink(Failure.Code != ErrorCode::NotFound);
  if (NotRun)
    return retryOrRefuse(Failure);
  if (!isWrite(Work->Request) && Work->Attempts < 2)
    return retryOrRefuse(Failure);
  finishWith(Failure);
}

void CallerSession::onLostLink() {
  releaseLink(false);
  bool Commits = Work->Request.Kind == StatementKind::Commit;
  Error Failure{.Code = ErrorCode::TransactionEnded,
                .Message = "the connection to the target was lost"};
  if (Open.isOpen()) {
    bool EffectPossible = Commits && Open.Wrote && Work->EffectSent;
    Open.At = CallerTransaction::Stage::Failed;
    if (Commits)
      Open = CallerTransaction();
    if (EffectPossible)
      Failure.Code = ErrorCode::NotConfirmed;
    return finishWith(Failure);
  }
  if (Work->EffectSent) {
    Failure.Code = ErrorCode::NotConfirmed;
    return finishWith(Failure);
  }
  Failure.Code = ErrorCode::StatementFailed;
  retryOrRefuse(Failure);
}

void CallerSession::retryOrRefuse(Error Failure) {
  TimePoint Now = BootClock::now();
  Work->LastFailure = Failure;
  bool MayRetry =
      Work->Attempts < internal::MaxAttempts && Now < Work->Deadline && !Ended;
  if (!MayRetry)
    return finishWith(Failure);
  if (Failure.Code == ErrorCode::Overloaded)
    Work->NotBefore = Now + internal::BusyPause;
  // An attempt that was turned away may wait a little again.
  Work->GiveUpAt =
      std::max(Work->GiveUpAt,
               std::min(Work->Deadline,
                        Now + Route.LatencyObjective / internal::WaitDivisor));
  requestLink();
}

void CallerSession::finishWith(const Error &Failure) {
  if (Open.At == CallerTransaction::Stage::Announced)
    Open.At = CallerTransaction::Stage::Failed;
  std::string Bytes;
  Serve->Codec->encodeError(Bytes, Failure.Code, Failure.Message);
  Serve->Codec->encodeReady(Bytes, phase());
  const char *Outcome =
      Failure.Code == ErrorCode::NotConfirmed ? "in_doubt" : "refused";
  finish(Bytes, Outcome, Failure.Message);
}

void CallerSession::finish(const std::string &Bytes, const char *Outcome,
                           const std::string &Why) {
  ++Attempt;
  Serve->Report({.Id = Work->Request.Id,
                 .Database = Database,
                 .Kind = internal::nameOf(Work->Request.Kind),
                 .Outcome = Outcome,
                 .Why = Why,
                 .Instance = Work->LastInstance,
                 .Attempts = Work->Attempts,
                 .Took = BootClock::now() - Work->Since});
  Work.reset();
  LastActivity = BootClock::now();
  Stream->send(Bytes);
  takeNext();
}

void CallerSession::sweep(TimePoint Now) {
  if (Ended)
    return;
  const CallerLimits &Limits = Serve->Config().Callers;
  TimePoint Partial = Stream->partialSince();
  bool Stalled =
      Partial != TimePoint() && Now - Partial > Limits.IncompleteMessage;
  if (Stalled || (!Started && Now - LastActivity > Limits.IncompleteMessage))
    return close();
  if (!Work) {
    if (Open.isOpen() && Now - LastActivity > Limits.IdleTransaction)
      endIdleTransaction("idle");
    else if (isIdle() && Now - LastActivity > Limits.IdleSession)
      closeIfIdle();
    return;
  }
  if (!Lent.Link)
    return; // The dispatcher limits the wait.
  bool Read = !Work->EffectSent && !Open.isOpen();
  TimePoint AttemptEnd =
      Work->AttemptSince + (Work->Deadline - Work->AttemptSince) / 2;
  bool Limited = Read && Work->Attempts <= internal::LimitedAttempts;
  bool Overdue = Now >= Work->Deadline || (Limited && Now >= AttemptEnd);
  if (!Overdue)
    return;
  Dispatcher->noteSilence(Lent.Instance);
  // Tells this session through onLostLink.
  std::shared_ptr<TargetLink> Link = Lent.Link;
  Link->abandon();
}

bool CallerSession::closeIfIdle() {
  if (!isIdle())
    return false;
  // An answer may still wait to leave.
  Stream->closeAfterSending();
  end();
  return true;
}

void CallerSession::endIdleTransaction(const char *Why) {
  if (Work || !Open.isOpen() || Open.At == CallerTransaction::Stage::Failed)
    return;
  releaseLink(true);
  Open.At = CallerTransaction::Stage::Failed;
  Serve->Report({.Id = "-",
                 .Database = Database,
                 .Kind = "transaction",
                 .Outcome = "refused",
                 .Why = std::string("ended while ") + Why});
}

void CallerSession::close() {
  Stream->close();
  end();
}

void CallerSession::end() {
  if (std::exchange(Ended, true))
    return;
  std::shared_ptr<CallerSession> Keep = shared_from_this();
  ++Attempt;
  if (Ticket && Dispatcher)
    Dispatcher->cancel(std::exchange(Ticket, 0));
  // A statement in work may still run; its connection is not lent again.
  releaseLink(!Work);
  Open = CallerTransaction();
  Work.reset();
  Serve->Ended(Keep);
}

} // namespace cicadawind
