// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Promotion/LeaseExchange.h"

#include "Exchange/PeerExchange.h"
#include "Leases/PrimaryLease.h"
#include "Leases/PromotionPromise.h"
#include "Observability/Log.h"
#include "Proxy/ProxyService.h"

namespace cicadawind {
namespace internal {

static const Log Logger("lease");

} // namespace internal

LeaseExchange::LeaseExchange(Options NewOpts, PeerExchange &Peers,
                             ProxyService &Service)
    : Opts(std::move(NewOpts)), Peers(Peers), Service(Service) {
  Peers.onLeaseMessage(
      [this](const PeerMessage &Message,
             const std::function<void(const PeerMessage &)> &Reply) {
        handle(Message, Reply);
      });
}

void LeaseExchange::handle(
    const PeerMessage &Message,
    const std::function<void(const PeerMessage &)> &Reply) {
  TimePoint Now = BootClock::now();
  if (const auto *Query = std::get_if<LeaseQuery>(&Message)) {
    Reply(answerTo(*Query, Now));
  } else if (const auto *Answer = std::get_if<LeaseAnswer>(&Message)) {
    handleLeaseAnswer(*Answer);
  } else if (const auto *Request = std::get_if<ProposalRequest>(&Message)) {
    Reply(
        ProposalAnswer{.From = Opts.Vm,
                       .Number = Request->Number,
                       .Vote = voteOn(Request->Group, Request->Proposal, Now)});
  } else if (const auto *Vote = std::get_if<ProposalAnswer>(&Message)) {
    auto It = Proposals.find(Vote->Number);
    if (It != Proposals.end())
      It->second.Hook(Vote->From, Vote->Vote, It->second.RequestedAt);
  } else if (const auto *End = std::get_if<ProposalEnd>(&Message)) {
    applyEnd(*End, Now);
  }
}

PrimaryLease *LeaseExchange::leaseOf(const std::string &Group) {
  GroupDispatcher *Found = Service.findGroup(Group);
  return Found ? Found->guard().lease() : nullptr;
}

LeaseAnswer LeaseExchange::answerTo(const LeaseQuery &Query, TimePoint Now) {
  LeaseAnswer Out;
  Out.From = Opts.Vm;
  Out.Number = Query.Number;
  for (const LeaseQuery::Item &Each : Query.Items)
    Out.Items.push_back(answerTo(Each, Now));
  return Out;
}

LeaseAnswer::Item LeaseExchange::answerTo(const LeaseQuery::Item &Asked,
                                          TimePoint Now) {
  LeaseAnswer::Item Out;
  GroupDispatcher *Found = Service.findGroup(Asked.Group);
  const PrimaryLease *Lease = Found ? Found->guard().lease() : nullptr;
  if (!Lease)
    return Out;
  Out.Vote = Found->guard().promise()->leaseVote(Asked.Leading, Now);
  if (Lease->term() != Asked.Leading)
    return Out;
  // Rounded up: with an understated age, the peer might keep its lease for too
  // long.
  if (std::optional<TimePoint> At = Lease->shareableEvidenceAt(Now))
    Out.EvidenceAge = toMillis(Now - *At) + Millis(1);
  Out.IsOfAllReplicas = Lease->needsAllReplicas();
  return Out;
}

void LeaseExchange::requestVotes(const std::string &Group, Term Leading) {
  VoteRequests.push_back({.Group = Group, .Leading = Leading});
}

void LeaseExchange::requestEvidence(const std::string &Vm,
                                    const std::string &Group, Term Leading) {
  EvidenceRequests[Vm].push_back({.Group = Group, .Leading = Leading});
}

std::uint64_t LeaseExchange::sendQuery(std::vector<LeaseQuery::Item> Items,
                                       const std::set<std::string> &To,
                                       std::size_t Voters, TimePoint Now) {
  std::uint64_t Number = ++LastNumber;
  Peers.send(To, LeaseQuery{.From = Opts.Vm, .Number = Number, .Items = Items});
  PendingQuery &Query = Queries[Number];
  Query.Tallies.resize(Items.size());
  Query.Items = std::move(Items);
  Query.RequestedAt = Now;
  Query.Voters = Voters;
  return Number;
}

void LeaseExchange::handleLeaseAnswer(const LeaseAnswer &Answer) {
  auto It = Queries.find(Answer.Number);
  if (It == Queries.end() || Answer.Items.size() != It->second.Items.size())
    return;
  PendingQuery &Query = It->second;
  if (!Query.Answered.insert(Answer.From).second)
    return;
  if (Query.Voters > 0)
    recordVotes(Query, Answer);
  else
    recordEvidence(Query, Answer);
}

void LeaseExchange::recordVotes(PendingQuery &Query,
                                const LeaseAnswer &Answer) {
  for (std::size_t I = 0; I < Query.Items.size(); ++I) {
    LeaseVote Vote = Answer.Items[I].Vote;
    Query.Tallies[I].Supports += Vote == LeaseVote::Supports ? 1 : 0;
    Query.Tallies[I].Objected |= Vote == LeaseVote::Objects;
    recordVote(Query, I);
  }
}

void LeaseExchange::recordVote(const PendingQuery &Query, std::size_t Index) {
  PrimaryLease *Lease = leaseOf(Query.Items[Index].Group);
  const PendingQuery::Tally &Votes = Query.Tallies[Index];
  bool IsSupported = 2 * Votes.Supports > Query.Voters;
  bool IsUnopposed =
      2 * Query.Answered.size() > Query.Voters && !Votes.Objected;
  if (!Lease || (!IsSupported && !IsUnopposed))
    return;
  using Outcome = PrimaryLease::VoteOutcome;
  Lease->recordVotes(Query.Items[Index].Leading,
                     IsSupported ? Outcome::Supported : Outcome::NoObjection,
                     Query.RequestedAt);
}

void LeaseExchange::recordEvidence(const PendingQuery &Query,
                                   const LeaseAnswer &Answer) {
  for (std::size_t I = 0; I < Query.Items.size(); ++I) {
    const LeaseAnswer::Item &Item = Answer.Items[I];
    PrimaryLease *Lease = leaseOf(Query.Items[I].Group);
    // The age is counted back from the query, which is earlier than the answer.
    if (Lease && Item.EvidenceAge)
      Lease->recordPeerEvidence(Query.Items[I].Leading,
                                Query.RequestedAt - *Item.EvidenceAge,
                                Item.IsOfAllReplicas);
  }
}

bool LeaseExchange::reachesPrimary(GroupDispatcher &Group,
                                   TimePoint Now) const {
  const std::string &Primary = Group.tracker().primary();
  if (!Group.guard().mayUse(Primary, Now))
    return false;
  std::optional<Duration> Age =
      Group.failureDetector().lastContactAge(Primary, Now);
  return Age && *Age < Opts.VetoWindow;
}

PromotionVote LeaseExchange::voteOn(const std::string &Group,
                                    const PromotionProposal &Proposal,
                                    TimePoint Now) {
  GroupDispatcher *Found = Service.findGroup(Group);
  PromotionPromise *Promise = Found ? Found->guard().promise() : nullptr;
  if (!Promise)
    return PromotionVote();
  if (Proposal.Kind == ProposalKind::Lost && reachesPrimary(*Found, Now)) {
    internal::Logger.info("proposal refused, as the primary is reached",
                          {{"group", Group},
                           {"target", Found->tracker().primary()},
                           {"holder", Proposal.Holder},
                           {"token", std::to_string(Proposal.Token)}});
    return PromotionVote{.ReachesPrimary = true};
  }
  std::uint64_t TokenBefore = Promise->highestToken();
  PromotionVote Vote = Promise->vote(Proposal, Now);
  if (Vote.GaveUp)
    Found->guard().lease()->giveUp(Proposal.NewTerm, Now);
  bool IsNew = Proposal.Token != TokenBefore || !Vote.Granted;
  if (IsNew)
    internal::Logger.info(!Vote.Granted ? "proposal refused"
                          : Vote.GaveUp ? "lease given up for a promotion"
                                        : "planned promotion promised",
                          {{"group", Group},
                           {"holder", Proposal.Holder},
                           {"token", std::to_string(Proposal.Token)},
                           {"term", std::to_string(Proposal.NewTerm)},
                           {"highest_token", std::to_string(Vote.HighestToken)},
                           {"known_term", std::to_string(Vote.KnownTerm)}});
  if (Vote.Granted && GrantedHook && Proposal.Holder != Opts.Vm)
    GrantedHook(Group, Proposal);
  return Vote;
}

void LeaseExchange::propose(const std::string &Group,
                            const PromotionProposal &Proposal,
                            const std::set<std::string> &To, VoteHook Hook,
                            TimePoint Now) {
  std::uint64_t Number = ++LastNumber;
  Proposals[Number] = {.Hook = Hook, .RequestedAt = Now};
  ProposalRequest Request{
      .Number = Number, .Group = Group, .Proposal = Proposal};
  Peers.send(To, Request);
  if (To.count(Opts.Vm))
    Hook(Opts.Vm, voteOn(Group, Proposal, Now), Now);
}

void LeaseExchange::end(ProposalEnd Message, TimePoint Now) {
  Message.From = Opts.Vm;
  Peers.send(Peers.voters(Now), Message);
  applyEnd(Message, Now);
}

void LeaseExchange::applyEnd(const ProposalEnd &Message, TimePoint Now) {
  GroupDispatcher *Found = Service.findGroup(Message.Group);
  PromotionPromise *Promise = Found ? Found->guard().promise() : nullptr;
  if (!Promise)
    return;
  using Outcome = ProposalEnd::Outcome;
  bool Renews = false;
  if (Message.End == Outcome::Settled || Message.IsSettled)
    Promise->settle(Message.From, Message.Token);
  if (Message.End == Outcome::Completed)
    Renews = Promise->complete(Message.From, Message.Token, Message.Leading);
  else if (Message.End != Outcome::Settled)
    Renews = Promise->cancel(Message.From, Message.Token,
                             Message.End == Outcome::CancelledAll);
  if (!Renews)
    return;
  Found->guard().lease()->allowRenewal(Now, Message.Leading);
  internal::Logger.info("lease may be renewed",
                        {{"group", Message.Group},
                         {"holder", Message.From},
                         {"token", std::to_string(Message.Token)}});
}

void LeaseExchange::sweep(TimePoint Now) {
  for (auto &[Vm, Items] : std::exchange(EvidenceRequests, {}))
    sendQuery(Items, {Vm}, 0, Now);
  if (!VoteRequests.empty()) {
    std::set<std::string> Voters = Peers.voters(Now);
    LeaseQuery Own{.Items = std::exchange(VoteRequests, {})};
    Own.Number = sendQuery(Own.Items, Voters, Voters.size(), Now);
    handleLeaseAnswer(answerTo(Own, Now));
  }
  auto IsOver = [&](const auto &Each) {
    return Now - Each.second.RequestedAt > Opts.AnswerTimeout;
  };
  std::erase_if(Queries, IsOver);
  std::erase_if(Proposals, IsOver);
}

} // namespace cicadawind
