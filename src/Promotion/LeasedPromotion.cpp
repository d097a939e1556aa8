// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Promotion/LeasedPromotion.h"

#include "Async/AsyncSignal.h"
#include "Exchange/PeerExchange.h"
#include "Leases/PrimaryLease.h"
#include "Observability/Log.h"
#include "Platform/PromotionService.h"
#include "Promotion/LeaseExchange.h"
#include "Promotion/PromotionTokens.h"
#include "Proxy/ProxyService.h"
#include "Succession/SuccessionRule.h"

#include <algorithm>

namespace cicadawind {
namespace internal {

static const Log Logger("promotion");
/// Interval at which an attempt is advanced.
constexpr Duration AdvanceInterval = std::chrono::milliseconds(10);

static ProposalKind kindOf(PromotionReason Reason) {
  switch (Reason) {
  case PromotionReason::Lost:
    return ProposalKind::Lost;
  case PromotionReason::Leaving:
    return ProposalKind::Planned;
  case PromotionReason::Blocked:
    return ProposalKind::Blocked;
  }
  return ProposalKind::Lost;
}

} // namespace internal

struct LeasedPromotion::Attempt {
  explicit Attempt(PromotionBallot::Options Opts) : Ballot(std::move(Opts)) {}

  std::string Group;
  std::string OldPrimary;
  PromotionReason Reason = PromotionReason::Lost;
  PromotionBallot Ballot;
  TimePoint Since;
  TimePoint NextProposal;
  TimePoint NextQuestions;
  /// When the targets were first asked; empty before a majority was reached.
  std::optional<TimePoint> AskedAt;
  TargetStatuses Statuses;
  /// End of the log of the old primary after it was demoted.
  std::optional<LogPosition> FinalPosition;
  std::optional<TimePoint> DemotedAt;
  bool Ordered = false;
  /// Whether an order was not answered, so that it may be carried out later.
  bool HasUnanswered = false;
  bool IsPrimaryFine = false;
};

LeasedPromotion::LeasedPromotion(Options NewOpts, ProxyService &Service,
                                 PeerExchange &Peers, LeaseExchange &Leases,
                                 PromotionTokens &Tokens,
                                 PromotionService &Promotions)
    : Opts(std::move(NewOpts)), Service(Service), Peers(Peers), Leases(Leases),
      Tokens(Tokens), Promotions(Promotions) {}

bool LeasedPromotion::needsReservation(const std::string &Group) const {
  return !Tokens.reserved(Group);
}

Term LeasedPromotion::nextTerm(const std::string &Group) const {
  Term Highest = 0;
  auto It = HighestTerms.find(Group);
  if (It != HighestTerms.end())
    Highest = It->second;
  GroupDispatcher *Dispatcher = Service.findGroup(Group);
  PrimaryLease *Lease = Dispatcher ? Dispatcher->guard().lease() : nullptr;
  if (Lease)
    Highest = std::max(Highest, Lease->highestTerm());
  return Highest + 1;
}

boost::asio::awaitable<PromotionEnd>
LeasedPromotion::run(std::string Group, std::string OldPrimary,
                     PromotionReason Reason) {
  Result<std::uint64_t> Claimed = co_await Tokens.take(Group);
  GroupDispatcher *Dispatcher = Service.findGroup(Group);
  if (const Error *E = errorOf(Claimed)) {
    internal::Logger.info(
        "promotion stopped; no fencing token could be claimed",
        {{"group", Group}, {"why", E->Message}});
    co_return PromotionEnd::NotDone;
  }
  if (!Dispatcher)
    co_return PromotionEnd::NotDone;
  TimePoint Now = BootClock::now();
  PromotionBallot::Options BallotOpts = Opts.Ballot;
  BallotOpts.Proposal.Holder = Opts.Vm;
  BallotOpts.Proposal.Token = valueOf(Claimed);
  BallotOpts.Proposal.NewTerm = nextTerm(Group);
  BallotOpts.Proposal.Kind = internal::kindOf(Reason);
  BallotOpts.Vms = Peers.voters(Now);
  BallotOpts.OldPrimary = OldPrimary;
  for (const TargetEntry &Entry : Dispatcher->entries())
    BallotOpts.Instances.insert(Entry.Instance);
  auto Current = std::make_shared<Attempt>(std::move(BallotOpts));
  Current->Group = Group;
  Current->OldPrimary = OldPrimary;
  Current->Reason = Reason;
  Current->Since = Now;
  bool Done = co_await runAttempt(Current);
  Term &Highest = HighestTerms[Group];
  Highest = std::max(Highest, Current->Ballot.highestTerm());
  Tokens.dropBelow(Group, Current->Ballot.highestToken());
  if (!Done && !Current->Ordered)
    cancel(*Current);
  co_return Done ? PromotionEnd::Done : PromotionEnd::NotDone;
}

boost::asio::awaitable<bool>
LeasedPromotion::runAttempt(std::shared_ptr<Attempt> Current) {
  for (;;) {
    Step Next = advance(Current, BootClock::now());
    if (Next == Step::Stop)
      co_return false;
    if (Next == Step::Order)
      co_return co_await order(Current);
    co_await sleepFor(internal::AdvanceInterval);
  }
}

LeasedPromotion::Step
LeasedPromotion::advance(const std::shared_ptr<Attempt> &Current,
                         TimePoint Now) {
  PromotionBallot &Ballot = Current->Ballot;
  bool IsNeedless = Current->IsPrimaryFine && Ballot.pendingSuccessor().empty();
  bool Stops = Ballot.isOutdated() || Ballot.isVetoed() || IsNeedless ||
               Now - Current->Since > Opts.AttemptTimeout ||
               !Service.findGroup(Current->Group);
  if (Stops) {
    internal::Logger.info(
        "promotion stopped",
        {{"group", Current->Group},
         {"why", Ballot.isOutdated() ? "a newer proposal or term is known"
                 : IsNeedless || Ballot.isVetoed()
                     ? "the primary is reached"
                     : "no majority or no target in time"},
         {"token", std::to_string(Ballot.proposal().Token)},
         {"term", std::to_string(Ballot.proposal().NewTerm)},
         {"missing_votes", std::to_string(Ballot.missingVotes().size())},
         {"unpaused", std::to_string(Ballot.unpaused().size())}});
    return Step::Stop;
  }
  if (Now >= Current->NextProposal)
    propose(Current, Now);
  if (!Ballot.hasMajority(Now))
    return Step::Wait;
  if (Now >= Current->NextQuestions)
    askTargets(Current, Now);
  chooseSuccessorIfDue(*Current, Now);
  bool IsReady = Ballot.mayOrder(Now) && hasCaughtUp(*Current, Now);
  return IsReady ? Step::Order : Step::Wait;
}

void LeasedPromotion::propose(const std::shared_ptr<Attempt> &Current,
                              TimePoint Now) {
  Current->NextProposal = Now + Opts.RepeatInterval;
  std::set<std::string> To = Current->Ballot.missingVotes();
  // The votes of a majority must stay recent until the order is sent.
  if (!Current->Ballot.hasMajority(Now + 2 * Opts.RepeatInterval))
    To = Peers.voters(Now);
  if (To.empty())
    return;
  Leases.propose(
      Current->Group, Current->Ballot.proposal(), To,
      [Weak = std::weak_ptr<Attempt>(Current)](const std::string &Vm,
                                               const PromotionVote &Vote,
                                               TimePoint RequestedAt) {
        if (std::shared_ptr<Attempt> Self = Weak.lock())
          Self->Ballot.recordVote(Vm, Vote, RequestedAt);
      },
      Now);
}

void LeasedPromotion::recordStatus(Attempt &Current,
                                   const std::string &Instance,
                                   const TargetStatus &Status) {
  TimePoint Now = BootClock::now();
  Current.Ballot.recordStatus(Instance, Status, Now);
  if (Instance != Current.OldPrimary) {
    Current.Statuses[Instance] = Status;
    // The primary was not known and has been found.
    bool LeadsNewest =
        Status.CurrentTerm + 1 >= Current.Ballot.proposal().NewTerm;
    Current.IsPrimaryFine |= Status.IsPrimary && LeadsNewest;
    return;
  }
  if (Status.IsPrimary) {
    Current.IsPrimaryFine = Current.Reason != PromotionReason::Leaving;
    return;
  }
  Current.FinalPosition = Status.Received;
  if (!Current.DemotedAt)
    Current.DemotedAt = Now;
}

void LeasedPromotion::askTargets(const std::shared_ptr<Attempt> &Current,
                                 TimePoint Now) {
  Current->NextQuestions = Now + Opts.RepeatInterval / 2;
  if (!Current->AskedAt)
    Current->AskedAt = Now;
  GroupDispatcher *Dispatcher = Service.findGroup(Current->Group);
  Term NewTerm = Current->Ballot.proposal().NewTerm;
  auto Hook = [this, Weak = std::weak_ptr<Attempt>(Current)](
                  const std::string &Instance, const TargetStatus *Status) {
    std::shared_ptr<Attempt> Self = Weak.lock();
    if (Self && Status)
      recordStatus(*Self, Instance, *Status);
  };
  // A primary that answers is not lost. It is demoted if it is leaving, or if
  // another target may still be promoted by an earlier order.
  bool Demotes =
      Current->Reason == PromotionReason::Leaving ||
      (Current->IsPrimaryFine && !Current->Ballot.pendingSuccessor().empty());
  // Replicas of a demoted primary still receive the rest of its log.
  bool Pauses = !Demotes && !Current->DemotedAt &&
                Now - *Current->AskedAt >= Opts.ReplyGrace;
  for (const TargetEntry &Entry : Dispatcher->entries()) {
    bool IsOld = Entry.Instance == Current->OldPrimary;
    if (IsOld && !Current->DemotedAt && Demotes)
      Dispatcher->demote(Entry.Instance, NewTerm, Hook);
    else if (!IsOld && Pauses)
      Dispatcher->pause(Entry.Instance, NewTerm, Hook);
    else
      Dispatcher->askStatus(Entry.Instance, Hook);
  }
}

std::optional<SuccessorCandidate>
LeasedPromotion::bestCandidate(const Attempt &Current,
                               const GroupDispatcher &Group) {
  const PrimaryLease *Lease = Group.guard().lease();
  Term Served = Lease ? Lease->highestTerm() : 0;
  std::vector<SuccessorCandidate> Candidates =
      candidatesFrom(Group, Current.Statuses, Current.OldPrimary);
  std::optional<SuccessorCandidate> Best = chooseSuccessor(Candidates, Served);
  // The targets that followed the newest term are gone, and the term with them.
  bool HaveAllReplied = Current.Statuses.size() >= Group.entries().size();
  if (!Best && HaveAllReplied)
    Best = chooseSuccessor(Candidates, 0);
  return Best;
}

void LeasedPromotion::chooseSuccessorIfDue(Attempt &Current, TimePoint Now) {
  if (!Current.Ballot.proposal().Successor.empty() || !Current.AskedAt)
    return;
  GroupDispatcher *Dispatcher = Service.findGroup(Current.Group);
  std::size_t Others = 0;
  for (const TargetEntry &Entry : Dispatcher->entries())
    Others += Entry.Instance != Current.OldPrimary ? 1 : 0;
  bool AllAnswered = Current.Statuses.size() >= Others;
  bool IsDue = AllAnswered || Now - *Current.AskedAt >= Opts.Survey.Timeout;
  if (!IsDue)
    return;
  std::string Chosen = Current.Ballot.pendingSuccessor();
  if (Chosen.empty()) {
    std::optional<SuccessorCandidate> Best =
        bestCandidate(Current, *Dispatcher);
    if (!Best)
      return;
    Chosen = Best->Instance;
  }
  auto Status = Current.Statuses.find(Chosen);
  internal::Logger.info(
      "successor chosen",
      {{"group", Current.Group},
       {"target", Chosen},
       {"pending", Current.Ballot.pendingSuccessor().empty() ? "no" : "yes"},
       {"received", Status == Current.Statuses.end()
                        ? std::string()
                        : toString(Status->second.Received)},
       {"answers", std::to_string(Current.Statuses.size())}});
  Current.Ballot.setSuccessor(Chosen, Now);
  Current.NextProposal = Now;
}

bool LeasedPromotion::hasCaughtUp(const Attempt &Current, TimePoint Now) const {
  if (!Current.DemotedAt ||
      Now - *Current.DemotedAt >= Opts.Survey.CatchUpTimeout)
    return true;
  auto Status = Current.Statuses.find(Current.Ballot.proposal().Successor);
  return Status != Current.Statuses.end() &&
         Status->second.Received >= *Current.FinalPosition;
}

boost::asio::awaitable<bool>
LeasedPromotion::order(std::shared_ptr<Attempt> Current) {
  PromotionBallot &Ballot = Current->Ballot;
  const std::string Successor = Ballot.proposal().Successor;
  for (unsigned Number = 1; Number <= Opts.MaxOrders; ++Number) {
    std::uint64_t Token = Ballot.proposal().Token;
    Current->Ordered = true;
    PromotionOutcome Outcome = co_await Promotions.promote(
        Current->Group, Successor, Opts.Vm, Token, Opts.OrderTimeout);
    internal::Logger.info(
        "promotion ordered",
        {{"group", Current->Group},
         {"target", Successor},
         {"token", std::to_string(Token)},
         {"term", std::to_string(Ballot.proposal().NewTerm)},
         {"all_gave_up", Ballot.allGaveUp() ? "yes" : "no"},
         {"demoted", Ballot.isDemoted() ? "yes" : "no"},
         {"unpaused", std::to_string(Ballot.unpaused().size())},
         {"took_ms",
          std::to_string(toMillis(BootClock::now() - Current->Since).count())},
         {"end", nameOf(Outcome)}});
    Current->HasUnanswered |= Outcome == PromotionOutcome::Unknown;
    bool IsAnswered = Outcome == PromotionOutcome::Accepted ||
                      Outcome == PromotionOutcome::Refused;
    if (IsAnswered && !Current->HasUnanswered)
      Leases.end({.Group = Current->Group,
                  .Token = Token,
                  .End = ProposalEnd::Outcome::Settled},
                 BootClock::now());
    if (Outcome == PromotionOutcome::Accepted)
      co_return co_await awaitPrimary(Current);
    if (Outcome == PromotionOutcome::Refused)
      co_return false;
    // The platform may still carry out an order that got no reply, so it is
    // repeated for the same target only. Each order has a token of its own.
    Result<std::uint64_t> Next = co_await Tokens.take(Current->Group);
    if (errorOf(Next))
      co_return co_await awaitPrimary(Current);
    Ballot.setToken(valueOf(Next), BootClock::now());
    Current->NextProposal = TimePoint();
    while (!Ballot.mayOrder(BootClock::now())) {
      Step Decision = advance(Current, BootClock::now());
      if (Decision == Step::Stop)
        co_return false;
      co_await sleepFor(internal::AdvanceInterval);
    }
  }
  co_return false;
}

boost::asio::awaitable<bool>
LeasedPromotion::awaitPrimary(std::shared_ptr<Attempt> Current) {
  const std::string Successor = Current->Ballot.proposal().Successor;
  TimePoint End = BootClock::now() + Opts.ConfirmationTimeout;
  TimePoint NextProposal = BootClock::now() + 3 * Opts.RepeatInterval;
  while (BootClock::now() < End) {
    TimePoint Now = BootClock::now();
    GroupDispatcher *Dispatcher = Service.findGroup(Current->Group);
    PrimaryLease *Lease = Dispatcher ? Dispatcher->guard().lease() : nullptr;
    if (!Lease)
      co_return false;
    bool Leads = Lease->primary() == Successor && Lease->term() &&
                 *Lease->term() >= Current->Ballot.proposal().NewTerm;
    if (Leads) {
      Leases.end({.Group = Current->Group,
                  .Token = Current->Ballot.proposal().Token,
                  .End = ProposalEnd::Outcome::Completed,
                  .Leading = *Lease->term(),
                  .IsSettled = !Current->HasUnanswered},
                 Now);
      co_return true;
    }
    // Renews the promises, so that no other VM starts a promotion meanwhile.
    if (Now >= NextProposal) {
      NextProposal = Now + 3 * Opts.RepeatInterval;
      Leases.propose(
          Current->Group, Current->Ballot.proposal(), Peers.voters(Now),
          [](const std::string &, const PromotionVote &, TimePoint) {}, Now);
    }
    Dispatcher->askStatus(Successor,
                          [](const std::string &, const TargetStatus *) {});
    co_await sleepFor(2 * internal::AdvanceInterval);
  }
  internal::Logger.warning(
      "promoted target was not confirmed as primary; retrying after a "
      "backoff",
      {{"group", Current->Group}, {"target", Successor}});
  co_return false;
}

void LeasedPromotion::cancel(Attempt &Current) {
  TimePoint Now = BootClock::now();
  bool EndsEarlier = Current.Ballot.hasMajority(Now) &&
                     Current.Ballot.pendingSuccessor().empty() &&
                     !Current.Ballot.isOutdated() && !Current.DemotedAt;
  Leases.end({.Group = Current.Group,
              .Token = Current.Ballot.proposal().Token,
              .End = EndsEarlier ? ProposalEnd::Outcome::CancelledAll
                                 : ProposalEnd::Outcome::Cancelled},
             Now);
  GroupDispatcher *Dispatcher = Service.findGroup(Current.Group);
  if (!EndsEarlier || !Dispatcher)
    return;
  for (const auto &[Instance, Status] : Current.Statuses)
    if (Status.ReceivePausedUpToTerm > 0)
      Dispatcher->resume(Instance,
                         [](const std::string &, const TargetStatus *) {});
}

} // namespace cicadawind
