#ifndef CICADAWIND_CALLERS_CALLERSESSION_H
#define CICADAWIND_CALLERS_CALLERSESSION_H

#include "Callers/ActiveRequest.h"
#include "Callers/CallerTransaction.h"
#include "Callers/RequestReport.h"
#include "Config/ProxyConfig.h"
#include "Core/Error.h"
#include "Links/LinkRequest.h"
#include "Links/PreparedStatement.h"
#include "Links/TargetLink.h"
#include "Quotas/PermitOutcome.h"
#include "Statements/StatementCodec.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cicadawind {

class GroupDispatcher;
class LineStream;

/// \class CallerSession
/// \brief One caller's connection with its session values, prepared
/// statements, transaction and active request.
///
/// Runs the caller's requests one at a time and responds in their order. A
/// write outside a transaction, or the commit of a transaction that wrote, is
/// answered as in doubt if it was sent to a target and the connection failed,
/// or the statement timeout passed, before the reply. An error that promises
/// that nothing was kept is sent only if no such request was sent or the target
/// refused it. Writes inside a transaction are not in doubt before its commit
/// is sent, because the target rolls back a transaction whose connection is
/// lost.
///
/// Where client accounts are told apart, the caller's key is looked up for each
/// statement and again when its connection is granted, so that a key which was
/// removed in the meantime runs nothing. An operation, which is a single
/// statement or a transaction, needs one permit of its account's rate limit.
/// Runs on the loop's thread.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  /// Services that the owning process provides to its sessions.
  struct Host {
    const StatementCodec *Codec = nullptr;
    std::function<const ProxyConfig &()> Config;
    /// Returns the dispatcher of a group, or null if there is none.
    std::function<GroupDispatcher *(const std::string &Group)> Group;
    /// Returns whether a request whose timeout ends at \p Deadline may be run;
    /// not while this VM leaves and may stop before that.
    std::function<bool(TimePoint Deadline)> MayRun = [](TimePoint) {
      return true;
    };
    /// Asks for a permit for one operation of \p Account. Calls \p Hook once,
    /// possibly before it returns, unless the ticket that it returns is
    /// cancelled. Without a function, operations need no permit.
    std::function<std::uint64_t(
        const std::string &Account, TimePoint GiveUpAt,
        std::function<void(const PermitOutcome &)> Hook)>
        Admit;
    std::function<void(std::uint64_t Ticket)> CancelAdmit;
    /// When permits are issued at the latest after this VM has started.
    /// Operations that need one wait until then: it comes sooner than the
    /// caller would after a refusal.
    TimePoint PermitsExpectedAt;
    /// Logs and counts a finished request, a refused session, a malformed
    /// message or the end of an idle transaction. Not called for requests that
    /// the session completes successfully without a target.
    std::function<void(const RequestReport &)> Report;
    /// Called once when the session ends, so that its owner releases it.
    std::function<void(const std::shared_ptr<CallerSession> &)> Ended;
  };

  CallerSession(std::shared_ptr<LineStream> Stream,
                std::shared_ptr<const Host> Owner);

  void start();

  /// Opens the session if it was waiting for the first configuration.
  void retryOpen();

  /// Returns whether the active configuration would let the caller open the
  /// session on its database.
  bool isPermitted() const;

  /// Applies the timeouts; called every few milliseconds.
  void sweep(TimePoint Now);

  /// Closes the connection if the session is open and has no request or
  /// transaction. Returns whether it was closed.
  bool closeIfIdle();
  /// Does the same unless the session was opened a moment ago: its caller is
  /// about to send a request, which would get no response.
  bool closeIfUnused(TimePoint Now);
  /// Rolls back an open transaction if no request is active. Further requests
  /// are refused until the caller ends the transaction. \p Reason becomes part
  /// of the log line.
  void endIdleTransaction(const char *Reason);
  void close();

  bool isIdle() const {
    return Opened && !Active && !Transaction.isOpen() && Inbox.empty();
  }
  bool hasTransaction() const { return Transaction.isOpen(); }
  const std::string &database() const { return Database; }

private:
  void handleLine(std::string_view Line);
  void openSession(OpenSession Opening);
  /// Refuses the caller's opening message and closes the connection.
  void refuseOpening(const OpenSession &Opening, const Error &Failure);
  /// Returns the account of the caller according to the active configuration:
  /// an empty text where it needs none, nothing if its key is unknown.
  std::optional<std::string> findAccount(const RouteConfig &Route) const;
  /// Returns whether the key still belongs to the account of the active request
  /// or transaction.
  bool hasCurrentAccount() const;
  /// Reports a message that cannot be handled and, if no request is active,
  /// responds to it with an error. Closes the connection unless the session is
  /// open, the message has an id and no request is active or waiting.
  void rejectMessage(const MalformedMessage &Message);
  void processNext();
  /// Starts to process a request. On return, the request is either finished or
  /// the active one.
  void handle(Statement Request);
  void handleInFailedTransaction(const Statement &Request);
  void beginTransaction(const Statement &Request);
  /// Refuses a request that may not be run because this VM leaves, and ends its
  /// transaction. Closes the session if it is idle then, so that the caller
  /// continues at another VM.
  void refuseLeaving(const Statement &Request);
  void rollBack(const Statement &Request);
  void handleLocally(const Statement &Request);
  void runOnTarget(Statement Request);
  /// Returns the statement as it is sent over \p Link, and first prepares its
  /// template there if necessary.
  std::string targetTextFor(const Statement &Request, TargetLink &Link) const;

  /// Fails a request whose route or key is no longer in force, and its
  /// transaction.
  void refuseWithdrawn(const Statement &Request, const Error &Failure);
  /// Asks for a permit for the operation that the active request begins.
  void requestPermit();
  void onPermit(const PermitOutcome &Outcome);
  /// Asks the group's dispatcher for a link that suits the active request.
  void requestLink();
  void onGranted(LinkGrant Grant);
  /// Begins a transaction at the target and sends the active request once the
  /// begin has succeeded.
  void beginThenRun(bool ReadOnly, std::optional<LogPosition> MinPosition);
  void sendActiveRequest(std::optional<LogPosition> MinPosition);
  void onReply(const TargetReply *Reply);
  void onErrorReply(const TargetReply &Reply);
  void onLinkFailed();
  /// Makes another attempt if attempts and time are left; otherwise ends the
  /// request with \p Failure.
  void retryOrRefuse(Error Failure);
  /// Lets the active request wait for a connection for as long as at its
  /// arrival.
  void extendWait();
  /// Releases the current link to the dispatcher, after a rollback if a
  /// transaction is open on it. Closes the link unless it is \p Healthy and all
  /// its requests are answered. If a rollback was sent over a healthy link, the
  /// rollback's reply releases the link instead.
  void releaseLink(bool Healthy);
  /// Sends a rollback. Its reply releases the link to the dispatcher, or closes
  /// the link if the rollback failed.
  void rollBackAndRelease();
  bool isWrite(const Statement &Request) const;

  /// Returns whether the active request acknowledges a write if it succeeds.
  bool acknowledgesWrite() const;
  /// Responds to a write once its reply is confirmed, see
  /// GroupDispatcher::confirmWrite().
  void respondIfConfirmed(const TargetReply &Reply);
  /// Sends a target's successful reply to the caller.
  void respond(const TargetReply &Reply);
  void finishWithError(const Error &Failure);
  void finish(const std::string &Bytes, const char *Outcome,
              const Error *Failure);
  /// Reports the outcome of the active request to the host.
  void report(const char *Outcome, const Error *Failure) const;
  SessionPhase phase() const;
  /// Responds to a request without a target: with an error if \p Failure is
  /// not null, otherwise with success.
  void respondLocally(const Statement &Request, const Error *Failure);
  /// Returns the database's route in the active configuration, or null if there
  /// is none.
  const RouteConfig *route() const;
  void end();

  std::shared_ptr<LineStream> Stream;
  std::shared_ptr<const Host> Owner;
  std::string Database;
  /// API key that the caller gave; may be empty.
  std::string Key;
  /// Client account of the active request or transaction; empty where accounts
  /// are not told apart.
  std::string Account;
  /// Whether the caller has opened the session on its database.
  bool Opened = false;
  bool HasReceivedRequest = false;
  /// The caller's opening message, if it arrived before the first configuration
  /// was active.
  std::optional<OpenSession> OpeningThatWaits;
  bool Ended = false;
  SessionValues Values;
  /// Prepared statements by the names that the caller gave them.
  std::map<std::string, PreparedStatement> Prepared;
  CallerTransaction Transaction;
  std::optional<SessionWrite> LastWrite;
  /// Route of the active request or transaction.
  RouteConfig Route;
  std::optional<ActiveRequest> Active;
  /// Requests that were received and wait for the active one.
  std::deque<Statement> Inbox;
  /// Identifies the queued request for a link; 0 when none is queued.
  std::uint64_t Ticket = 0;
  /// Identifies the wait for a permit; 0 when none is awaited.
  std::uint64_t PermitTicket = 0;
  GroupDispatcher *Dispatcher = nullptr;
  /// Link of the active statement or transaction.
  LinkGrant CurrentGrant;
  /// Identifies the current step of an attempt; grants and replies that belong
  /// to an earlier step are ignored.
  std::uint64_t StepId = 0;
  TimePoint LastActivity;
  /// Whether the target has replied to the active request and the reply waits
  /// for its confirmation.
  bool AwaitsConfirmation = false;
};

} // namespace cicadawind

#endif
