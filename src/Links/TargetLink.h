#ifndef CICADAWIND_LINKS_TARGETLINK_H
#define CICADAWIND_LINKS_TARGETLINK_H

#include "Core/Error.h"
#include "Links/RelayLine.h"
#include "Net/LineStream.h"
#include "Statements/StatementCodec.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadawind {

/// \class TargetReply
/// \brief A target's complete reply to one request.
struct TargetReply {
  std::vector<std::string> Rows;
  /// Set if the request succeeded.
  std::optional<std::string> Receipt;
  /// Set if the request failed.
  std::optional<ErrorMessage> Refused;
  ReadyMessage Ready;
  /// When the request was sent.
  TimePoint SentAt;
  /// Whether the request was a caller's statement, which needs a slot.
  bool UsedSlot = false;
};

/// Session values by name.
using SessionValues = std::map<std::string, std::string>;

/// \class TargetLink
/// \brief One connection to a target, direct or through a relay. At most one
/// session uses it at a time.
///
/// Requests are answered in order. Each hook receives a complete reply, or null
/// if the connection fails first. A link that has failed is never used again.
/// The link keeps track of the session values and prepared statements that the
/// target holds for this connection, and sends those that a session needs and
/// the target lacks.
class TargetLink : public std::enable_shared_from_this<TargetLink> {
public:
  struct Options {
    const StatementCodec *Codec = nullptr;
    std::string Group;
    std::string Instance;
    /// "ip:port" of the target, or of the VM that relays to it.
    std::string Address;
    /// Client account that the target is told; empty for one that relays, and
    /// where accounts are not told apart.
    std::string Account;
    /// Name of the VM that relays; empty if the link leads to the target
    /// itself.
    std::string Relay;
    LineStream::Options Stream;
  };
  /// Receives the reply, or null if the connection failed before the reply was
  /// complete.
  using ReplyHook = std::function<void(const TargetReply *)>;

  TargetLink(boost::asio::io_context &Loop, Options Opts);

  /// Connects to the address and opens a session at the target. \p Done
  /// receives the error, if any; its code is Unreachable or the one with which
  /// the target refused the session.
  void open(std::function<void(std::optional<Error>)> Done);

  /// Sets the hook that is called once when an open link fails.
  void onFailed(std::function<void()> Hook) { FailureHook = std::move(Hook); }

  /// Sets the priority of the requests that follow, the time that they may wait
  /// for a connection at a relay, and their account. Has no effect on a direct
  /// link.
  void setRelayOptions(unsigned Priority, Millis MaxWait,
                       std::string_view Account) {
    Prefix = RelayLine::prefixFor(Priority, MaxWait, Account);
  }

  /// Sends a caller's statement under the caller's id. If \p MinPosition is
  /// set, the target refuses to run it before its log has reached that
  /// position.
  void runStatement(std::string_view Id, std::string_view Text,
                    std::optional<LogPosition> MinPosition, ReplyHook Hook);
  void begin(bool ReadOnly, std::optional<LogPosition> MinPosition,
             ReplyHook Hook);
  void rollback(ReplyHook Hook);
  /// Asks the target for its status.
  void askStatus(ReplyHook Hook);
  /// Asks the target to become a replica if it is primary in a term lower than
  /// \p Below.
  void demote(Term Below, ReplyHook Hook);
  /// Asks a replica to stop receiving the log of a primary of a term below
  /// \p NewTerm. Like the requests above, it is answered with the status.
  void pause(Term NewTerm, ReplyHook Hook);
  /// Asks a replica to receive the log again.
  void resume(ReplyHook Hook);

  /// Sends requests that make the target hold exactly \p Wanted for this
  /// connection. If the target refuses one, the link fails, so that the result
  /// of a statement that ran with wrong values is not used.
  void applyValues(const SessionValues &Wanted);

  /// Prepares the template unless this link has done so, and returns its name
  /// at the target, which is the same on every link of this process.
  std::string prepare(bool Writes, const std::string &Template);

  bool isRelayed() const { return !Opts.Relay.empty(); }
  const std::string &relay() const { return Opts.Relay; }
  /// Returns the account whose statements a direct link may carry; a link to a
  /// relay carries those of any.
  const std::string &account() const { return Opts.Account; }
  const std::string &address() const { return Opts.Address; }
  const std::string &instance() const { return Opts.Instance; }
  bool isOpen() const { return Opened && Stream->isOpen(); }
  bool isOpening() const { return !Opened && Stream->isOpen(); }
  bool isIdle() const { return Pending.empty(); }
  /// Whether a transaction was open after the latest reply.
  bool inTransaction() const { return Phase != SessionPhase::Idle; }
  /// Returns when the oldest unanswered request was sent or, while the link is
  /// being opened, when that began. Empty if nothing is awaited.
  std::optional<TimePoint> waitingSince() const;
  /// Closes the connection without calling any hook.
  void close();
  bool isClosed() const { return !Stream->isOpen(); }
  /// Closes the link as if it had failed; the hooks of all unanswered requests
  /// receive null.
  void failPending() { fail(); }

private:
  struct PendingReply {
    TargetReply Reply;
    ReplyHook Hook;
  };

  void handleLine(std::string_view Line);
  void handleReady(ReadyMessage Ready);
  /// Appends an unanswered request, which is about to be sent.
  void addPending(ReplyHook Hook);
  /// Sends a request that sets up the session; the link fails if the target
  /// refuses it.
  void sendSessionSetup(const std::string &Bytes);
  void sendLine(const std::string &Bytes);
  void sendControl(const std::string &Bytes, ReplyHook Hook);
  void fail();

  Options Opts;
  std::shared_ptr<LineStream> Stream;
  std::function<void(std::optional<Error>)> OpenDone;
  std::function<void()> FailureHook;
  std::deque<PendingReply> Pending;
  /// Precedes each request that is sent to a relay.
  std::string Prefix;
  /// Session values and prepared statements that the target holds for this
  /// connection.
  SessionValues Values;
  std::set<std::string> Prepared;
  SessionPhase Phase = SessionPhase::Idle;
  TimePoint OpeningSince;
  bool Opened = false;
};

} // namespace cicadawind

#endif
