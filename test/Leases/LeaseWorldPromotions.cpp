#include "Leases/LeaseWorldVm.h"

#include <algorithm>

// How the VMs of a LeaseWorld replace a primary.

namespace cicadawind::test {

using std::chrono::milliseconds;

LeaseWorld::Attempt *LeaseWorld::attemptOf(std::size_t Index,
                                           std::uint64_t Serial) {
  Attempt *Current = Vms[Index]->Current.get();
  return Current && Current->Serial == Serial ? Current : nullptr;
}

void LeaseWorld::startAttempt(std::size_t Index) {
  Vm &Self = *Vms[Index];
  bool StoreReachable = !(Now >= StoreDownFrom && Now < StoreDownUntil) &&
                        !isCut(vmNode(Index), StoreNode) &&
                        !isCut(StoreNode, vmNode(Index));
  if (!StoreReachable)
    return;
  PromotionBallot::Options BallotOpts;
  BallotOpts.Proposal.Holder = vmName(Index);
  BallotOpts.Proposal.Token = ++StoredToken;
  BallotOpts.Proposal.NewTerm =
      std::max(Self.Lease.term().value_or(1), Self.HighestTerm) + 1;
  for (std::size_t Id = 0; Id < InstanceCount; ++Id)
    BallotOpts.Instances.insert(instanceName(Id));
  for (std::size_t Each = 0; Each < Vms.size(); ++Each)
    BallotOpts.Vms.insert(vmName(Each));
  BallotOpts.OldPrimary = Self.Lease.primary();
  if (chance() < 0.25)
    BallotOpts.Proposal.Kind = ProposalKind::Planned;
  Self.Current = std::make_unique<Attempt>(std::move(BallotOpts));
  Self.Current->Serial = ++LastSerial;
  Self.Current->Since = Now;
  propose(Index, Self.Current->Serial);
  advance(Index, Self.Current->Serial);
}

void LeaseWorld::propose(std::size_t Index, std::uint64_t Serial) {
  Attempt *Current = attemptOf(Index, Serial);
  if (!Current)
    return;
  PromotionProposal Proposal = Current->Ballot.proposal();
  TimePoint RequestedAt = Now;
  for (std::size_t Other = 0; Other < Vms.size(); ++Other) {
    auto Vote = [=, this]() -> std::optional<PromotionVote> {
      Vm &Voter = *Vms[Other];
      if (Now < Voter.FrozenUntil)
        return std::nullopt;
      PromotionProposal Asked = Proposal;
      if (!Opts.Guards.OrderProposals) {
        Vm Forgetful(Voter.Started);
        Forgetful.Promise.recordLeader(0);
        PromotionVote Out = Forgetful.Promise.vote(Asked, Now);
        Voter.Lease.giveUp(Proposal.NewTerm, Now);
        return Out;
      }
      PromotionVote Out = Voter.Promise.vote(Asked, Now);
      if (!Opts.Guards.KnowEarlierOrders)
        Out.RemembersOrders = true;
      if (Out.GaveUp && Opts.Guards.GiveUpLeases)
        Voter.Lease.giveUp(Proposal.NewTerm, Now);
      return Out;
    };
    auto Record = [=, this](const PromotionVote &Out) {
      Attempt *Asking = attemptOf(Index, Serial);
      if (Asking && Now >= Vms[Index]->FrozenUntil)
        Asking->Ballot.recordVote(vmName(Other), Out, RequestedAt);
    };
    if (Other == Index) {
      if (std::optional<PromotionVote> Out = Vote())
        Record(*Out);
      continue;
    }
    deliver(vmNode(Index), vmNode(Other), [=, this] {
      if (std::optional<PromotionVote> Out = Vote())
        deliver(vmNode(Other), vmNode(Index), [=] { Record(*Out); });
    });
  }
}

void LeaseWorld::endAttempt(std::size_t Index, bool MayCancel) {
  Vm &Self = *Vms[Index];
  PromotionProposal Proposal = Self.Current->Ballot.proposal();
  bool Cancels = MayCancel && !Self.Current->Ordered;
  bool EndsEarlier = Self.Current->Ballot.hasMajority(Now) &&
                     Self.Current->Ballot.pendingSuccessor().empty();
  Self.HighestTerm =
      std::max(Self.HighestTerm, Self.Current->Ballot.highestTerm());
  auto Leads = Self.Claims.find(Proposal.Successor);
  std::optional<Term> Opened;
  if (Leads != Self.Claims.end())
    Opened = Leads->second;
  Self.Current.reset();
  Self.NextAttempt = Now + between(300, 1500);
  if (Opened)
    return complete(Index, Proposal, *Opened);
  if (!Cancels)
    return;
  for (std::size_t Other = 0; Other < Vms.size(); ++Other) {
    auto Cancel = [=, this] {
      Vm &Voter = *Vms[Other];
      if (Now >= Voter.FrozenUntil &&
          Voter.Promise.cancel(Proposal.Holder, Proposal.Token, EndsEarlier))
        Voter.Lease.allowRenewal(Now);
    };
    if (Other == Index)
      Cancel();
    else
      deliver(vmNode(Index), vmNode(Other), Cancel);
  }
  if (!EndsEarlier)
    return;
  for (std::size_t Id = 0; Id < InstanceCount; ++Id)
    askStatus(
        Index, Id,
        [Proposal](Instance &Each) {
          if (Each.Paused <= Proposal.NewTerm)
            Each.Paused = 0;
        },
        [](const TargetStatus &, TimePoint) {});
}

void LeaseWorld::complete(std::size_t Index, const PromotionProposal &Proposal,
                          Term Opened) {
  for (std::size_t Other = 0; Other < Vms.size(); ++Other) {
    auto Complete = [=, this] {
      Vm &Voter = *Vms[Other];
      if (Now >= Voter.FrozenUntil &&
          Voter.Promise.complete(Proposal.Holder, Proposal.Token, Opened))
        Voter.Lease.allowRenewal(Now);
    };
    if (Other == Index)
      Complete();
    else
      deliver(vmNode(Index), vmNode(Other), Complete);
  }
}

void LeaseWorld::settle(std::size_t Index) {
  PromotionProposal Proposal = Vms[Index]->Current->Ballot.proposal();
  for (std::size_t Other = 0; Other < Vms.size(); ++Other) {
    auto Settle = [=, this] {
      if (Now >= Vms[Other]->FrozenUntil)
        Vms[Other]->Promise.settle(Proposal.Holder, Proposal.Token);
    };
    if (Other == Index)
      Settle();
    else
      deliver(vmNode(Index), vmNode(Other), Settle);
  }
}

void LeaseWorld::advance(std::size_t Index, std::uint64_t Serial) {
  Attempt *Current = attemptOf(Index, Serial);
  if (!Current)
    return;
  Vm &Self = *Vms[Index];
  auto Again = [=, this] { advance(Index, Serial); };
  if (Now < Self.FrozenUntil)
    return at(Self.FrozenUntil, Again);
  PromotionBallot &Ballot = Current->Ballot;
  Term NewTerm = Ballot.proposal().NewTerm;
  bool Ends = Ballot.isOutdated() || Now - Current->Since > AttemptLimit ||
              Self.Claims.count(Ballot.proposal().Successor);
  if (Ends)
    return endAttempt(Index, !Ballot.isOutdated());
  after(milliseconds(20), Again);
  if ((Now - Current->Since) % milliseconds(100) < milliseconds(20))
    propose(Index, Serial);
  if (!Ballot.hasMajority(Now))
    return;
  if (!Current->Asked ||
      (Now - Current->Since) % milliseconds(100) < milliseconds(20)) {
    Current->Asked = true;
    for (std::size_t Id = 0; Id < InstanceCount; ++Id) {
      bool Pauses = Ballot.proposal().Kind != ProposalKind::Planned;
      auto Change = [NewTerm, Pauses](Instance &Each) {
        if (Each.IsPrimary && Each.Leads < NewTerm)
          Each.IsPrimary = false; // Demoted.
        if (Pauses && !Each.IsPrimary && NewTerm > Each.Leads)
          Each.Paused = std::max(Each.Paused, NewTerm);
      };
      askStatus(Index, Id, Change,
                [=, this](const TargetStatus &Status, TimePoint At) {
                  learnPrimary(Index, Id, Status, At);
                  Attempt *Asking = attemptOf(Index, Serial);
                  if (!Asking)
                    return;
                  Asking->Statuses[instanceName(Id)] = Status;
                  Asking->Ballot.recordStatus(instanceName(Id), Status, Now);
                });
    }
  }
  if (Current->Statuses.empty())
    return;
  if (Ballot.proposal().Successor.empty()) {
    std::string Chosen = Ballot.pendingSuccessor();
    if (Chosen.empty() || !Opts.Guards.KeepSuccessor) {
      auto Pick = Current->Statuses.begin();
      std::advance(Pick, static_cast<std::ptrdiff_t>(Engine() %
                                                     Current->Statuses.size()));
      Chosen = Pick->first;
    }
    Ballot.setSuccessor(Chosen, Now);
    propose(Index, Serial);
    return;
  }
  bool MayOrder = Ballot.mayOrder(Now) ||
                  (!Opts.Guards.WaitForLeases && Ballot.hasMajority(Now));
  if (MayOrder && !Current->Ordered)
    order(Index, Serial);
}

void LeaseWorld::order(std::size_t Index, std::uint64_t Serial) {
  Attempt *Current = attemptOf(Index, Serial);
  Current->Ordered = true;
  Current->OrderOutstanding = true;
  std::uint64_t Token = Current->Ballot.proposal().Token;
  std::size_t Id = instanceId(Current->Ballot.proposal().Successor);
  deliver(vmNode(Index), PlatformNode, [=, this] {
    receiveOrder(Index, Id, Token, [=, this](int Status) {
      Attempt *Waiting = attemptOf(Index, Serial);
      if (!Waiting || Now < Vms[Index]->FrozenUntil)
        return;
      Waiting->OrderOutstanding = false;
      settle(Index);
      if (Status == 409)
        endAttempt(Index, false);
    });
  });
  after(OrderTimeout, [=, this] {
    Attempt *Waiting = attemptOf(Index, Serial);
    if (Waiting && Waiting->OrderOutstanding)
      endAttempt(Index, false);
  });
}

} // namespace cicadawind::test
