#ifndef CICADAWIND_RELAYS_RELAYSESSION_H
#define CICADAWIND_RELAYS_RELAYSESSION_H

#include "Core/Error.h"
#include "Links/LinkGrant.h"
#include "Links/PreparedStatement.h"
#include "Links/TargetLink.h"
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

/// \class RelaySession
/// \brief Relays to one target the requests that arrive over one link from
/// another VM, using this VM's own links to that target.
///
/// The other VM sends the same lines that it would send to the target, with the
/// additions that RelayLine describes. The session stores session values and
/// prepared statements and applies them to each link that it acquires. It keeps
/// a link from the beginning of a transaction to its end, or else for one
/// statement. A target's reply is forwarded only once it is complete. If the
/// connection to the target is lost, the session closes its stream, so that the
/// other VM's link fails as well. If no link becomes free within the time that
/// the request may wait, the request is refused with TooManyConnections, a code
/// that targets use only to refuse a new connection. Runs on the loop's thread.
class RelaySession : public std::enable_shared_from_this<RelaySession> {
public:
  /// Services that the owning process provides to its sessions.
  struct Host {
    const StatementCodec *Codec = nullptr;
    /// Makes this VM connect to the target itself. Returns the dispatcher of
    /// the target's group, or null if this VM does not know the target or
    /// cannot reach it.
    std::function<GroupDispatcher *(const std::string &Group,
                                    const std::string &Instance)>
        AcceptRelay;
    /// Called once when the session ends, so that its owner releases it.
    std::function<void(const std::shared_ptr<RelaySession> &)> Ended;
  };

  RelaySession(std::shared_ptr<LineStream> Stream,
               std::shared_ptr<const Host> Owner);

  void start();
  /// Closes the connection once the queued replies are sent.
  void close();
  /// Whether the session holds a link or has requests that wait. Unanswered
  /// control requests do not count.
  bool isBusy() const { return CurrentGrant.Link || !Inbox.empty(); }

private:
  /// A target's reply that is not forwarded yet.
  struct DeferredReply {
    TargetReply Reply;
    TimePoint RepliedAt;
    bool NeedsConfirmation = false;
  };
  struct PendingRequest {
    TargetRequest Request;
    unsigned Priority = 0;
    /// Client account that the request belongs to; may be empty.
    std::string Account;
    /// Time at which the request is refused if it has no link.
    TimePoint GiveUpAt;
  };

  void handleLine(std::string_view Line);
  /// Handles the opening line, which names the group and the target.
  void open(std::string_view Line);
  void processNext();
  /// Whether the next request may be sent now: either all replies have arrived,
  /// or a transaction is open, in which the target accepts further requests
  /// before it has answered the earlier ones.
  bool maySendNext() const;
  /// Handles a request that needs no link of the session. Returns false if the
  /// request needs one.
  bool handleLocally(const TargetRequest &Request);
  /// Whether the request only changes what this session stores.
  static bool isStoredLocally(const TargetRequest &Request);
  void storeLocally(const TargetRequest &Request);
  /// Returns the error with which to refuse a request that must not be sent to
  /// the target; empty if it may be sent.
  std::optional<Error> refusalFor(const TargetRequest &Request) const;
  void sendControlRequest(const TargetRequest &Request);
  /// Sends the control request \p Request over \p Link.
  static void sendOver(TargetLink &Link, const TargetRequest &Request,
                       TargetLink::ReplyHook Hook);
  /// Returns whether only a primary may serve \p Request.
  bool needsPrimary(const TargetRequest &Request) const;
  bool isWrite(const Statement &Stmt) const;
  /// Asks the dispatcher for a link; \p First is the request that needs it.
  void requestLink(const PendingRequest &First);
  /// Sends \p Request over the acquired link.
  void forward(const TargetRequest &Request);
  /// \p AcknowledgesWrite says whether the reply, if it is a success,
  /// acknowledges a write and must be confirmed before it is forwarded.
  void onReply(const TargetReply *Reply, bool IsLeadershipProof,
               bool AcknowledgesWrite);
  /// Forwards the deferred replies in order, up to one that must be confirmed.
  void forwardReplies();
  void forwardReply(const TargetReply &Reply);
  /// Forwards a target's reply to the other VM.
  void sendReply(const TargetReply &Reply);
  void sendCompleted();
  void sendError(const Error &Failure);
  void releaseLink();
  void end();

  std::shared_ptr<LineStream> Stream;
  std::shared_ptr<const Host> Owner;
  GroupDispatcher *Dispatcher = nullptr;
  std::string Instance;
  /// Whether the line that opens the session at the target has arrived. It
  /// follows the opening line.
  bool Opened = false;
  bool Ended = false;
  std::deque<PendingRequest> Inbox;
  /// Identifies the queued request for a link; 0 when none is queued.
  std::uint64_t Ticket = 0;
  /// Whether a link was requested and neither granted nor refused.
  bool AwaitingGrant = false;
  LinkGrant CurrentGrant;
  /// Account for which CurrentGrant was acquired.
  std::string CurrentAccount;
  SessionValues Values;
  std::map<std::string, PreparedStatement> Prepared;
  SessionPhase Phase = SessionPhase::Idle;
  /// Number of requests whose replies were not forwarded.
  unsigned Unanswered = 0;
  /// Whether the current transaction was begun as one that may write.
  bool TransactionMayWrite = false;
  /// Replies behind one that waits for its confirmation, oldest first.
  std::deque<DeferredReply> Deferred;
  bool AwaitsConfirmation = false;
};

} // namespace cicadawind

#endif
