#ifndef CICADAWIND_LEASES_PRIMARYLEASE_H
#define CICADAWIND_LEASES_PRIMARYLEASE_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadawind {

struct TargetStatus;

/// \class PrimaryLease
/// \brief One VM's lease on using the primary of one group.
///
/// On a platform without fencing, a replaced primary goes on serving. A VM may
/// therefore use a primary only while it holds a lease for the primary's term.
/// The lease rests on evidence that no newer primary served at a known time:
///
///  - a replica's status: it follows the same term and was not told to pause
///    for a newer one, or
///  - the votes of a majority of the VMs that they have promised no newer term.
///
/// Evidence that was requested at time t makes the lease valid until t +
/// Length. A promotion blocks both kinds of evidence, and then waits for Length
/// before it takes effect, unless every VM gives up its lease (see
/// PromotionBallot). So no newer primary serves at any time before
/// validUntil(). A lease that was given up is renewed only by votes, or after
/// the promotion was cancelled. A VM that has just started may have forgotten
/// that it gave up its lease, so it asks for votes before it relies on
/// replicas. Times are those of a clock that runs while the VM is suspended.
/// Performs no input or output and reads no clock. Each call costs O(replicas).
/// Not thread safe.
class PrimaryLease {
public:
  struct Options {
    /// Time for which one piece of evidence makes the lease valid. The same on
    /// all VMs, because a promotion waits for it.
    Duration Length = std::chrono::milliseconds(1000);
    /// Interval at which the evidence is renewed while the lease is valid.
    Duration RenewInterval = std::chrono::milliseconds(250);
    /// Interval at which the primary and all replicas are asked while it is
    /// not valid.
    Duration RetryInterval = std::chrono::milliseconds(80);
    /// Interval at which the VMs are asked for their votes while the replicas
    /// do not renew the lease.
    Duration VoteInterval = std::chrono::milliseconds(200);
    /// The same while the replicas renew the lease, but the VM has started too
    /// recently to rely on one of them.
    Duration StartupVoteInterval = std::chrono::milliseconds(3000);
    /// Time after which a replica that was listed later than others counts as
    /// evidence. By then the VMs that may promote know that replica, too.
    Duration JoinDelay = std::chrono::milliseconds(1500);
    /// Time after the VM's start during which the support of all replicas is
    /// needed, unless a majority of the VMs has supported a lease. A replica
    /// that was restarted has forgotten that it was paused. Covers an order
    /// that the platform carries out late.
    Duration StartupPeriod = std::chrono::milliseconds(15000);
  };
  /// What the votes of the VMs say of a lease.
  enum class VoteOutcome {
    /// A majority answered and no VM objects, but too many VMs have started too
    /// recently to know.
    NoObjection,
    /// A majority supports the lease.
    Supported,
  };

  PrimaryLease(Options Opts, TimePoint StartedAt)
      : Opts(Opts), StartupEnd(StartedAt + Opts.StartupPeriod) {}

  /// Sets the primary to use, or none if \p Instance is empty. A change ends
  /// the lease.
  void setPrimary(const std::string &Instance);
  /// Sets the term that the primary leads, as an earlier status said.
  void setTerm(Term Leads) { LeaseTerm = Leads; }
  /// Sets the other instances of the group, nearest first.
  void setReplicas(const std::vector<std::string> &Instances, TimePoint Now);

  /// Records the status that \p Instance returned to a request that was sent at
  /// \p RequestedAt.
  void recordStatus(const std::string &Instance, const TargetStatus &Status,
                    TimePoint RequestedAt);
  /// Records that another VM has evidence for \p PeerTerm, requested at
  /// \p RequestedAt. It counts like a replica's status, or like those of all
  /// replicas if \p IsOfAllReplicas.
  void recordPeerEvidence(Term PeerTerm, TimePoint RequestedAt,
                          bool IsOfAllReplicas);
  /// Returns the request time of evidence that other VMs may use; empty if
  /// there is none.
  std::optional<TimePoint> shareableEvidenceAt(TimePoint Now) const;
  /// Returns whether that evidence comes from all replicas.
  bool needsAllReplicas() const {
    return BestOutcome != VoteOutcome::Supported;
  }

  /// Records the \p Outcome of the votes on a lease for \p VotedTerm that were
  /// requested at \p RequestedAt.
  void recordVotes(Term VotedTerm, VoteOutcome Outcome, TimePoint RequestedAt);

  /// Gives up the lease on every primary of a term below \p Below at \p Now.
  void giveUp(Term Below, TimePoint Now);
  /// Allows that replicas renew the lease again, because the promotion for
  /// which it was given up was cancelled, or its successor leads \p Leading. A
  /// lease on a primary of a lower term is never renewed then: a replica may
  /// still follow it.
  void allowRenewal(TimePoint Now, Term Leading = 0);

  const std::string &primary() const { return Primary; }
  /// Returns the term that the primary leads; empty if it is not known.
  std::optional<Term> term() const { return LeaseTerm; }
  /// Returns the highest term that any instance reported.
  Term highestTerm() const { return HighestTerm; }
  /// Returns the time before which no newer primary serves; empty if there is
  /// no lease.
  std::optional<TimePoint> validUntil() const;
  /// Returns whether no newer primary served before \p At.
  bool isValidAt(TimePoint At) const;
  /// Returns whether an instance reported a newer term than the primary's, so
  /// that the lease cannot become valid again.
  bool isSuperseded() const { return LeaseTerm && HighestTerm > *LeaseTerm; }

  /// Returns whether a promotion blocks the lease: it was given up, or a
  /// replica was told to pause for a newer term.
  bool isBlocked() const;

  /// Returns the instances to ask for their status now, and records that they
  /// are asked. \p HasPeer says whether another VM shares its evidence, so that
  /// no instance needs to be asked while the lease is fresh.
  std::vector<std::string> statusDue(bool HasPeer, TimePoint Now);
  /// Returns whether to ask another VM for its evidence now, and if so records
  /// that it is asked.
  bool peerEvidenceDue(TimePoint Now);
  /// Returns whether to ask the VMs for their votes now, and if so records that
  /// they are asked.
  bool votesDue(TimePoint Now);

private:
  struct Replica {
    std::string Instance;
    /// Time from which its status counts as evidence.
    TimePoint CountsFrom;
    /// Its last status; nothing of it is set before the first one.
    std::optional<TimePoint> RequestedAt;
    Term CurrentTerm = 0;
    Term PausedUpTo = 0;
  };

  Replica *find(const std::string &Instance);
  /// Returns the latest request time of evidence for the lease's term.
  std::optional<TimePoint> evidenceAt() const;
  /// Returns the request time of the replicas' evidence: of the latest status
  /// or, during the startup period, of the earliest one that is needed.
  std::optional<TimePoint> replicaEvidenceAt() const;
  /// Returns the request time of the replica's status if it supports the lease.
  std::optional<TimePoint> supportOf(const Replica &Each) const;
  /// Returns whether the lease stays valid long enough for a few more requests.
  bool isFresh(TimePoint Now) const { return isValidAt(Now + Opts.Length / 3); }
  bool isGivenUp() const { return LeaseTerm && *LeaseTerm < GivenUpBelow; }
  /// Returns whether a lease that was given up may be renewed by evidence
  /// requested at \p At.
  bool isRenewedBy(TimePoint At) const {
    return isRenewable() && At >= *RenewableFrom;
  }
  bool isRenewable() const {
    return RenewableFrom && LeaseTerm && *LeaseTerm >= LowestRenewable;
  }

  Options Opts;
  TimePoint StartupEnd;
  std::string Primary;
  std::optional<Term> LeaseTerm;
  /// Highest term that any instance reported.
  Term HighestTerm = 0;
  /// Nearest first.
  std::vector<Replica> Replicas;
  bool HasReplicaList = false;
  /// The latest evidence of another VM.
  struct PeerEvidence {
    TimePoint RequestedAt;
    Term ForTerm = 0;
    bool IsOfAllReplicas = false;
  };
  std::optional<PeerEvidence> FromPeer;
  /// Request time of the last votes that supported a lease, and the term of
  /// that lease.
  std::optional<TimePoint> SupportedAt;
  Term SupportedTerm = 0;
  /// The best outcome of votes since the VM started.
  std::optional<VoteOutcome> BestOutcome;
  /// Leases on primaries of a lower term were given up at GivenUpAt. Evidence
  /// renews them if it was requested from RenewableFrom on.
  Term GivenUpBelow = 0;
  TimePoint GivenUpAt;
  std::optional<TimePoint> RenewableFrom;
  /// The highest term that a promotion is known to have opened.
  Term LowestRenewable = 0;
  TimePoint NextRequest;
  TimePoint NextVotes;
  TimePoint NextPeerRequest;
};

} // namespace cicadawind

#endif
