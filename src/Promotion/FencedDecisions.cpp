// The part of FencedPromotion that decides what is ordered.
// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Promotion/FencedPromotion.h"

#include "Observability/Log.h"
#include "Proxy/ProxyService.h"
#include "Succession/CommitProof.h"

#include <algorithm>

namespace cicadawind {
namespace internal {

static const Log Logger("promotion");

static std::string joined(const std::set<std::string> &Names) {
  std::string Out;
  for (const std::string &Each : Names)
    Out += (Out.empty() ? "" : " ") + Each;
  return Out;
}

} // namespace internal

void FencedPromotion::logReplies(const std::string &Group,
                                 const TargetStatuses &Replies) {
  for (const auto &[Name, Status] : Replies)
    internal::Logger.info("target replied to the survey",
                          {{"group", Group},
                           {"target", Name},
                           {"role", Status.IsPrimary ? "primary" : "replica"},
                           {"term", std::to_string(Status.CurrentTerm)},
                           {"received", toString(Status.Received)},
                           {"lag_ms", std::to_string(Status.Lag.count())}});
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
    logReplies(Current.Group, Late);
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
  logReplies(Current.Group, Report.Replies);
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

} // namespace cicadawind
