#include "Leases/PrimaryLease.h"

#include "Statements/TargetStatus.h"

#include <algorithm>

namespace cicadawind {

void PrimaryLease::setPrimary(const std::string &Instance) {
  if (Instance == Primary)
    return;
  Primary = Instance;
  LeaseTerm.reset();
  NextRequest = TimePoint();
}

void PrimaryLease::setReplicas(const std::vector<std::string> &Instances,
                               TimePoint Now) {
  std::vector<Replica> Listed;
  Listed.reserve(Instances.size());
  for (const std::string &Instance : Instances) {
    if (const Replica *Existing = find(Instance)) {
      Listed.push_back(*Existing);
      continue;
    }
    Replica Next;
    Next.Instance = Instance;
    Next.CountsFrom = HasReplicaList ? Now + Opts.JoinDelay : Now;
    Listed.push_back(std::move(Next));
  }
  Replicas = std::move(Listed);
  HasReplicaList = HasReplicaList || !Replicas.empty();
}

PrimaryLease::Replica *PrimaryLease::find(const std::string &Instance) {
  for (Replica &Each : Replicas)
    if (Each.Instance == Instance)
      return &Each;
  return nullptr;
}

void PrimaryLease::recordStatus(const std::string &Instance,
                                const TargetStatus &Status,
                                TimePoint RequestedAt) {
  HighestTerm = std::max(HighestTerm, Status.CurrentTerm);
  if (Instance == Primary) {
    if (Status.IsPrimary)
      LeaseTerm = Status.CurrentTerm;
    else
      LeaseTerm.reset();
    return;
  }
  Replica *Asked = find(Instance);
  bool Counts = Asked && !Status.IsPrimary && RequestedAt >= Asked->CountsFrom;
  if (!Counts)
    return;
  Asked->RequestedAt = RequestedAt;
  Asked->CurrentTerm = Status.CurrentTerm;
  Asked->PausedUpTo = Status.ReceivePausedUpToTerm;
}

void PrimaryLease::recordPeerEvidence(Term PeerTerm, TimePoint RequestedAt,
                                      bool IsOfAllReplicas) {
  bool IsOlder = FromPeer && FromPeer->ForTerm == PeerTerm &&
                 RequestedAt <= FromPeer->RequestedAt;
  if (IsOlder)
    return;
  FromPeer = {.RequestedAt = RequestedAt,
              .ForTerm = PeerTerm,
              .IsOfAllReplicas = IsOfAllReplicas};
}

std::optional<TimePoint>
PrimaryLease::shareableEvidenceAt(TimePoint Now) const {
  return isValidAt(Now) ? evidenceAt() : std::nullopt;
}

void PrimaryLease::recordVotes(Term VotedTerm, VoteOutcome Outcome,
                               TimePoint RequestedAt) {
  if (!BestOutcome || Outcome == VoteOutcome::Supported)
    BestOutcome = Outcome;
  if (Outcome != VoteOutcome::Supported)
    return;
  SupportedTerm = VotedTerm;
  SupportedAt = RequestedAt;
  bool Renews = isGivenUp() && VotedTerm == *LeaseTerm &&
                RequestedAt >= GivenUpAt && !RenewableFrom;
  if (Renews)
    RenewableFrom = RequestedAt;
}

void PrimaryLease::giveUp(Term Below, TimePoint Now) {
  // A lease that was not renewed since it was last given up stays limited to
  // that earlier time.
  std::optional<TimePoint> Latest = evidenceAt();
  bool WasRenewed = Latest && isRenewedBy(*Latest);
  if (!isGivenUp() || WasRenewed)
    GivenUpAt = Now;
  GivenUpBelow = std::max(GivenUpBelow, Below);
  RenewableFrom.reset();
}

void PrimaryLease::allowRenewal(TimePoint Now, Term Leading) {
  LowestRenewable = std::max(LowestRenewable, Leading);
  if (!RenewableFrom)
    RenewableFrom = Now;
  NextRequest = TimePoint();
}

std::optional<TimePoint> PrimaryLease::supportOf(const Replica &Each) const {
  bool Supports =
      Each.CurrentTerm <= *LeaseTerm && Each.PausedUpTo <= *LeaseTerm;
  return Supports ? Each.RequestedAt : std::nullopt;
}

std::optional<TimePoint> PrimaryLease::replicaEvidenceAt() const {
  std::optional<TimePoint> Latest;
  std::optional<TimePoint> Earliest;
  bool AllSupport = true;
  for (const Replica &Each : Replicas) {
    std::optional<TimePoint> At = supportOf(Each);
    AllSupport = AllSupport && At;
    if (At && (!Latest || *At > *Latest))
      Latest = At;
    if (At && (!Earliest || *At < *Earliest))
      Earliest = At;
  }
  if (!BestOutcome)
    return std::nullopt;
  bool OneSuffices = *BestOutcome == VoteOutcome::Supported ||
                     (Latest && *Latest >= StartupEnd);
  std::optional<TimePoint> Own = OneSuffices ? Latest : std::nullopt;
  if (!OneSuffices && AllSupport)
    Own = Earliest;
  bool PeerCounts = FromPeer && FromPeer->ForTerm == *LeaseTerm &&
                    (OneSuffices || FromPeer->IsOfAllReplicas);
  if (PeerCounts && (!Own || FromPeer->RequestedAt > *Own))
    return FromPeer->RequestedAt;
  return Own;
}

std::optional<TimePoint> PrimaryLease::evidenceAt() const {
  if (!LeaseTerm)
    return std::nullopt;
  std::optional<TimePoint> Latest = replicaEvidenceAt();
  bool VotesCount = SupportedAt && SupportedTerm == *LeaseTerm;
  if (VotesCount && (!Latest || *SupportedAt > *Latest))
    Latest = SupportedAt;
  return Latest;
}

std::optional<TimePoint> PrimaryLease::validUntil() const {
  if (!LeaseTerm || isSuperseded())
    return std::nullopt;
  std::optional<TimePoint> Latest = evidenceAt();
  if (!Latest)
    return std::nullopt;
  TimePoint Until = *Latest + Opts.Length;
  if (isGivenUp() && !isRenewedBy(*Latest))
    return std::min(Until, GivenUpAt);
  return Until;
}

bool PrimaryLease::isValidAt(TimePoint At) const {
  std::optional<TimePoint> Until = validUntil();
  return Until && At < *Until;
}

bool PrimaryLease::isBlocked() const {
  if (!LeaseTerm)
    return false;
  bool IsPaused =
      std::any_of(Replicas.begin(), Replicas.end(), [&](const Replica &Each) {
        return Each.PausedUpTo > *LeaseTerm;
      });
  return IsPaused || (isGivenUp() && !isRenewable());
}

std::vector<std::string> PrimaryLease::statusDue(bool HasPeer, TimePoint Now) {
  std::vector<std::string> Out;
  if (Primary.empty() || Now < NextRequest)
    return Out;
  bool IsFresh = isFresh(Now);
  if (IsFresh && HasPeer)
    return Out;
  bool OneSuffices = IsFresh && !needsAllReplicas();
  NextRequest = Now + (IsFresh ? Opts.RenewInterval : Opts.RetryInterval);
  if (!IsFresh)
    Out.push_back(Primary);
  for (const Replica &Each : Replicas) {
    Out.push_back(Each.Instance);
    if (OneSuffices)
      break;
  }
  return Out;
}

bool PrimaryLease::peerEvidenceDue(TimePoint Now) {
  if (!LeaseTerm || Now < NextPeerRequest)
    return false;
  NextPeerRequest = Now + Opts.RenewInterval;
  return true;
}

bool PrimaryLease::votesDue(TimePoint Now) {
  if (!LeaseTerm || Now < NextVotes)
    return false;
  bool IsFresh = isFresh(Now);
  if (IsFresh && !needsAllReplicas())
    return false;
  NextVotes = Now + (IsFresh ? Opts.StartupVoteInterval : Opts.VoteInterval);
  return true;
}

} // namespace cicadawind
