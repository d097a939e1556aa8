#include "Leases/PromotionPromise.h"

#include <algorithm>

namespace cicadawind {

PromotionVote PromotionPromise::vote(const PromotionProposal &Proposal,
                                     TimePoint Now) {
  PromotionVote Out;
  if (Now < PendingUntil) {
    Out.PendingSuccessor = Successor;
    Out.PendingToken = SuccessorToken;
  }
  bool IsOutdated =
      Proposal.Token < HighestToken ||
      (Proposal.Token == HighestToken && Proposal.Holder != Holder) ||
      Proposal.NewTerm <= KnownTerm;
  Out.Granted = !IsOutdated && !isHeldByOther(Proposal.Holder, Now);
  Out.KnownTerm = KnownTerm;
  if (SuccessorToken != Proposal.Token)
    Out.NamedTerm = NamedTerm;
  Out.HighestToken = HighestToken;
  if (!Out.Granted)
    return Out;
  Out.Counts = countsForProposals(Now);
  Out.RemembersOrders = remembersOrders(Now);
  Out.GaveUp = Proposal.Kind != ProposalKind::Planned;
  bool IsNew = Proposal.Token != HighestToken;
  if (IsNew)
    WasBlockedBefore = BlockedBelow > 0;
  Holder = Proposal.Holder;
  HighestToken = Proposal.Token;
  ExclusiveUntil = Now + Opts.Exclusive;
  if (Out.GaveUp)
    BlockedBelow = std::max(BlockedBelow, Proposal.NewTerm);
  if (!Proposal.Successor.empty())
    recordSuccessor(Proposal, Now);
  return Out;
}

void PromotionPromise::recordSuccessor(const PromotionProposal &Proposal,
                                       TimePoint Now) {
  if (Proposal.Token == SettledToken)
    return;
  if (Proposal.Token != SuccessorToken)
    EarlierPendingUntil = PendingUntil;
  Successor = Proposal.Successor;
  SuccessorToken = Proposal.Token;
  NamedTerm = std::max(NamedTerm, Proposal.NewTerm);
  PendingUntil = Now + Opts.OrderLifetime;
}

void PromotionPromise::settle(const std::string &From, std::uint64_t Token) {
  if (From != Holder || Token != SuccessorToken || Token == SettledToken)
    return;
  SettledToken = Token;
  PendingUntil = EarlierPendingUntil;
}

bool PromotionPromise::cancel(const std::string &From, std::uint64_t Token,
                              bool EndsEarlier) {
  if (From != Holder || Token != HighestToken)
    return false;
  ExclusiveUntil = TimePoint();
  if (WasBlockedBefore && !EndsEarlier)
    return false;
  BlockedBelow = 0;
  return true;
}

void PromotionPromise::recordLeader(Term Leading) {
  KnownTerm = std::max(KnownTerm, Leading);
  if (BlockedBelow <= KnownTerm)
    BlockedBelow = 0;
}

bool PromotionPromise::complete(const std::string &From, std::uint64_t Token,
                                Term Leading) {
  recordLeader(Leading);
  if (From != Holder || Token != HighestToken)
    return false;
  ExclusiveUntil = TimePoint();
  BlockedBelow = 0;
  return true;
}

LeaseVote PromotionPromise::leaseVote(Term Leading, TimePoint Now) const {
  if (Leading < BlockedBelow || Leading < KnownTerm)
    return LeaseVote::Objects;
  return remembersOrders(Now) ? LeaseVote::Supports : LeaseVote::Unknown;
}

} // namespace cicadawind
