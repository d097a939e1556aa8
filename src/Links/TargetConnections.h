#ifndef CICADAWIND_LINKS_TARGETCONNECTIONS_H
#define CICADAWIND_LINKS_TARGETCONNECTIONS_H

#include "Admission/ConcurrencyLimit.h"
#include "Admission/SlowStart.h"
#include "Core/Random.h"
#include "Links/AccountPool.h"
#include "Links/RelayPlan.h"
#include "Links/TargetEntry.h"
#include "Links/TargetLink.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cicadawind {

/// \class TargetConnections
/// \brief This VM's connections to one target: opens them, lets sessions
/// acquire and release them, and closes those that do not respond.
///
/// The path decides whether connections lead to the target or to a relay, and
/// how many this VM may have. A connection to the target serves one client
/// account, see AccountPool; one to a relay serves all, but each account
/// prefers one of the relays, the same on all VMs, so that its statements meet
/// where its connections are. Where accounts are not told apart, connections to
/// the target are opened one at a time. A control request (status, leadership
/// proof, demotion) uses a free connection, or else the next one that is
/// released, before any session. Errors and failures of a relayed connection
/// are not reported through OnContact, OnFailure or OnTimeout, because the
/// relay may be their cause. Runs on the loop's thread. A sweep takes O(share),
/// and O(share) more for each unused connection that it closes.
class TargetConnections
    : public std::enable_shared_from_this<TargetConnections> {
public:
  struct Options {
    const StatementCodec *Codec = nullptr;
    std::string Group;
    LineStream::Options Stream;
    /// Time after which an attempt to open a connection is abandoned.
    Duration OpenTimeout = std::chrono::milliseconds(700);
    /// Time without a reply, or without an opened connection, after which the
    /// wait is reported through OnFailure.
    Duration FailureReportDelay = std::chrono::milliseconds(250);
    /// Time that a control request may wait for a connection, and also the
    /// time that its reply may take.
    Duration ControlRequestTimeout = std::chrono::milliseconds(500);
    /// Connections beyond the first are closed after they were unused for
    /// this long. The reason is that when a VM loses power, its connections
    /// stay occupied at the target for seconds.
    Duration IdleTimeout = std::chrono::milliseconds(500);
    /// The same for connections to relays, which take no connection of the
    /// target while they are unused.
    Duration RelayedIdleTimeout = std::chrono::milliseconds(5000);
    /// The same for all connections where accounts are told apart: a connection
    /// that is closed is missed by one account, whose statements are rare.
    Duration AccountIdleTimeout = std::chrono::seconds(30);
    AccountPool::Options Accounts;
    /// Number of connections to relays that are opened at the same time.
    unsigned MaxRelayedOpenings = 4;
    /// Time after the failure of a direct connection during which connections
    /// are opened through a peer that reaches the target, if there is one.
    Duration DirectRetryBackoff = std::chrono::milliseconds(1000);
    /// Whether statements begin slowly at a target that has just started or
    /// recovered. Random must then be set.
    bool UsesSlowStart = false;
    RandomSource Random;
  };
  /// Callbacks to the owner.
  struct Events {
    /// The target accepted a connection or answered a control request.
    std::function<void(const std::string &Instance)> OnContact;
    /// A connection to the target could not be opened or was lost, or the
    /// target has not answered since \p Since.
    std::function<void(const std::string &Instance, TimePoint Since)> OnFailure;
    /// The target did not answer a control request in time.
    std::function<void(const std::string &Instance)> OnTimeout;
    /// A relay could not be reached, refused to relay or did not answer in
    /// time.
    std::function<void(const std::string &Vm)> OnRelayFailed;
    /// A connection has become free, or the path has changed.
    std::function<void()> OnAvailable;
  };
  /// Sends a control request over \p Link; \p Hook receives its reply.
  using ControlRequest =
      std::function<void(TargetLink &Link, TargetLink::ReplyHook Hook)>;
  /// Receives the reply to a control request, or null if there is none.
  using ControlReplyHook = std::function<void(const TargetReply *)>;

  TargetConnections(boost::asio::io_context &Loop, Options Opts,
                    TargetEntry Entry, std::shared_ptr<const Events> Callbacks);

  const TargetEntry &entry() const { return Entry; }
  void setEntry(const TargetEntry &NewEntry) { Entry = NewEntry; }
  /// Sets the path to the target. Free connections that are not on it are
  /// closed at the next sweep.
  void setPath(const TargetPath &NewPath);
  const TargetPath &path() const { return Path; }

  /// Returns a free link for statements of \p Account if more than \p MinFree
  /// are free and the target may run another statement of this VM; otherwise
  /// null. \p Account is empty where accounts are not told apart.
  std::shared_ptr<TargetLink> tryAcquire(std::size_t MinFree,
                                         const std::string &Account);
  bool hasFree() const { return !FreeLinks.empty(); }
  bool hasAny() const { return !AllLinks.empty(); }
  /// Returns the number of connections that are open.
  std::size_t openCount() const { return AllLinks.size() - OpeningCount; }
  /// Returns whether there are connections or control requests.
  bool isInUse() const { return hasAny() || !ControlQueue.empty(); }
  /// Takes back a link. Closes it if it has failed or has unanswered requests,
  /// or if it leads to an earlier incarnation of the target.
  void release(const std::shared_ptr<TargetLink> &Link);
  /// Expects \p Link back, whose last request is a rollback that no session
  /// waits for. Closes it if it is not released within ControlRequestTimeout.
  void expectRelease(const std::shared_ptr<TargetLink> &Link, TimePoint Now);
  /// Opens a connection for statements of \p Account, one of which has waited
  /// since \p WaitsSince, if the path allows another one now. If the path is
  /// direct but the target cannot be reached, connects to \p FallbackRelay
  /// instead, unless it is empty or a direct attempt is due. Returns false if
  /// no connection may be opened.
  bool openIfAllowed(const std::optional<VmEntry> &FallbackRelay,
                     const std::string &Account, TimePoint WaitsSince,
                     TimePoint Now);

  /// Sends \p Request over a free connection, or else the next one that becomes
  /// free. Requests with the same \p Key that wait at the same time are sent
  /// once, and all their hooks receive the reply.
  void request(const std::string &Key, ControlRequest Request,
               ControlReplyHook Hook, TimePoint Now);

  /// Raises the limit on this VM's simultaneous statements at the target, after
  /// it served one.
  void noteServed() { Concurrency.onServed(); }
  /// Lowers that limit, after the target refused a statement because of
  /// overload.
  void noteBusy();

  /// Makes statements begin slowly once the path is known, because the target
  /// has just started; \p Cause is logged.
  void prepareSlowStart(const std::string &Cause) { SlowStartCause = Cause; }
  /// Returns whether the slow start lets a request run now that was submitted
  /// at \p SubmittedAt and expires at \p GiveUpAt. \p HasAlternatives says
  /// whether other targets may serve it.
  bool paceAllows(bool HasAlternatives, TimePoint SubmittedAt,
                  TimePoint GiveUpAt, TimePoint Now) const;
  /// Records the time that a statement took, for the slow start of this target
  /// and its peers. \p PeerTime is the usual reply time of the peers.
  void noteReplyTime(Duration Taken, std::optional<Duration> PeerTime,
                     TimePoint Now);
  const SlowStart &slowStart() const { return Pace; }
  /// Records that a request was not answered in time. Marks the target as
  /// unreachable if the path is direct, even if the request was sent through
  /// the fallback relay; otherwise selects the next relay. Closes the free
  /// connections in both cases.
  void recordTimeout(TimePoint Now);

  /// Whether a direct connection could not be opened, or a request timed out
  /// while the path was direct, and no direct connection has been opened since.
  /// A refusal with TooManyConnections does not count.
  bool isUnreachable() const { return UnreachableSince.has_value(); }
  /// Returns the time before which no connection is opened, after a failure.
  TimePoint nextOpen() const { return NextOpen; }

  /// Applies the timeouts; called every few milliseconds.
  void sweep(TimePoint Now);
  /// Closes the free connections. Sessions keep those that they have acquired.
  void close();

private:
  /// A control request that waits for a connection.
  struct PendingControlRequest {
    std::string Key;
    ControlRequest Send;
    std::vector<ControlReplyHook> Hooks;
    TimePoint GiveUpAt;
  };

  /// Returns the number of connections that are acquired or that carry control
  /// requests.
  std::size_t inUse() const;
  /// Opens a connection to \p Relay, or to the target for \p Account if it is
  /// null.
  void open(const VmEntry *Relay, const std::string &Account);
  bool mayOpen(TimePoint Now) const;
  /// Returns the number of connections that this VM may have at \p Now.
  unsigned connectionLimit(TimePoint Now) const;
  /// Opens a direct connection for \p Account as AccountPool decides. Returns
  /// false if none is opened.
  bool openForAccount(const std::string &Account, Duration Waited,
                      TimePoint Now);
  /// Returns the state of the direct connections for \p Account.
  AccountPool::State poolState(const std::string &Account, TimePoint Now) const;
  /// Returns the relay that the statements of \p Account go to; null if the
  /// path has none. The same on all VMs that have the same relays.
  const VmEntry *preferredRelay(const std::string &Account) const;
  /// Returns whether \p Link may carry statements of \p Account and leads to
  /// \p Relay, or to the target if that is null.
  static bool suits(const TargetLink &Link, const std::string &Account,
                    const VmEntry *Relay);
  /// Opens a connection to the relay that \p Account prefers. Returns false if
  /// none may be opened.
  bool openToRelay(const std::string &Account);
  /// Returns whether the statements of \p Account use any free connection
  /// to a relay, because no other one to the preferred relay may be opened.
  bool mayUseAnyRelay(const VmEntry &Preferred, TimePoint Now) const;
  bool isOnPath(const TargetLink &Link) const;
  /// Returns whether this object opened \p Link. A target that was dropped and
  /// listed again has a new object.
  bool isOwn(const std::shared_ptr<TargetLink> &Link) const;
  void onOpened(const std::shared_ptr<TargetLink> &Link,
                const std::optional<Error> &Failure);
  void onOpenFailed(const TargetLink &Link, const Error &Failure,
                    TimePoint Now);
  /// Sends the first waiting control request over \p Link. Returns false if
  /// none waits.
  bool sendNextControlRequest(const std::shared_ptr<TargetLink> &Link);
  void expireControlRequests(TimePoint Now);
  /// Reports direct links that have waited for longer than FailureReportDelay
  /// and abandons attempts to open a link that take longer than OpenTimeout.
  void checkWaitingLinks(TimePoint Now);
  void endTimedOutControlRequests(TimePoint Now);
  /// Closes the links that were expected back and were not released in time.
  void endUnreleased(TimePoint Now);
  void removeClosed();
  void closeUnused(TimePoint Now);
  /// Removes and returns the free link that was used last, or null.
  std::shared_ptr<TargetLink> popFreeLink();
  void markUnreachable(TimePoint Now);
  SlowStart::Usage usage() const;
  void beginSlowStart(const std::string &Cause, TimePoint Now);
  /// Logs the end of a slow start, once.
  void logSlowStartEnd(TimePoint Now);

  boost::asio::io_context &Loop;
  Options Opts;
  TargetEntry Entry;
  TargetPath Path;
  /// Number of timeouts since the path was set, counted while it is relayed.
  /// Modulo the number of relays, it is the index of the relay to use next.
  std::size_t NextRelay = 0;
  std::shared_ptr<const Events> Callbacks;
  struct FreeLink {
    std::shared_ptr<TargetLink> Link;
    TimePoint Since;
  };

  /// In order of last use. The link used last is at the end and is acquired
  /// first.
  std::vector<FreeLink> FreeLinks;
  /// All links that are being opened, free or in use.
  std::vector<std::weak_ptr<TargetLink>> AllLinks;
  std::deque<PendingControlRequest> ControlQueue;
  /// Links with an unanswered control request. No session applies a timeout
  /// to them, so the sweep does.
  std::map<const TargetLink *, std::weak_ptr<TargetLink>> ControlLinks;
  struct ExpectedLink {
    std::weak_ptr<TargetLink> Link;
    TimePoint Since;
  };
  /// Links that no session owns any more and that are not free yet.
  std::map<const TargetLink *, ExpectedLink> ExpectedLinks;
  /// Limits this VM's simultaneous statements at the target.
  ConcurrencyLimit Concurrency;
  AccountPool Pool;
  /// Whether a statement of a client account was to be sent to the target.
  bool ServesAccounts = false;
  SlowStart Pace;
  /// Cause of a slow start that begins when the path is known; empty if there
  /// is none.
  std::string SlowStartCause;
  /// When the slow start began whose end has not been logged.
  std::optional<TimePoint> SlowSince;
  unsigned OpeningCount = 0;
  /// Number of consecutive failures to open a connection, up to
  /// MaxOpenBackoffSteps.
  unsigned FailuresInRow = 0;
  TimePoint NextOpen;
  /// Limit on this VM's connections until ReducedShareUntil, in addition to the
  /// path's share. Set when a connection is refused with TooManyConnections.
  unsigned ReducedShare = 0;
  TimePoint ReducedShareUntil;
  std::optional<TimePoint> UnreachableSince;
  /// When a direct connection last could not be opened, or a request last timed
  /// out while the path was direct, even one sent through the fallback relay.
  TimePoint LastDirectFailure;
};

} // namespace cicadawind

#endif
