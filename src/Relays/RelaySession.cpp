// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Relays/RelaySession.h"

#include "Dispatch/GroupDispatcher.h"
#include "Links/RelayLine.h"
#include "Net/LineStream.h"
#include "Observability/Log.h"

#include <cassert>

namespace cicadawind {
namespace internal {

static const Log Logger("carrier");
/// Number of received requests that may wait to be sent to the target; the link
/// of a peer that sends more is closed.
constexpr std::size_t MaxRelayInboxRequests = 64;
/// Time for which a reply to a write waits for its confirmation. The other VM's
/// own timeout of the statement usually ends the wait earlier.
constexpr Duration ConfirmationTimeout = std::chrono::milliseconds(2000);

} // namespace internal

RelaySession::RelaySession(std::shared_ptr<LineStream> NewStream,
                           std::shared_ptr<const Host> NewOwner)
    : Stream(std::move(NewStream)), Owner(std::move(NewOwner)) {
  assert(Owner && Owner->Codec && "a relay session needs a host and its codec");
}

void RelaySession::start() {
  Stream->onLine([Self = shared_from_this()](std::string_view Line) {
    Self->handleLine(Line);
  });
  Stream->onEnd([Self = shared_from_this()](LineStream::End) { Self->end(); });
  Stream->start();
}

void RelaySession::close() {
  Stream->closeAfterSending();
  end();
}

void RelaySession::open(std::string_view Line) {
  std::optional<RelayLine> Opening = RelayLine::parseOpening(Line);
  if (Opening)
    Dispatcher = Owner->AcceptRelay(Opening->Group, Opening->Instance);
  if (!Dispatcher) {
    internal::Logger.info("relay request refused; closing the link",
                          {{"request", std::string(Line)}});
    return close();
  }
  Instance = Opening->Instance;
}

void RelaySession::handleLine(std::string_view Line) {
  if (!Dispatcher)
    return open(Line);
  if (!Opened) {
    TargetRequest First = Owner->Codec->decodeTargetRequest(Line);
    if (First.Type != TargetRequest::RequestType::Open)
      return close();
    Opened = true;
    std::string Bytes;
    Owner->Codec->encodeReady(Bytes, Phase, std::nullopt);
    return Stream->send(Bytes);
  }
  std::optional<RelayLine> Relayed = RelayLine::parseRequest(Line);
  if (!Relayed || Inbox.size() >= internal::MaxRelayInboxRequests)
    return close();
  PendingRequest Next;
  Next.Request = Owner->Codec->decodeTargetRequest(Relayed->Line);
  Next.Priority = Relayed->Priority;
  Next.Account = Relayed->Account;
  Next.GiveUpAt = BootClock::now() + Relayed->MaxWait;
  if (Next.Request.Type == TargetRequest::RequestType::Invalid)
    return close();
  Inbox.push_back(std::move(Next));
  processNext();
}

bool RelaySession::maySendNext() const {
  return Unanswered == 0 || Phase == SessionPhase::InTransaction;
}

void RelaySession::processNext() {
  while (!Inbox.empty() && !Ended && !AwaitingGrant && maySendNext()) {
    const TargetRequest &First = Inbox.front().Request;
    // A local reply must not overtake the replies of earlier requests.
    if (Unanswered > 0 && (isStoredLocally(First) || refusalFor(First)))
      return;
    if (handleLocally(First)) {
      Inbox.pop_front();
      continue;
    }
    if (!CurrentGrant.Link)
      return requestLink(Inbox.front());
    // A connection carries the statements of one account only.
    if (Inbox.front().Account != CurrentAccount)
      return close();
    PendingRequest Next = std::move(Inbox.front());
    Inbox.pop_front();
    forward(Next.Request);
  }
}

void RelaySession::sendCompleted() {
  std::string Bytes;
  Owner->Codec->encodeCompleted(Bytes, "");
  Owner->Codec->encodeReady(Bytes, Phase, std::nullopt);
  Stream->send(Bytes);
}

void RelaySession::sendError(const Error &Failure) {
  std::string Bytes;
  Owner->Codec->encodeError(Bytes, Failure.Code, Failure.Message);
  Owner->Codec->encodeReady(Bytes, Phase, std::nullopt);
  Stream->send(Bytes);
}

void RelaySession::storeLocally(const TargetRequest &Request) {
  const Statement &Stmt = Request.Request;
  if (Request.Type == TargetRequest::RequestType::Reset) {
    Values.clear();
    Prepared.clear();
  } else if (Stmt.Kind == StatementKind::SetValue) {
    Values[Stmt.Name] = Stmt.Rest;
  } else {
    Prepared[Stmt.Name] = {.Writes = Stmt.PreparesWrite, .Template = Stmt.Rest};
  }
}

bool RelaySession::isStoredLocally(const TargetRequest &Request) {
  using RequestType = TargetRequest::RequestType;
  return Request.Type == RequestType::Reset ||
         (Request.Type == RequestType::Run &&
          (Request.Request.Kind == StatementKind::SetValue ||
           Request.Request.Kind == StatementKind::Prepare));
}

std::optional<Error>
RelaySession::refusalFor(const TargetRequest &Request) const {
  if (Request.Type != TargetRequest::RequestType::Run)
    return std::nullopt;
  const Statement &Stmt = Request.Request;
  bool EndsTransaction = Stmt.Kind == StatementKind::Rollback ||
                         Stmt.Kind == StatementKind::Commit;
  if (EndsTransaction && !CurrentGrant.Link)
    return Error{.Code = ErrorCode::BadRequest,
                 .Message = "no transaction is open"};
  // The name must not be passed on: on this VM's links the same name may stand
  // for another template.
  bool IsUnknown =
      Stmt.Kind == StatementKind::ExecutePrepared && !Prepared.count(Stmt.Name);
  if (IsUnknown)
    return Error{.Code = ErrorCode::NotFound,
                 .Message = "no such prepared statement"};
  return std::nullopt;
}

bool RelaySession::handleLocally(const TargetRequest &Request) {
  using RequestType = TargetRequest::RequestType;
  std::optional<Error> Failure = refusalFor(Request);
  if (Failure) {
    sendError(*Failure);
  } else if (isStoredLocally(Request)) {
    storeLocally(Request);
    sendCompleted();
  } else if (Request.Type != RequestType::Run) {
    sendControlRequest(Request);
  } else {
    return false;
  }
  return true;
}

void RelaySession::sendOver(TargetLink &Link, const TargetRequest &Request,
                            TargetLink::ReplyHook Hook) {
  switch (Request.Type) {
  case TargetRequest::RequestType::Demote:
    return Link.demote(Request.BelowTerm, std::move(Hook));
  case TargetRequest::RequestType::Pause:
    return Link.pause(Request.BelowTerm, std::move(Hook));
  case TargetRequest::RequestType::Resume:
    return Link.resume(std::move(Hook));
  default:
    return Link.askStatus(std::move(Hook));
  }
}

void RelaySession::sendControlRequest(const TargetRequest &Request) {
  ++Unanswered;
  std::weak_ptr<RelaySession> Weak = weak_from_this();
  // Requests with the same key are sent to the target once.
  std::string Key = std::to_string(static_cast<int>(Request.Type)) + " " +
                    std::to_string(Request.BelowTerm);
  Dispatcher->request(
      Instance, Key,
      [Request](TargetLink &Link, TargetLink::ReplyHook Hook) {
        sendOver(Link, Request, std::move(Hook));
      },
      [Weak](const TargetReply *Reply) {
        std::shared_ptr<RelaySession> Self = Weak.lock();
        if (!Self || Self->Ended)
          return;
        --Self->Unanswered;
        if (!Reply)
          return Self->close();
        Self->sendReply(*Reply);
        Self->processNext();
      });
}

bool RelaySession::isWrite(const Statement &Stmt) const {
  if (Stmt.Kind == StatementKind::ExecutePrepared)
    return Prepared.at(Stmt.Name).Writes;
  return Stmt.Kind == StatementKind::Write;
}

bool RelaySession::needsPrimary(const TargetRequest &Request) const {
  return Request.Request.Kind == StatementKind::Begin ||
         isWrite(Request.Request);
}

void RelaySession::requestLink(const PendingRequest &First) {
  LinkRequest Request;
  Request.RequiredTarget = Instance;
  Request.NeedsPrimary = needsPrimary(First.Request);
  Request.Account = First.Account;
  CurrentAccount = First.Account;
  Request.Priority = First.Priority;
  Request.GiveUpAt = First.GiveUpAt;
  std::weak_ptr<RelaySession> Weak = weak_from_this();
  Request.Granted = [Weak, D = Dispatcher](LinkGrant Grant) {
    std::shared_ptr<RelaySession> Self = Weak.lock();
    if (!Self || Self->Ended)
      return D->release(Grant.Link);
    Self->Ticket = 0;
    Self->AwaitingGrant = false;
    Self->CurrentGrant = std::move(Grant);
    Self->processNext();
  };
  Request.Refused = [Weak](const Error &) {
    std::shared_ptr<RelaySession> Self = Weak.lock();
    if (!Self || Self->Ended)
      return;
    Self->Ticket = 0;
    Self->AwaitingGrant = false;
    Self->Inbox.pop_front();
    Self->sendError(Error{.Code = ErrorCode::TooManyConnections,
                          .Message = "no connection became free in time"});
    Self->processNext();
  };
  AwaitingGrant = true;
  std::uint64_t NewTicket = Dispatcher->submit(std::move(Request));
  // submit may have granted or refused the link at once.
  if (AwaitingGrant)
    Ticket = NewTicket;
}

void RelaySession::forward(const TargetRequest &Request) {
  const Statement &Stmt = Request.Request;
  TargetLink &Link = *CurrentGrant.Link;
  Link.applyValues(Values);
  ++Unanswered;
  std::weak_ptr<RelaySession> Weak = weak_from_this();
  bool IsBegin = Stmt.Kind == StatementKind::Begin ||
                 Stmt.Kind == StatementKind::BeginReadOnly;
  if (IsBegin)
    TransactionMayWrite = Stmt.Kind == StatementKind::Begin;
  bool Writes = isWrite(Stmt);
  bool InTransaction = Phase == SessionPhase::InTransaction;
  // These requests succeed only at a primary. A target that is no longer
  // primary still commits a transaction that wrote nothing, so a commit is no
  // proof.
  bool IsLeadershipProof = Stmt.Kind == StatementKind::Begin || Writes ||
                           (Stmt.Kind == StatementKind::Read && InTransaction &&
                            TransactionMayWrite);
  bool IsCommit = Stmt.Kind == StatementKind::Commit;
  bool AcknowledgesWrite =
      IsCommit ? TransactionMayWrite : Writes && !InTransaction;
  auto Hook = [Weak, IsLeadershipProof,
               AcknowledgesWrite](const TargetReply *Reply) {
    if (std::shared_ptr<RelaySession> Self = Weak.lock())
      Self->onReply(Reply, IsLeadershipProof, AcknowledgesWrite);
  };
  if (IsBegin)
    return Link.begin(Stmt.Kind == StatementKind::BeginReadOnly,
                      Request.MinPosition, Hook);
  if (Stmt.Kind == StatementKind::Rollback && Request.IsControl)
    return Link.rollback(Hook);
  std::string TargetText = Stmt.Text;
  if (Stmt.Kind == StatementKind::ExecutePrepared) {
    const PreparedStatement &Entry = Prepared.at(Stmt.Name);
    TargetText = Owner->Codec->executeText(
        Link.prepare(Entry.Writes, Entry.Template), Stmt.Rest);
  }
  Link.runStatement(Stmt.Id, TargetText, Request.MinPosition, Hook);
}

void RelaySession::onReply(const TargetReply *Reply, bool IsLeadershipProof,
                           bool AcknowledgesWrite) {
  if (Ended)
    return;
  if (!Reply)
    return close();
  bool IsPrimary = Dispatcher->tracker().primary() == Instance;
  Dispatcher->recordReply(Instance, *Reply, IsLeadershipProof && IsPrimary);
  TimePoint Now = BootClock::now();
  bool NeedsConfirmation = AcknowledgesWrite && Reply->Receipt &&
                           !Dispatcher->isWriteConfirmed(Instance, Now);
  if (Deferred.empty() && !NeedsConfirmation)
    return forwardReply(*Reply);
  Deferred.push_back({.Reply = *Reply,
                      .RepliedAt = Now,
                      .NeedsConfirmation = NeedsConfirmation});
  if (!AwaitsConfirmation)
    forwardReplies();
}

void RelaySession::forwardReplies() {
  while (!Deferred.empty() && !Ended) {
    DeferredReply &First = Deferred.front();
    bool Waits = First.NeedsConfirmation &&
                 !Dispatcher->isWriteConfirmed(Instance, First.RepliedAt);
    if (Waits) {
      AwaitsConfirmation = true;
      Dispatcher->confirmWrite(Instance, First.RepliedAt,
                               First.RepliedAt + internal::ConfirmationTimeout,
                               [Weak = weak_from_this()](bool IsConfirmed) {
                                 std::shared_ptr<RelaySession> Self =
                                     Weak.lock();
                                 if (!Self || Self->Ended)
                                   return;
                                 Self->AwaitsConfirmation = false;
                                 // Without a reply, the other VM reports the
                                 // write as in doubt.
                                 if (!IsConfirmed)
                                   return Self->close();
                                 Self->Deferred.front().NeedsConfirmation =
                                     false;
                                 Self->forwardReplies();
                               });
      return;
    }
    TargetReply Reply = std::move(First.Reply);
    Deferred.pop_front();
    forwardReply(Reply);
  }
}

void RelaySession::forwardReply(const TargetReply &Reply) {
  --Unanswered;
  Phase = Reply.Ready.Phase;
  sendReply(Reply);
  if (Phase == SessionPhase::Idle && Unanswered == 0)
    releaseLink();
  processNext();
}

void RelaySession::sendReply(const TargetReply &Reply) {
  std::string Bytes;
  for (const std::string &Row : Reply.Rows)
    Owner->Codec->encodeRow(Bytes, Row);
  if (Reply.Receipt)
    Owner->Codec->encodeCompleted(Bytes, *Reply.Receipt);
  else
    Owner->Codec->encodeError(Bytes, Reply.Refused->Code, Reply.Refused->Text);
  Owner->Codec->encodeReady(Bytes, Phase, Reply.Ready.Position);
  Stream->send(Bytes);
}

void RelaySession::releaseLink() {
  LinkGrant Grant = std::exchange(CurrentGrant, LinkGrant());
  if (Grant.Link)
    Dispatcher->release(Grant.Link);
}

void RelaySession::end() {
  if (std::exchange(Ended, true))
    return;
  std::shared_ptr<RelaySession> Self = shared_from_this();
  if (Ticket)
    Dispatcher->cancel(std::exchange(Ticket, 0));
  // Closing the connection makes the target roll back an open transaction.
  LinkGrant Grant = std::exchange(CurrentGrant, LinkGrant());
  if (Grant.Link)
    Grant.Link->close();
  Inbox.clear();
  Owner->Ended(Self);
}

} // namespace cicadawind
