#ifndef CICADAWIND_DISPATCH_GROUPDISPATCHER_H
#define CICADAWIND_DISPATCH_GROUPDISPATCHER_H

#include "Core/Random.h"
#include "Dispatch/PrimaryFailureDetector.h"
#include "Groups/PrimaryTracker.h"
#include "Leases/PrimaryGuard.h"
#include "Links/ConnectionCount.h"
#include "Links/LeavingBound.h"
#include "Links/LinkRequest.h"
#include "Links/TargetConnections.h"
#include "Routing/ReadRouter.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cicadawind {

/// \class GroupDispatcher
/// \brief Gives sessions access to connections to the targets of one group, and
/// tracks which target is the primary.
///
/// This VM may have only a share of the connections that a target accepts.
/// Requests for a connection are therefore queued, by priority and then in
/// order of arrival, and each is granted the first connection that meets its
/// constraints. Reads that a replica may serve go to a near replica that has
/// probably applied the required position; everything else goes to the primary.
/// The replies of targets show which of them is the primary and how far each
/// has applied its log. Runs on the loop's thread; costs O(queued requests)
/// when a connection becomes free.
class GroupDispatcher {
public:
  struct Options {
    const StatementCodec *Codec = nullptr;
    std::string Group;
    std::string FailureDomain;
    std::string Region;
    /// Region of each failure domain.
    std::map<std::string, std::string> Regions;
    RandomSource Random;
    TargetConnections::Options Links;
    /// Called for each request that the slow start of a target affected;
    /// \p Effect is "diverted", "delayed" or "expired". May be empty.
    std::function<void(const char *Effect)> OnSlowStart;
    /// How long targets that leave receive new requests.
    LeavingBound::Options Leaving;
    /// A read that needs a leadership proof causes a newer one to be requested
    /// if the newest is older than this. About a quarter of the smallest
    /// MaxStaleness in use.
    Duration ProofRefreshAge = std::chrono::milliseconds(400);
    /// Interval at which the targets and the peers are asked for the primary
    /// while none is known.
    Duration SearchInterval = std::chrono::milliseconds(100);
    PrimaryFailureDetector::Options FailureDetector;
    /// Time without a known primary after which the group counts as having
    /// none, so that one may be promoted.
    Duration MissingPrimaryTimeout = std::chrono::milliseconds(600);
    /// Returns the entry of the live peer \p Vm, to use it as a relay; empty if
    /// there is none.
    std::function<std::optional<VmEntry>(const std::string &Vm)> FindRelay;
    /// Called when a relay could not be reached, refused to relay or did not
    /// reply in time.
    std::function<void(const std::string &Vm)> OnRelayFailed;
    /// While this VM reaches the primary through relays: age of the newest
    /// leadership proof at which one of the relays is asked for a newer one.
    /// Half of the smallest MaxStaleness in use.
    Duration RelayedPeerRefreshAge = std::chrono::milliseconds(750);
    /// Likewise, age at which this VM requests a proof from the primary over
    /// its own connection to a relay. Four fifths of the smallest MaxStaleness
    /// in use.
    Duration RelayedTargetRefreshAge = std::chrono::milliseconds(1200);
    /// Queries the peers about the group's primary. \p Instance is the primary
    /// in doubt, or empty to ask for a newer leadership proof only. An empty
    /// function stands for no peers.
    std::function<void(const std::string &Group, const std::string &Instance)>
        QueryPeers;
    /// Makes the guard of the group's primary. An empty function stands for a
    /// platform that fences promotions.
    std::function<std::unique_ptr<PrimaryGuard>()> MakeGuard;
    /// Asks the VMs for their votes on a lease for the primary of \p Leading.
    std::function<void(const std::string &Group, Term Leading)> RequestVotes;
    /// Returns the VM that shares its evidence for leases on the group's
    /// primary with this VM; empty if this VM is the one that asks the
    /// replicas.
    std::function<std::string(const std::string &Group)> FindLeasePeer;
    /// Asks \p Vm for its evidence for a lease on the primary of \p Leading.
    std::function<void(const std::string &Vm, const std::string &Group,
                       Term Leading)>
        RequestEvidence;
  };
  /// Identifies a submitted request; see cancel().
  using Ticket = std::uint64_t;
  /// Called with the status that \p Instance reports, or null if it did not
  /// reply in time.
  using StatusHook =
      std::function<void(const std::string &Instance, const TargetStatus *)>;

  GroupDispatcher(boost::asio::io_context &Loop, Options Opts);
  ~GroupDispatcher();
  GroupDispatcher(const GroupDispatcher &) = delete;
  GroupDispatcher &operator=(const GroupDispatcher &) = delete;

  /// Applies the list of the group's targets: adds those that are new and drops
  /// those that are not listed. A target that is listed with another
  /// incarnation or address is dropped and added again.
  void setTargets(const std::vector<TargetEntry> &Entries);
  /// Sets the path to each target, by instance, and whether this VM is a voter;
  /// see isVoter().
  void setPaths(const std::map<std::string, TargetPath> &Paths,
                bool NewIsVoter);
  /// Returns whether this VM connects to \p Instance without a relay.
  bool isDirect(const std::string &Instance) const;
  /// Returns whether this VM is a voter of the group: its reports are counted
  /// when the VMs decide whether the primary is lost. Only voters ask all
  /// targets for the primary while none is known.
  bool isVoter() const { return IsVoter; }

  /// Grants \p Request a connection or queues it. Exactly one of its hooks is
  /// called, possibly before this function returns, unless it is cancelled.
  Ticket submit(LinkRequest Request);
  /// Removes a request from the queue without calling its hooks. Has no effect
  /// on a request that was granted or refused.
  void cancel(Ticket Id);

  /// Releases a link that was granted. It is closed if a request on it is
  /// unanswered or its target was dropped.
  void release(const std::shared_ptr<TargetLink> &Link);
  /// Says that nobody waits for \p Link any more but the hook of a rollback,
  /// which releases it; see TargetConnections::expectRelease().
  void expectRelease(const std::shared_ptr<TargetLink> &Link);

  /// Processes a reply of \p Instance. \p IsLeadershipProof says whether the
  /// reply, if it is a success, proves that \p Instance is the primary.
  void recordReply(const std::string &Instance, const TargetReply &Reply,
                   bool IsLeadershipProof);
  /// Returns whether it is known that \p Instance had not been replaced when
  /// its reply to a write arrived at \p RepliedAt.
  bool isWriteConfirmed(const std::string &Instance, TimePoint RepliedAt) const;
  /// Calls \p Hook with true once isWriteConfirmed() holds, or with false if
  /// \p Instance was replaced or \p GiveUpAt has passed.
  void confirmWrite(const std::string &Instance, TimePoint RepliedAt,
                    TimePoint GiveUpAt, std::function<void(bool)> Hook);
  /// Processes a leadership proof that a peer reported. \p RequestedAt is on
  /// this VM's clock.
  void recordPeerProof(const std::string &Instance, LogPosition LogEnd,
                       TimePoint RequestedAt);
  /// Records that a newer leadership proof is needed. sweep() requests it from
  /// the peers, the primary or both; if this VM reaches the primary through
  /// relays, it may do so later, see Options::RelayedPeerRefreshAge.
  void probePrimary() {
    ProofWanted = true;
    IsInUse = true;
  }
  /// Records that a request to \p Instance timed out.
  void recordTimeout(const std::string &Instance);

  /// Asks \p Instance for its status; see request().
  void askStatus(const std::string &Instance, StatusHook Hook);
  /// Records that \p Instance reports that it is the primary. This is a hint,
  /// not a leadership proof.
  void recordPrimaryClaim(const std::string &Instance);
  /// Returns whether no primary has been known for MissingPrimaryTimeout,
  /// although the group has targets.
  bool isPrimaryMissing(TimePoint Now) const;
  /// Sends a control request over a free connection to \p Instance or the next
  /// one that becomes free; see TargetConnections::request(). \p Hook gets null
  /// if \p Instance is no target, no connection becomes free or no reply
  /// arrives in time. It is not called if the target is dropped before.
  void request(const std::string &Instance, const std::string &Key,
               TargetConnections::ControlRequest Request,
               TargetConnections::ControlReplyHook Hook);
  /// Makes the primary \p Instance a replica if its term is below \p Below.
  void demote(const std::string &Instance, Term Below, StatusHook Hook);
  /// Makes the replica \p Instance stop receiving the log of a primary of a
  /// term below \p NewTerm.
  void pause(const std::string &Instance, Term NewTerm, StatusHook Hook);
  /// Makes the replica \p Instance receive the log again.
  void resume(const std::string &Instance, StatusHook Hook);

  /// Refuses expired requests, checks the connections, searches for a missing
  /// primary, and requests leadership proofs; called every few milliseconds.
  /// Returns at once if the group is not in use: nothing waits, there are no
  /// connections, and this VM is no voter.
  void sweep(TimePoint Now);

  PrimaryGuard &guard() { return *Guard; }
  const PrimaryGuard &guard() const { return *Guard; }
  PrimaryTracker &tracker() { return Tracker; }
  const PrimaryTracker &tracker() const { return Tracker; }
  PrimaryFailureDetector &failureDetector() { return FailureDetector; }
  const PrimaryFailureDetector &failureDetector() const {
    return FailureDetector;
  }
  /// Returns the number of requests that wait for a connection.
  std::size_t waiting() const { return Queue.size(); }
  /// Returns the number of connections of this VM to the group's targets.
  ConnectionCount connectionCount() const;
  const std::string &group() const { return Opts.Group; }
  /// Returns the entry of \p Instance; null if it is no target of this group.
  const TargetEntry *findEntry(const std::string &Instance) const;
  std::vector<TargetEntry> entries() const;
  /// Returns the log position that the latest reply of \p Instance stated as
  /// applied; the lowest one if there is none.
  LogPosition appliedBy(const std::string &Instance) const;
  const LeavingBound &leavingBound() const { return Bound; }
  /// Returns whether a direct connection to \p Instance could not be opened, or
  /// a request over a direct path timed out, and no direct connection has been
  /// opened since. Also true if \p Instance is no target.
  bool isUnreachable(const std::string &Instance) const;

private:
  using QueueKey = std::pair<unsigned, Ticket>;
  /// A reply to a write that is not confirmed yet.
  struct PendingConfirmation {
    std::string Instance;
    TimePoint RepliedAt;
    TimePoint GiveUpAt;
    std::function<void(bool)> Hook;
  };

  /// Returns the connections to \p Instance; null if it is no target.
  TargetConnections *find(const std::string &Instance) const;
  InstanceView *viewOf(const std::string &Instance);
  void setTarget(const TargetEntry &Entry, bool IsFirstList);
  void addTarget(const TargetEntry &Entry);
  void dropTarget(const std::string &Instance);
  /// Grants \p Request a connection if one is free; otherwise opens one if that
  /// is allowed and returns false.
  bool tryGrant(LinkRequest &Request, TimePoint Now);
  /// Returns the targets that may serve \p Request, the preferred one first.
  /// \p Position is the log position that a replica must have applied; empty
  /// if it is unknown or only the primary may serve the request.
  std::vector<std::string> candidatesFor(const LinkRequest &Request,
                                         std::optional<LogPosition> Position,
                                         TimePoint Now);
  /// Grants \p Request a free connection to \p Instance; false if there is
  /// none for it. \p HasAlternatives says whether other targets may serve it.
  bool grantFrom(const std::string &Instance, LinkRequest &Request,
                 std::optional<LogPosition> Position, bool HasAlternatives);
  /// Returns whether the slow start of \p Instance lets \p Request run now, and
  /// records in it if not.
  bool paceAllows(const std::string &Instance, LinkRequest &Request,
                  bool HasAlternatives, TimePoint Now) const;
  void reportSlowStart(const char *Effect) const;
  /// Makes statements begin slowly at a target that was added.
  void prepareSlowStart(const TargetEntry &Entry, bool IsFirstList);
  /// Records the time that \p Reply of \p Instance took.
  void recordReplyTime(const std::string &Instance, const TargetReply &Reply,
                       TimePoint Now);
  /// Returns the usual reply time of the other replicas that have settled.
  std::optional<Duration> peerReplyTime(const std::string &Instance) const;
  /// Returns a VM that can relay to \p Instance if a direct connection fails;
  /// empty if none is known or \p Instance is not the primary.
  std::optional<VmEntry> fallbackRelayFor(const std::string &Instance,
                                          TimePoint Now) const;
  /// Processes a refused or lost connection to \p Instance, or a request that
  /// has had no reply since \p Since.
  void onFailure(const std::string &Instance, TimePoint Since);
  /// Returns whether \p Instance receives no new request, because its time for
  /// that is over since it leaves.
  bool isDrained(const std::string &Instance, TimePoint Now) const;
  /// Returns whether the only target that may serve \p Request is drained.
  bool isUnservable(const LinkRequest &Request, TimePoint Now) const;
  /// Posts one call of dispatchQueue to the loop, unless one is posted already.
  void scheduleDispatch();
  /// Tries to grant each queued request a connection, in queue order.
  void dispatchQueue();
  /// Refuses the queued requests that have expired or cannot be served.
  void refuseExpired(TimePoint Now);
  /// Returns why \p Request is refused.
  std::string reasonToRefuse(const LinkRequest &Request, TimePoint Now) const;
  bool findUse() const;
  /// Passes the primary and the other targets on to the failure detector and
  /// the guard.
  void updatePrimary();
  /// Returns the targets other than the primary, nearest first.
  std::vector<std::string> replicasByDistance() const;
  /// Asks for the statuses and votes that renew the lease on the primary, and
  /// demotes replaced primaries.
  void refreshLease(TimePoint Now);
  void requestLeaseEvidence(TimePoint Now);
  void demoteReplaced(TimePoint Now);
  /// Logs that the lease on the primary begins or ends.
  void logLeaseChange(TimePoint Now);
  /// Calls the hooks of confirmations that are decided at \p Now.
  void settleConfirmations(TimePoint Now);
  /// Records a status of \p Instance, the reply to a request sent at
  /// \p RequestedAt.
  void recordStatus(const std::string &Instance, const TargetStatus &Status,
                    TimePoint RequestedAt);
  /// Requests a newer leadership proof from the peers, the primary or both if
  /// one is needed.
  void refreshProof(TimePoint Now);
  /// Asks the targets and the peers for the primary while none is known.
  void searchPrimary(TimePoint Now);
  /// Sends a control request that a target answers with its status.
  void sendControlRequest(const std::string &Instance, const std::string &Key,
                          TargetConnections::ControlRequest Request,
                          StatusHook Hook);

  boost::asio::io_context &Loop;
  Options Opts;
  /// False after destruction, for callbacks that may run later.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  LeavingBound Bound;
  PrimaryTracker Tracker;
  PrimaryFailureDetector FailureDetector;
  std::unique_ptr<PrimaryGuard> Guard;
  std::vector<PendingConfirmation> Confirmations;
  TimePoint NextDemotion;
  /// Interval until the next demotion of a replaced primary.
  Duration DemotionBackoff = Duration::zero();
  /// Whether the lease was valid at the last sweep.
  bool HadLease = false;
  /// The VM that shares its evidence for leases; empty if there is none.
  std::string LeasePeer;
  ReadRouter Router;
  std::shared_ptr<const TargetConnections::Events> Callbacks;
  std::map<std::string, std::shared_ptr<TargetConnections>> Targets;
  /// What is known of each target, for the choice of replicas.
  std::vector<InstanceView> Views;
  std::map<QueueKey, LinkRequest> Queue;
  /// Priorities of the queued requests.
  std::map<Ticket, unsigned> PriorityOf;
  Ticket LastTicket = 0;
  bool IsVoter = false;
  bool DispatchScheduled = false;
  /// Whether sweep() has work to do.
  bool IsInUse = true;
  /// Whether a newer leadership proof is needed, for reads or as evidence.
  bool ProofWanted = false;
  /// The target that was asked for a leadership proof and has not replied yet;
  /// empty if there is none.
  std::string ProofTarget;
  TimePoint LastSearch;
  /// Since when no primary has been known; empty while one is.
  std::optional<TimePoint> WithoutPrimarySince;
};

} // namespace cicadawind

#endif
