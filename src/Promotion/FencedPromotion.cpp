// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Promotion/FencedPromotion.h"

#include "Async/AsyncSignal.h"
#include "Exchange/PeerExchange.h"
#include "Observability/Log.h"
#include "Platform/PromotionService.h"
#include "Promotion/PromotionTokens.h"
#include "Promotion/ReservationPlanning.h"
#include "Proxy/ProxyService.h"
#include "Succession/CommitProof.h"

#include <algorithm>

namespace cicadawind {
namespace internal {

static const Log Logger("promotion");

static void logReplies(const std::string &Group,
                       const TargetStatuses &Replies) {
  for (const auto &[Name, Status] : Replies)
    Logger.info("target replied to the survey",
                {{"group", Group},
                 {"target", Name},
                 {"role", Status.IsPrimary ? "primary" : "replica"},
                 {"term", std::to_string(Status.CurrentTerm)},
                 {"received", toString(Status.Received)},
                 {"lag_ms", std::to_string(Status.Lag.count())}});
}

static std::string joined(const std::set<std::string> &Names) {
  std::string Out;
  for (const std::string &Each : Names)
    Out += (Out.empty() ? "" : " ") + Each;
  return Out;
}

} // namespace internal

FencedPromotion::FencedPromotion(Options NewOpts, ProxyService &Service,
                                 PeerExchange &Peers, PromotionTokens &Tokens,
                                 PromotionService &Promotions)
    : Opts(std::move(NewOpts)), Service(Service), Peers(Peers), Tokens(Tokens),
      Promotions(Promotions), Survey(Opts.Survey, Service) {}

bool FencedPromotion::findsPrimary(const std::string &Group,
                                   const TargetStatuses &Replies,
                                   const std::string &OldPrimary) {
  GroupDispatcher *Dispatcher = Service.findGroup(Group);
  for (const auto &[Name, Status] : Replies) {
    if (!Status.IsPrimary || Name == OldPrimary)
      continue;
    internal::Logger.info(
        "promotion stopped; another target reports that it is primary",
        {{"group", Group}, {"target", Name}});
    if (Dispatcher)
      Dispatcher->recordPrimaryClaim(Name);
    return true;
  }
  return false;
}

void FencedPromotion::recordOldPrimary(Attempt &Current) const {
  const GroupDispatcher *Dispatcher = Service.findGroup(Current.Group);
  if (!Dispatcher)
    return;
  PromotionEvidence Evidence = evidenceFrom(*Dispatcher, {}, Current);
  Current.OldPrimaryTerm = Evidence.OldPrimaryTerm;
  Current.ReachesOldPrimary = Evidence.ReachesOldPrimary;
}

PromotionEvidence FencedPromotion::evidenceFrom(const GroupDispatcher &Group,
                                                const TargetStatuses &Replies,
                                                const Attempt &Current) const {
  PromotionEvidence Out;
  Out.OldPrimary = Current.OldPrimary;
  const PrimaryTracker &Tracker = Group.tracker();
  if (Tracker.primary() == Current.OldPrimary && Tracker.isConfirmed()) {
    std::optional<LeadershipProof> Proof = Tracker.newest();
    Out.OldPrimaryTerm = Tracker.term();
    Out.ReachesOldPrimary = Proof && Proof->RequestedAt > Current.BegunAt;
  }
  Out.Candidates = candidatesFrom(Group, Replies, Current.OldPrimary);
  for (const TargetEntry &Entry : Group.entries())
    Out.Listed.insert(Entry.Instance);
  Out.ListRevision = Service.targetsRevision();
  Out.SynchronousReplicas = Service.synchronousReplicas(Current.Group);
  Out.FinalPosition = Current.FinalPosition;
  Out.IsDraft =
      Current.Reason == PromotionReason::Leaving && !Current.FinalPosition;
  if (!Current.FinalPosition)
    return Out;
  Out.OldPrimaryTerm = std::max(Out.OldPrimaryTerm, Current.OldPrimaryTerm);
  Out.ReachesOldPrimary |= Current.ReachesOldPrimary;
  return Out;
}

bool FencedPromotion::needsReservation(const std::string &Group) const {
  const GroupDispatcher *Dispatcher = Service.findGroup(Group);
  if (!Dispatcher)
    return false;
  PromotionEvidence Evidence =
      reservationEvidence(*Dispatcher, Service.targetsRevision());
  if (Evidence.Candidates.empty())
    return false;
  const PromotionTurn *Reserved = Tokens.reserved(Group);
  return !Reserved || isOutdated(*Reserved, *Dispatcher, Evidence);
}

PromotionTokens::ReservationPlan
FencedPromotion::reservationPlan(const std::string &Group) const {
  return
      [this, Group](
          const PromotionTurn &Turn) -> std::optional<SuccessionReservation> {
        const GroupDispatcher *Dispatcher = Service.findGroup(Group);
        if (!Dispatcher)
          return std::nullopt;
        PromotionEvidence Evidence =
            reservationEvidence(*Dispatcher, Service.targetsRevision());
        if (Evidence.Candidates.empty())
          return std::nullopt;
        return planReservation(Evidence, Turn.Latest, Turn.Prepared);
      };
}

void FencedPromotion::recordRefusal(const std::string &Group,
                                    const SuccessionVerdict &Verdict) {
  if (const auto *Presumed = std::get_if<PresumedPrimary>(&Verdict)) {
    internal::Logger.info(
        "promotion stopped; a target that was ordered may be primary",
        {{"group", Group}, {"target", Presumed->Instance}});
    GroupDispatcher *Dispatcher = Service.findGroup(Group);
    if (Dispatcher && Dispatcher->findEntry(Presumed->Instance))
      Dispatcher->recordPrimaryClaim(Presumed->Instance);
  } else if (const auto *Open = std::get_if<UnprovedSuccessor>(&Verdict)) {
    Unproved.insert(Group);
    internal::Logger.warning(
        "no target is proved to have every acknowledged commit; the promotion "
        "waits",
        {{"group", Group},
         {"best", Open->Instance},
         {"may_be_ahead", internal::joined(Open->MayBeAhead)}});
  } else if (const auto *None = std::get_if<NoSuccessor>(&Verdict)) {
    internal::Logger.warning(
        "no target can be promoted",
        {{"group", Group}, {"needed_term", std::to_string(None->Needed)}});
  }
}

void FencedPromotion::logNoToken(const std::string &Group, const Error &E) {
  internal::Logger.info("promotion stopped; no fencing token could be claimed",
                        {{"group", Group}, {"why", E.Message}});
}

std::set<std::string>
FencedPromotion::targetsToAskAgain(const Attempt &Current,
                                   const SuccessionVerdict &Verdict,
                                   const TargetStatuses &Replies) const {
  std::set<std::string> Out;
  const GroupDispatcher *Dispatcher = Service.findGroup(Current.Group);
  bool IsSettled = std::holds_alternative<SuccessionChoice>(Verdict);
  if (!Dispatcher || IsSettled ||
      Service.synchronousReplicas(Current.Group) == 0)
    return Out;
  for (const TargetEntry &Entry : Dispatcher->entries())
    if (Entry.Instance != Current.OldPrimary && !Replies.count(Entry.Instance))
      Out.insert(Entry.Instance);
  return Out;
}

boost::asio::awaitable<SuccessionVerdict>
FencedPromotion::judge(const Attempt &Current, const PromotionTurn &Turn,
                       TargetStatuses &Replies) {
  TimePoint End = Current.BegunAt + Opts.ProofTimeout;
  for (;;) {
    const GroupDispatcher *Dispatcher = Service.findGroup(Current.Group);
    if (!Dispatcher)
      co_return NoSuccessor();
    SuccessionVerdict Verdict =
        decideSuccession(evidenceFrom(*Dispatcher, Replies, Current),
                         Turn.Latest, Turn.Prepared);
    std::set<std::string> Silent = targetsToAskAgain(Current, Verdict, Replies);
    if (Silent.empty() || BootClock::now() >= End)
      co_return Verdict;
    TargetStatuses Late = co_await Survey.askAgain(Current.Group, Silent, End);
    internal::logReplies(Current.Group, Late);
    Replies.merge(Late);
  }
}

boost::asio::awaitable<std::optional<PromotionDecision>>
FencedPromotion::decide(Attempt Current, PromotionTurn Turn,
                        TargetStatuses Replies) {
  SuccessionVerdict Verdict = co_await judge(Current, Turn, Replies);
  // A target that was asked again may have been promoted in the meantime.
  if (findsPrimary(Current.Group, Replies, Current.OldPrimary))
    co_return std::nullopt;
  const auto *Choice = std::get_if<SuccessionChoice>(&Verdict);
  if (!Choice) {
    Doubted.insert(Current.Group);
    recordRefusal(Current.Group, Verdict);
    co_return std::nullopt;
  }
  co_return co_await claim(Current, Turn, Replies, *Choice);
}

boost::asio::awaitable<std::optional<PromotionDecision>>
FencedPromotion::claim(const Attempt &Current, const PromotionTurn &Turn,
                       const TargetStatuses &Replies, SuccessionChoice Choice) {
  GroupDispatcher *Dispatcher = Service.findGroup(Current.Group);
  if (!Dispatcher)
    co_return std::nullopt;
  PromotionEvidence Evidence = evidenceFrom(*Dispatcher, Replies, Current);
  PromotionRecord Record{.Successor = Choice.Successor.Instance,
                         .Received = Choice.Successor.Received,
                         .Opens = Choice.Opens,
                         .ListRevision = Service.targetsRevision()};
  bool MayUseNamed =
      Turn.Reserved &&
      mayOrderNamed(Evidence, Turn.Latest, Turn.Named, Choice.Successor);
  Result<PromotionClaim> Claimed =
      co_await Tokens.claim(Current.Group, Turn, Record, MayUseNamed);
  if (const Error *E = errorOf(Claimed)) {
    logNoToken(Current.Group, *E);
    co_return std::nullopt;
  }
  Doubted.erase(Current.Group);
  const PromotionRecord &Decided = valueOf(Claimed).Decision;
  co_return PromotionDecision{
      .Group = Current.Group,
      .OldPrimary = Current.OldPrimary,
      .IsPlanned = Current.Reason != PromotionReason::Lost,
      .Successor = Decided.Successor,
      .Received = Decided.Received,
      .Opens = Decided.Opens,
      .Token = valueOf(Claimed).Token,
      .ValidUntil = Current.BegunAt + Opts.MaxDecisionAge};
}

boost::asio::awaitable<std::optional<PromotionDecision>>
FencedPromotion::handOver(Attempt &Current, PromotionDecision Decision) {
  StepDownReport Report = co_await Survey.stepDown(
      Current.Group, Current.OldPrimary, Decision.Successor, Decision.Opens);
  if (findsPrimary(Current.Group, Report.Replies, Current.OldPrimary))
    co_return std::nullopt;
  if (Report.hasCaughtUp(Decision.Successor))
    co_return Decision;
  bool IsPromised = Service.synchronousReplicas(Current.Group) > 0;
  if (IsPromised ? Report.FinalPosition.has_value() : Report.hasAnyCaughtUp())
    co_return co_await decideAgain(Current, Decision, std::move(Report));
  // The old primary may write on, and replicas may receive that. An order ends
  // it only where no acknowledged commit is promised to be kept.
  if (!IsPromised)
    co_return Decision;
  internal::Logger.warning(
      "promotion stopped; the leaving primary did not "
      "report that it stepped down",
      {{"group", Current.Group}, {"target", Current.OldPrimary}});
  co_return std::nullopt;
}

bool FencedPromotion::isProved(const Attempt &Current,
                               const std::string &Instance,
                               const TargetStatuses &Replies) const {
  const GroupDispatcher *Dispatcher = Service.findGroup(Current.Group);
  if (!Dispatcher)
    return false;
  PromotionEvidence Evidence = evidenceFrom(*Dispatcher, Replies, Current);
  if (Evidence.SynchronousReplicas == 0)
    return true;
  return std::any_of(Evidence.Candidates.begin(), Evidence.Candidates.end(),
                     [&](const SuccessorCandidate &Each) {
                       return Each.Instance == Instance &&
                              mayBeAhead(Evidence, Each).empty();
                     });
}

boost::asio::awaitable<std::optional<PromotionDecision>>
FencedPromotion::decideAgain(Attempt &Current, PromotionDecision Decision,
                             StepDownReport Report) {
  Current.FinalPosition = Report.FinalPosition;
  internal::logReplies(Current.Group, Report.Replies);
  Result<PromotionTurn> Turn =
      co_await Tokens.begin(Current.Group, PromotionTokens::Source::StoreFirst);
  if (const Error *E = errorOf(Turn)) {
    logNoToken(Current.Group, *E);
    // Without the store no other target can be recorded.
    if (isProved(Current, Decision.Successor, Report.Replies))
      co_return Decision;
    co_return std::nullopt;
  }
  SuccessionVerdict Verdict =
      co_await judge(Current, valueOf(Turn), Report.Replies);
  const auto *Choice = std::get_if<SuccessionChoice>(&Verdict);
  if (Choice && Choice->Successor.Instance != Decision.Successor)
    co_return co_await claim(Current, valueOf(Turn), Report.Replies, *Choice);
  if (Choice || isProved(Current, Decision.Successor, Report.Replies))
    co_return Decision;
  recordRefusal(Current.Group, Verdict);
  co_return std::nullopt;
}

bool FencedPromotion::isStillDue(const PromotionDecision &Decision) {
  GroupDispatcher *Dispatcher = Service.findGroup(Decision.Group);
  bool IsDeferred = Opts.IsDeferred && Opts.IsDeferred(Decision.Group);
  if (!Dispatcher || IsDeferred || BootClock::now() > Decision.ValidUntil)
    return false;
  const std::string &Primary = Dispatcher->tracker().primary();
  if (Primary.empty() || Primary == Decision.Successor)
    return true;
  const PrimaryFailureDetector &Detector = Dispatcher->failureDetector();
  bool IsReachedAgain =
      Detector.primary() == Primary && !Detector.failingSince().has_value();
  return Primary == Decision.OldPrimary &&
         (Decision.IsPlanned || !IsReachedAgain);
}

PromotionTokens::Source
FencedPromotion::sourceFor(const std::string &Group,
                           const std::string &OldPrimary) const {
  // A record that came with a reserved token is evidence only for a VM that
  // knows a primary: others may have decided under a lower token since.
  if (OldPrimary.empty())
    return PromotionTokens::Source::StoreOnly;
  return Doubted.count(Group) ? PromotionTokens::Source::StoreFirst
                              : PromotionTokens::Source::ReservedFirst;
}

boost::asio::awaitable<PromotionEnd>
FencedPromotion::run(std::string Group, std::string OldPrimary,
                     PromotionReason Reason) {
  Unproved.erase(Group);
  bool Done = co_await runAttempt(Group, OldPrimary, Reason);
  if (Done)
    co_return PromotionEnd::Done;
  co_return Unproved.count(Group) ? PromotionEnd::Unproved
                                  : PromotionEnd::NotDone;
}

boost::asio::awaitable<bool>
FencedPromotion::runAttempt(std::string Group, std::string OldPrimary,
                            PromotionReason Reason) {
  Attempt Current{.Group = Group, .OldPrimary = OldPrimary, .Reason = Reason};
  Result<PromotionTurn> Turn =
      co_await Tokens.begin(Group, sourceFor(Group, OldPrimary));
  if (const Error *E = errorOf(Turn)) {
    logNoToken(Group, *E);
    co_return false;
  }
  // The replies are newer than the record, and no decision may be recorded
  // until the claim.
  Current.BegunAt = BootClock::now();
  if (GroupDispatcher *Dispatcher = Service.findGroup(Group))
    Dispatcher->probePrimary();
  Peers.broadcastPromotion(Group, 0, Current.BegunAt);
  TargetStatuses Replies = co_await Survey.run(Group, OldPrimary);
  internal::logReplies(Group, Replies);
  if (findsPrimary(Group, Replies, OldPrimary))
    co_return false;
  std::optional<PromotionDecision> Decision =
      co_await decide(Current, valueOf(Turn), Replies);
  if (!Decision)
    co_return false;
  Peers.broadcastPromotion(Group, Decision->Token, BootClock::now());
  // In the meantime a peer may have announced a promotion, or another target
  // may have become primary.
  if (!isStillDue(*Decision))
    co_return false;
  if (Reason == PromotionReason::Leaving) {
    recordOldPrimary(Current);
    Decision = co_await handOver(Current, *Decision);
  }
  if (!Decision)
    co_return false;
  internal::Logger.info("successor chosen",
                        {{"group", Group},
                         {"target", Decision->Successor},
                         {"received", toString(Decision->Received)},
                         {"opens_term", std::to_string(Decision->Opens)},
                         {"token", std::to_string(Decision->Token)},
                         {"answers", std::to_string(Replies.size())}});
  bool Ordered = co_await order(*Decision);
  if (!Ordered)
    co_return false;
  co_return co_await Survey.awaitPrimary(Group, Decision->Successor,
                                         Opts.ConfirmationTimeout);
}

boost::asio::awaitable<PromotionOutcome>
FencedPromotion::orderOnce(const PromotionDecision &Decision) {
  return Promotions.promote(Decision.Group, Decision.Successor, Opts.Vm,
                            Decision.Token, Opts.OrderTimeout);
}

boost::asio::awaitable<bool>
FencedPromotion::order(PromotionDecision Decision) {
  for (unsigned Attempt = 1; Attempt <= Opts.MaxOrders; ++Attempt) {
    if (Attempt > 1)
      co_await sleepFor(Opts.OrderInterval);
    if (!isStillDue(Decision)) {
      internal::Logger.info("promotion stopped; it is not due any more",
                            {{"group", Decision.Group},
                             {"target", Decision.Successor},
                             {"token", std::to_string(Decision.Token)}});
      co_return false;
    }
    Tokens.recordOrdered(Decision.Group);
    // The other VMs wait while the attempt goes on.
    Peers.broadcastPromotion(Decision.Group, Decision.Token, BootClock::now());
    PromotionOutcome Outcome = co_await orderOnce(Decision);
    internal::Logger.info("promotion ordered",
                          {{"group", Decision.Group},
                           {"target", Decision.Successor},
                           {"token", std::to_string(Decision.Token)},
                           {"end", nameOf(Outcome)}});
    if (Outcome == PromotionOutcome::Accepted)
      co_return true;
    if (Outcome == PromotionOutcome::Refused)
      co_return false;
  }
  co_return false;
}

} // namespace cicadawind
