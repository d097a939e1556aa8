#include "Leases/PromotionBallot.h"

#include "Statements/TargetStatus.h"

#include <algorithm>

namespace cicadawind {

void PromotionBallot::setSuccessor(const std::string &Instance, TimePoint Now) {
  if (Opts.Proposal.Successor == Instance)
    return;
  Opts.Proposal.Successor = Instance;
  resetVotes(Now);
}

void PromotionBallot::setToken(std::uint64_t Token, TimePoint Now) {
  Opts.Proposal.Token = Token;
  resetVotes(Now);
}

void PromotionBallot::resetVotes(TimePoint Now) {
  ChangedAt = Now;
  for (auto &[Vm, State] : Votes)
    State.CountedAt.reset();
}

void PromotionBallot::recordVote(const std::string &Vm,
                                 const PromotionVote &Vote,
                                 TimePoint RequestedAt) {
  if (!Opts.Vms.count(Vm))
    return;
  HighestToken = std::max(HighestToken, Vote.HighestToken);
  NamedTerm = std::max(NamedTerm, Vote.NamedTerm);
  HighestTerm = std::max({HighestTerm, Vote.KnownTerm, Vote.NamedTerm});
  Outdated |= Vote.HighestToken > Opts.Proposal.Token ||
              Vote.KnownTerm >= Opts.Proposal.NewTerm;
  if (Vote.PendingToken > PendingToken) {
    PendingToken = Vote.PendingToken;
    PendingSuccessor = Vote.PendingSuccessor;
  }
  Vetoed |= Vote.ReachesPrimary;
  if (!Vote.Granted)
    return;
  VmState &State = Votes[Vm];
  State.GaveUp |= Vote.GaveUp;
  State.RemembersOrders = Vote.RemembersOrders;
  if (Vote.Counts && RequestedAt >= ChangedAt)
    State.CountedAt =
        std::max(State.CountedAt.value_or(RequestedAt), RequestedAt);
}

void PromotionBallot::recordStatus(const std::string &Instance,
                                   const TargetStatus &Status, TimePoint Now) {
  if (!Opts.Instances.count(Instance))
    return;
  HighestTerm = std::max(HighestTerm, Status.CurrentTerm);
  Outdated |= Status.CurrentTerm >= Opts.Proposal.NewTerm;
  if (!Status.IsPrimary &&
      Status.ReceivePausedUpToTerm >= Opts.Proposal.NewTerm)
    PausedAt.try_emplace(Instance, Now);
  if (Instance != Opts.OldPrimary)
    return;
  if (!Status.IsPrimary && !Demoted)
    DemotedAt = Now;
  Demoted = !Status.IsPrimary;
}

bool PromotionBallot::hasMajority(TimePoint Now) const {
  std::size_t Count = 0;
  std::size_t Remembering = 0;
  for (const auto &[Vm, State] : Votes) {
    bool Holds = State.CountedAt && Now < *State.CountedAt + Opts.OrderWindow;
    Count += Holds ? 1 : 0;
    Remembering += Holds && State.RemembersOrders ? 1 : 0;
  }
  std::size_t All = Opts.Vms.size();
  bool KnowsEarlierOrders = 2 * Remembering >= All || Count == All;
  return 2 * Count > All && KnowsEarlierOrders;
}

bool PromotionBallot::allGaveUp() const {
  return std::all_of(Opts.Vms.begin(), Opts.Vms.end(),
                     [&](const std::string &Vm) {
                       auto It = Votes.find(Vm);
                       return It != Votes.end() && It->second.GaveUp;
                     });
}

std::set<std::string> PromotionBallot::missingVotes() const {
  std::set<std::string> Out;
  for (const std::string &Vm : Opts.Vms) {
    auto It = Votes.find(Vm);
    if (It == Votes.end() || !It->second.CountedAt)
      Out.insert(Vm);
  }
  return Out;
}

std::set<std::string> PromotionBallot::unpaused() const {
  std::set<std::string> Out;
  for (const std::string &Instance : Opts.Instances)
    if (!PausedAt.count(Instance))
      Out.insert(Instance);
  return Out;
}

std::optional<TimePoint> PromotionBallot::leasesEndAt() const {
  std::optional<TimePoint> End;
  if (allGaveUp())
    return TimePoint();
  if (Demoted)
    End = DemotedAt;
  // The one that has not paused may be the old primary. Each lease on it needs
  // the support of another instance.
  if (!PausedAt.empty() && unpaused().size() <= 1) {
    TimePoint LastPaused;
    for (const auto &[Instance, At] : PausedAt)
      LastPaused = std::max(LastPaused, At);
    TimePoint Expiry = LastPaused + Opts.LeaseLength + Opts.ClockMargin;
    End = End ? std::min(*End, Expiry) : Expiry;
  }
  return End;
}

bool PromotionBallot::mayOrder(TimePoint Now) const {
  if (isOutdated() || !hasMajority(Now) || Opts.Proposal.Successor.empty())
    return false;
  std::optional<TimePoint> End = leasesEndAt();
  return End && Now >= *End;
}

} // namespace cicadawind
