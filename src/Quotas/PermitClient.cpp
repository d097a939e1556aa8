#include "Quotas/PermitClient.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace cicadawind {

PermitClient::PermitClient(Options NewOpts)
    : Opts(std::move(NewOpts)),
      Directory({.FirstSuspicion = Opts.Times.FirstSuspicion,
                 .MaxSuspicion = Opts.Times.MaxSuspicion}) {
  // Replies to another process of this VM are not taken for its own.
  LastNumber = Opts.Random() >> 1;
}

bool PermitClient::isNear(const std::string &Domain) const {
  auto Own = Opts.Regions.find(Opts.FailureDomain);
  auto Other = Opts.Regions.find(Domain);
  return Domain == Opts.FailureDomain ||
         (Own != Opts.Regions.end() && Other != Opts.Regions.end() &&
          Own->second == Other->second);
}

Duration PermitClient::replyTimeout(const std::string &Domain) const {
  return isNear(Domain) ? Opts.Times.NearReplyTimeout
                        : Opts.Times.FarReplyTimeout;
}

std::vector<std::string>
PermitClient::inAskingOrder(std::vector<std::string> Domains) {
  // Rotated by hash, so that the VMs do not all ask the same domain next.
  std::uint64_t Hash = hashText(Opts.OwnVm);
  auto Key = [&](const std::string &Domain) {
    return std::make_tuple(Domain != Opts.FailureDomain, !isNear(Domain),
                           hashCombine(Hash, hashText(Domain)));
  };
  std::sort(Domains.begin(), Domains.end(),
            [&](const std::string &A, const std::string &B) {
              return Key(A) < Key(B);
            });
  return Domains;
}

void PermitClient::setAccounts(
    std::map<std::string, std::vector<std::string>> Issuers, TimePoint Now) {
  for (auto It = Accounts.begin(); It != Accounts.end();) {
    if (Issuers.count(It->first)) {
      ++It;
      continue;
    }
    // It has no limit any more.
    finish(It->second.Queue.takeOldest(std::numeric_limits<std::size_t>::max()),
           {.Result = PermitOutcome::Kind::Granted});
    Waiting[It->second.Partition].erase(It->first);
    It = Accounts.erase(It);
  }
  for (auto &[Name, Domains] : Issuers) {
    Account &Each = Accounts[Name];
    Each.Partition = quotaPartitionOf(Name);
    Each.Issuers = inAskingOrder(std::move(Domains));
    Each.DeniedUntil.clear();
  }
  for (unsigned Partition = 0; Partition < QuotaPartitions; ++Partition)
    ask(Partition, Now);
  deliver();
}

std::uint64_t PermitClient::admit(const std::string &Name, TimePoint GiveUpAt,
                                  TimePoint Now, Hook OnOutcome) {
  std::uint64_t Ticket = ++LastTicket;
  auto It = Accounts.find(Name);
  if (It == Accounts.end()) {
    OnOutcome({.Result = PermitOutcome::Kind::Granted});
    return Ticket;
  }
  It->second.Queue.push(
      {.Ticket = Ticket, .GiveUpAt = GiveUpAt, .Hook = std::move(OnOutcome)});
  unsigned Partition = It->second.Partition;
  Waiting[Partition].insert(Name);
  ask(Partition, Now);
  deliver();
  return Ticket;
}

void PermitClient::cancel(std::uint64_t Ticket) {
  std::erase_if(Finished, [Ticket](const auto &Each) {
    return Each.first.Ticket == Ticket;
  });
  for (const std::set<std::string> &Names : Waiting)
    for (const std::string &Name : Names)
      if (Accounts.at(Name).Queue.remove(Ticket))
        return;
}

void PermitClient::ask(unsigned Partition, TimePoint Now) {
  Batches Next;
  std::set<std::string> &Names = Waiting[Partition];
  for (auto It = Names.begin(); It != Names.end();) {
    Account &Each = Accounts.at(*It);
    if (Each.Queue.unasked() > 0)
      place(*It, Each, Next, Now);
    It = Each.Queue.size() == 0 ? Names.erase(It) : std::next(It);
  }
  bool AreSent = true;
  for (auto &[Domain, Items] : Next)
    AreSent &= send(Domain, Partition, std::move(Items), Now);
  // What found no VM to ask goes to the next failure domain.
  if (!AreSent)
    ask(Partition, Now);
}

void PermitClient::place(const std::string &Name, Account &Each, Batches &Out,
                         TimePoint Now) {
  bool IsDenied = false;
  for (const std::string &Domain : Each.Issuers) {
    auto Denied = Each.DeniedUntil.find(Domain);
    if (Denied != Each.DeniedUntil.end() && Now < Denied->second) {
      IsDenied = true;
      continue;
    }
    if (Domain == Opts.FailureDomain && takeLocally(Name, Each, Now))
      return;
    if (Each.DeniedUntil.count(Domain) && Now < Each.DeniedUntil[Domain]) {
      IsDenied = true;
      continue;
    }
    const IssuerChannel &Channel = Channels[{Domain, Each.Partition}];
    if (Channel.isBusy())
      return;
    if (Channel.isPaused(Now))
      continue;
    auto Count = std::min<std::size_t>(Each.Queue.unasked(), MaxPermitsOfItem);
    Out[Domain].push_back(
        {.Account = Name, .Count = static_cast<unsigned>(Count)});
    return;
  }
  // A failure domain that does not reply is not waited for if others deny.
  if (IsDenied)
    refuse(Each, Now);
}

bool PermitClient::takeLocally(const std::string &Name, Account &Each,
                               TimePoint Now) {
  auto Count = std::min<std::size_t>(Each.Queue.unasked(), MaxPermitsOfItem);
  std::optional<PermitReply::Item> Taken = Opts.TakeLocally(
      Each.Partition, {.Account = Name, .Count = static_cast<unsigned>(Count)},
      Now);
  if (!Taken)
    return false;
  finish(Each.Queue.takeOldest(Taken->Granted),
         {.Result = PermitOutcome::Kind::Granted});
  if (Taken->Granted == Count)
    return true;
  recordDenial(Each, Opts.FailureDomain, Taken->RetryAfter, Now);
  return false;
}

void PermitClient::recordDenial(Account &Each, const std::string &Domain,
                                Duration RetryAfter, TimePoint Now) {
  Duration Min = Domain == Opts.FailureDomain ? Opts.Times.MinOwnDenial
                                              : Opts.Times.MinOtherDenial;
  Each.DeniedUntil[Domain] = Now + std::max(Min, RetryAfter);
}

Duration PermitClient::untilRetry(const Account &Each, TimePoint Now) {
  Duration Out = Duration::max();
  for (const auto &[Domain, Until] : Each.DeniedUntil)
    if (Now < Until)
      Out = std::min(Out, Until - Now);
  return Out == Duration::max() ? Duration::zero() : Out;
}

void PermitClient::refuse(Account &Each, TimePoint Now) {
  Duration Wait = untilRetry(Each, Now);
  finish(Each.Queue.takeUnasked(MaxHeld, Now + Wait + HeldRequestTime),
         {.Result = PermitOutcome::Kind::OverLimit, .RetryAfter = Wait});
}

bool PermitClient::send(const std::string &Domain, unsigned Partition,
                        std::vector<PermitRequest::Item> Items, TimePoint Now) {
  IssuerChannel &Channel = Channels[{Domain, Partition}];
  if (Domain == Opts.FailureDomain)
    if (std::string Own = Opts.FindOwnIssuer(Partition, Now);
        !Own.empty() && Own != Opts.OwnVm)
      Directory.recordIssuer(Domain, Partition, Own);
  std::string To = Directory.choose(Domain, Partition, Channel.tried(), Now);
  if (To.empty()) {
    Channel.pause(Opts.Times.DomainPause, Now);
    return false;
  }
  Request Next{.FailureDomain = Domain, .To = To, .SentAt = Now};
  Next.Message.Partition = Partition;
  Next.Message.Number = ++LastNumber;
  std::size_t NameBytes = 0;
  for (PermitRequest::Item &Each : Items) {
    NameBytes += Each.Account.size();
    if (Next.Message.Items.size() == MaxPermitItems ||
        (NameBytes > MaxPermitNameBytes && !Next.Message.Items.empty()))
      break;
    Accounts.at(Each.Account).Queue.recordAsked(Each.Count);
    Next.Message.Items.push_back(std::move(Each));
  }
  Channel.begin();
  Opts.Send(To, Next.Message);
  Requests[LastNumber] = std::move(Next);
  return true;
}

void PermitClient::recordAnswered(const Request &Sent) {
  for (const PermitRequest::Item &Each : Sent.Message.Items)
    if (auto It = Accounts.find(Each.Account); It != Accounts.end())
      It->second.Queue.recordAnswered(Each.Count);
}

void PermitClient::receive(const std::string &From, const PermitReply &Reply,
                           TimePoint Now) {
  auto It = Requests.find(Reply.Number);
  if (It == Requests.end() || It->second.To != From)
    return;
  Request Sent = std::move(It->second);
  Requests.erase(It);
  unsigned Partition = Sent.Message.Partition;
  if (!Sent.IsLost)
    recordAnswered(Sent);
  Directory.recordReply(From);
  if (Reply.IsIssuer)
    applyPermits(Sent, Reply, Now);
  else if (!Sent.IsLost)
    redirect(Sent, Reply.Issuer, Now);
  ask(Partition, Now);
  deliver();
}

void PermitClient::applyPermits(const Request &Sent, const PermitReply &Reply,
                                TimePoint Now) {
  unsigned Partition = Sent.Message.Partition;
  Directory.recordIssuer(Sent.FailureDomain, Partition, Sent.To);
  if (!Sent.IsLost)
    Channels[{Sent.FailureDomain, Partition}].succeed();
  bool IsValid = Now - Sent.SentAt < Opts.Times.PermitLifetime;
  std::size_t Count = std::min(Sent.Message.Items.size(), Reply.Items.size());
  for (std::size_t I = 0; I < Count; ++I) {
    const PermitRequest::Item &Asked = Sent.Message.Items[I];
    auto It = Accounts.find(Asked.Account);
    if (It == Accounts.end())
      continue;
    unsigned Granted = std::min(Asked.Count, Reply.Items[I].Granted);
    if (IsValid)
      finish(It->second.Queue.takeOldest(Granted),
             {.Result = PermitOutcome::Kind::Granted});
    if (Granted < Asked.Count)
      recordDenial(It->second, Sent.FailureDomain, Reply.Items[I].RetryAfter,
                   Now);
  }
}

void PermitClient::redirect(const Request &Sent, const std::string &Issuer,
                            TimePoint Now) {
  unsigned Partition = Sent.Message.Partition;
  const std::string &Domain = Sent.FailureDomain;
  IssuerChannel &Channel = Channels[{Domain, Partition}];
  Channel.fail(Sent.To, Opts.Times.DomainPause, Now);
  Directory.recordIssuer(Domain, Partition, Issuer);
  bool IsSilent = Issuer == Opts.OwnVm || Channel.tried().count(Issuer) > 0 ||
                  Directory.isSuspected(Issuer, Now);
  if (!Issuer.empty() && IsSilent)
    Channel.pause(Opts.Times.DomainPause, Now);
}

void PermitClient::dropLostRequests(TimePoint Now) {
  for (auto It = Requests.begin(); It != Requests.end();) {
    Request &Sent = It->second;
    Duration Age = Now - Sent.SentAt;
    if (!Sent.IsLost && Age >= replyTimeout(Sent.FailureDomain)) {
      Sent.IsLost = true;
      recordAnswered(Sent);
      Directory.recordSilence(Sent.To, Now);
      Channels[{Sent.FailureDomain, Sent.Message.Partition}].fail(
          Sent.To, Opts.Times.DomainPause, Now);
    }
    It = Age >= Opts.Times.PermitLifetime ? Requests.erase(It) : std::next(It);
  }
}

PermitOutcome PermitClient::outcomeOfExpired(const Account &Each,
                                             TimePoint Now) {
  bool IsDenied = std::any_of(
      Each.DeniedUntil.begin(), Each.DeniedUntil.end(),
      [Now](const auto &One) { return Now < One.second + DenialMemory; });
  if (!IsDenied)
    return {.Result = PermitOutcome::Kind::Unavailable};
  return {.Result = PermitOutcome::Kind::OverLimit,
          .RetryAfter = untilRetry(Each, Now)};
}

void PermitClient::sweep(TimePoint Now) {
  dropLostRequests(Now);
  for (unsigned Partition = 0; Partition < QuotaPartitions; ++Partition) {
    for (const std::string &Name : Waiting[Partition]) {
      Account &Each = Accounts.at(Name);
      finish(Each.Queue.takeExpired(Now), outcomeOfExpired(Each, Now));
    }
    ask(Partition, Now);
  }
  deliver();
}

void PermitClient::finish(PermitQueue::Operations Operations,
                          PermitOutcome Outcome) {
  for (PermitQueue::Operation &Each : Operations)
    Finished.emplace_back(std::move(Each), Outcome);
}

void PermitClient::deliver() {
  while (!Finished.empty()) {
    auto [Operation, Outcome] = std::move(Finished.front());
    Finished.pop_front();
    Operation.Hook(Outcome);
  }
}

} // namespace cicadawind
