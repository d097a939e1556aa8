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

namespace cicadawind {
namespace internal {

static const Log Logger("promotion");

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
  logReplies(Group, Replies);
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
