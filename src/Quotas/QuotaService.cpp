#include "Quotas/QuotaService.h"

#include "Accounts/AccountDirectory.h"

#include <algorithm>
#include <limits>

namespace cicadawind {

static LimitShares::Options shareOptions(const QuotaService::Options &Opts) {
  LimitShares::Options Out;
  for (const auto &[Domain, Region] : Opts.Regions)
    Out.FailureDomains.push_back(Domain);
  if (Opts.Regions.count(Opts.FailureDomain) == 0)
    Out.FailureDomains.push_back(Opts.FailureDomain);
  Out.Tolerance = Opts.Tolerance;
  Out.PermitLifetime = Opts.Times.PermitLifetime;
  return Out;
}

PermitClient::Options QuotaService::clientOptions() {
  PermitClient::Options Out;
  Out.OwnVm = Opts.Vm;
  Out.FailureDomain = Opts.FailureDomain;
  Out.Regions = Opts.Regions;
  Out.Times = Opts.Times;
  Out.Random = Opts.Random;
  Out.Send = [this](const std::string &Vm, const PermitRequest &Request) {
    Opts.Send(Vm, Request);
  };
  Out.TakeLocally = [this](unsigned Partition, const PermitRequest::Item &Asked,
                           TimePoint Now) {
    return take(Partition, Asked, Now);
  };
  Out.FindOwnIssuer = [this](unsigned Partition, TimePoint Now) {
    return Votes.votedFor(Partition, Now);
  };
  return Out;
}

QuotaService::QuotaService(Options NewOpts)
    : Opts(std::move(NewOpts)), Shares(shareOptions(Opts)),
      Votes({.FailureDomain = Opts.FailureDomain,
             .LeaseLength = Opts.Times.LeaseLength,
             .StartedAt = Opts.StartedAt}),
      Domain(Opts.Vm), Client(clientOptions()), Incarnation(Opts.Random()) {
  for (unsigned Partition = 0; Partition < QuotaPartitions; ++Partition)
    Seats.emplace_back(Opts.Times, Opts.Random);
}

void QuotaService::setAccounts(const AccountDirectory &Accounts,
                               TimePoint Now) {
  std::map<std::string, std::vector<std::string>> Issuers;
  std::vector<PermitIssuer::Shares> Own(QuotaPartitions);
  for (const ClientAccount &Each : Accounts.accounts()) {
    if (!Each.Limit)
      continue;
    std::vector<std::string> IssuedIn = Shares.issuersOf(Each);
    if (std::count(IssuedIn.begin(), IssuedIn.end(), Opts.FailureDomain) > 0)
      Own[quotaPartitionOf(Each.Name)][Each.Name] = Shares.shareOf(Each);
    Issuers[Each.Name] = std::move(IssuedIn);
  }
  IsActive = !Issuers.empty();
  for (unsigned Partition = 0; Partition < QuotaPartitions; ++Partition)
    Seats[Partition].setShares(std::move(Own[Partition]), Now);
  Client.setAccounts(std::move(Issuers), Now);
}

void QuotaService::setPeers(const std::vector<VmEntry> &LivePeers) {
  std::map<std::string, std::vector<std::string>> ByDomain;
  for (const VmEntry &Each : LivePeers)
    if (!Each.Leaving && Each.Vm != Opts.Vm)
      ByDomain[Each.FailureDomain].push_back(Each.Vm);
  const std::vector<std::string> &Own = ByDomain[Opts.FailureDomain];
  LiveVms = {Own.begin(), Own.end()};
  Client.setVms(std::move(ByDomain));
}

void QuotaService::setVoters(const std::set<std::string> &OwnDomain,
                             const std::set<std::string> &Gone) {
  Domain.update(OwnDomain, LiveVms, Gone);
}

std::uint64_t QuotaService::admit(const std::string &Account,
                                  TimePoint GiveUpAt, TimePoint Now,
                                  Hook OnOutcome) {
  return Client.admit(Account, GiveUpAt, Now,
                      [this, Account, OnOutcome = std::move(OnOutcome)](
                          const PermitOutcome &Outcome) {
                        switch (Outcome.Result) {
                        case PermitOutcome::Kind::Granted:
                          ++Counts.Granted;
                          break;
                        case PermitOutcome::Kind::Unavailable:
                          ++Counts.Unavailable;
                          break;
                        case PermitOutcome::Kind::OverLimit:
                          ++Counts.OverLimit;
                          if (Opts.OnOverLimit)
                            Opts.OnOverLimit(Account, Outcome.RetryAfter);
                        }
                        OnOutcome(Outcome);
                      });
}

std::optional<PermitReply::Item>
QuotaService::take(unsigned Partition, const PermitRequest::Item &Asked,
                   TimePoint Now) {
  std::optional<PermitReply::Item> Out = Seats[Partition].take(Asked, Now);
  if (Out) {
    Counts.Issued += Out->Granted;
    Counts.Denied += Asked.Count - Out->Granted;
  }
  return Out;
}

void QuotaService::receive(const std::string &From, const QuotaMessage &Message,
                           TimePoint Now) {
  std::visit([&](const auto &Each) { handle(From, Each, Now); }, Message);
}

void QuotaService::handle(const std::string &From, const IssuerClaim &Claim,
                          TimePoint Now) {
  // A VM that does not know the fleet yet cannot tell whether the sender does.
  std::size_t Known = Domain.domainSize() > 0
                          ? Domain.domainSize()
                          : std::numeric_limits<std::size_t>::max();
  bool IsGranted = mayVote(Now) && Votes.vote(From, Claim, Known, Now);
  Opts.Send(From, IssuerVote{.Partition = Claim.Partition,
                             .Incarnation = Claim.Incarnation,
                             .Number = Claim.Number,
                             .Granted = IsGranted,
                             .Idle = idleTime(Claim.Partition, Now)});
}

void QuotaService::handle(const std::string &From, const IssuerVote &Vote,
                          TimePoint Now) {
  if (Vote.Incarnation == Incarnation && Vote.Granted &&
      Vote.Partition < QuotaPartitions)
    recordVote(Vote.Partition, Vote.Number, From, Vote.Idle, Now);
}

Millis QuotaService::idleTime(unsigned Partition, TimePoint Now) {
  if (Partition >= QuotaPartitions)
    return Millis::zero();
  return toMillis(Seats[Partition].idleTime(Opts.StartedAt, Now));
}

void QuotaService::handle(const std::string &From, const IssuerRelease &Release,
                          TimePoint) {
  Votes.release(From, Release);
}

void QuotaService::handle(const std::string &From, const PermitRequest &Request,
                          TimePoint Now) {
  unsigned Partition = Request.Partition;
  if (Partition >= QuotaPartitions)
    return;
  PermitReply Reply{.Number = Request.Number,
                    .IsIssuer = Seats[Partition].isIssuer(Now)};
  if (Reply.IsIssuer)
    for (const PermitRequest::Item &Each : Request.Items)
      Reply.Items.push_back(
          take(Partition, Each, Now).value_or(PermitReply::Item{}));
  else
    Reply.Issuer = Votes.votedFor(Partition, Now);
  Opts.Send(From, Reply);
}

void QuotaService::handle(const std::string &From, const PermitReply &Reply,
                          TimePoint Now) {
  Client.receive(From, Reply, Now);
}

void QuotaService::recordVote(unsigned Partition, std::uint64_t Number,
                              const std::string &Voter, Duration Idle,
                              TimePoint Now) {
  if (!mayIssue())
    return;
  Seats[Partition].recordVote(Number, Voter, Idle, Now);
  reportLease(Partition, Now);
}

void QuotaService::reportLease(unsigned Partition, TimePoint Now) {
  bool IsHeld = Seats[Partition].isIssuer(Now);
  if (IsHeld == (ReportedLeases.count(Partition) > 0))
    return;
  if (IsHeld)
    ReportedLeases.insert(Partition);
  else
    ReportedLeases.erase(Partition);
  if (Opts.OnLease)
    Opts.OnLease(Partition, IsHeld);
}

bool QuotaService::isShortOfVotes() const {
  return Domain.domainSize() > 0 &&
         Domain.countMembers(LiveVms) < Domain.votesNeeded(0);
}

bool QuotaService::isShortForLong(TimePoint Now) const {
  return ShortSince && Domain.votesNeededWithWitness() &&
         Now - *ShortSince >= Opts.Witness.ShortageTime;
}

bool QuotaService::hasWitness(TimePoint Now) const {
  return HasWitnessUntil && HasWitnessUntil(Now + Opts.Times.LeaseLength);
}

bool QuotaService::wantsWitness(TimePoint Now) const {
  std::optional<std::size_t> Needed = Domain.votesNeededWithWitness();
  if (!IsActive || !mayIssue() || !isShortForLong(Now) || !Needed ||
      Domain.countMembers(LiveVms) < *Needed)
    return false;
  // The first of the live VMs, in the same order for all.
  for (const std::string &Vm : Domain.votersOf(0))
    if (Vm == Opts.Vm || LiveVms.count(Vm) > 0)
      return Vm == Opts.Vm;
  return false;
}

std::optional<std::size_t> QuotaService::rankIn(unsigned Partition,
                                                TimePoint Now) const {
  // It does not even have its own vote in the first LeaseLength.
  if (Domain.domainSize() == 0 || Now - Opts.StartedAt < Opts.Times.LeaseLength)
    return std::nullopt;
  // Another claim would only take the votes that the VM with the witness needs.
  if (isShortForLong(Now))
    return hasWitness(Now) ? std::optional<std::size_t>(0) : std::nullopt;
  std::size_t Rank = 0;
  for (const std::string &Vm : Domain.votersOf(Partition)) {
    if (Vm == Opts.Vm)
      return Rank;
    Rank += LiveVms.count(Vm);
  }
  return std::nullopt;
}

std::size_t QuotaService::votesNeeded(unsigned Partition, TimePoint Now) const {
  std::size_t Majority = Domain.votesNeeded(Partition);
  std::optional<std::size_t> Half = Domain.votesNeededWithWitness();
  return hasWitness(Now) && Half ? std::min(Majority, *Half) : Majority;
}

void QuotaService::sendClaim(unsigned Partition, TimePoint Now) {
  const std::vector<std::string> &Voters = Domain.votersOf(Partition);
  IssuerClaim Claim{.FailureDomain = Opts.FailureDomain,
                    .Partition = Partition,
                    .Incarnation = Incarnation,
                    .Number = ++LastClaim,
                    .DomainSize = Domain.domainSize()};
  Seats[Partition].recordClaim(Claim.Number, {Voters.begin(), Voters.end()},
                               votesNeeded(Partition, Now), Claim.DomainSize,
                               Now);
  for (const std::string &Vm : Voters)
    if (Vm != Opts.Vm)
      Opts.Send(Vm, Claim);
  if (Votes.vote(Opts.Vm, Claim, Claim.DomainSize, Now))
    recordVote(Partition, Claim.Number, Opts.Vm, idleTime(Partition, Now), Now);
}

void QuotaService::sendRelease(unsigned Partition) {
  Seats[Partition].end();
  IssuerRelease Release{.FailureDomain = Opts.FailureDomain,
                        .Partition = Partition,
                        .Incarnation = Incarnation,
                        .Number = LastClaim};
  for (const std::string &Vm : Domain.votersOf(Partition))
    if (Vm != Opts.Vm)
      Opts.Send(Vm, Release);
  Votes.release(Opts.Vm, Release);
}

void QuotaService::sweepSeat(unsigned Partition, TimePoint Now) {
  if (!mayIssue()) {
    if (Seats[Partition].isIssuer(Now))
      sendRelease(Partition);
    return reportLease(Partition, Now);
  }
  std::string VotedFor = Votes.votedFor(Partition, Now);
  bool IsTaken = !VotedFor.empty() && VotedFor != Opts.Vm;
  std::optional<std::size_t> Rank = rankIn(Partition, Now);
  switch (Seats[Partition].next(IsTaken, Rank, Now)) {
  case IssuerCandidacy::Action::None:
    break;
  case IssuerCandidacy::Action::Claim:
    sendClaim(Partition, Now);
    break;
  case IssuerCandidacy::Action::Release:
    sendRelease(Partition);
    break;
  }
  reportLease(Partition, Now);
}

void QuotaService::sweep(TimePoint Now) {
  if (!isShortOfVotes())
    ShortSince.reset();
  else if (!ShortSince)
    ShortSince = Now;
  for (unsigned Partition = 0; Partition < QuotaPartitions; ++Partition)
    sweepSeat(Partition, Now);
  Client.sweep(Now);
}

void QuotaService::leave(TimePoint Now) {
  if (!LeavingSince)
    LeavingSince = Now;
  for (unsigned Partition = 0; Partition < QuotaPartitions; ++Partition)
    sweepSeat(Partition, Now);
}

QuotaCounts QuotaService::counts() const {
  QuotaCounts Out = Counts;
  Out.Leases = ReportedLeases.size();
  for (const IssuerSeat &Each : Seats)
    Out.Buckets += Each.buckets();
  return Out;
}

} // namespace cicadawind
