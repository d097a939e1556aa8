// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Promotion/FencedPromotion.h"

#include "Async/AsyncSignal.h"
#include "Exchange/PeerExchange.h"
#include "Observability/Log.h"
#include "Platform/PromotionService.h"
#include "Promotion/PromotionTokens.h"
#include "Proxy/ProxyService.h"

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

} // namespace internal

FencedPromotion::FencedPromotion(Options NewOpts, ProxyService &Service,
                                 PeerExchange &Peers, PromotionTokens &Tokens,
                                 PromotionService &Promotions)
    : Opts(std::move(NewOpts)), Service(Service), Peers(Peers), Tokens(Tokens),
      Promotions(Promotions), Survey(Opts.Survey, Service) {}

std::optional<SuccessorCandidate>
FencedPromotion::chooseFrom(const std::string &Group,
                            const TargetStatuses &Replies,
                            const std::string &OldPrimary) {
  GroupDispatcher *Dispatcher = Service.findGroup(Group);
  if (!Dispatcher)
    return std::nullopt;
  for (const auto &[Name, Status] : Replies)
    if (Status.IsPrimary && Name != OldPrimary) {
      internal::Logger.info(
          "promotion stopped; another target reports that it is primary",
          {{"group", Group}, {"target", Name}});
      Dispatcher->recordPrimaryClaim(Name);
      return std::nullopt;
    }
  std::optional<SuccessorCandidate> Chosen =
      chooseSuccessor(candidatesFrom(*Dispatcher, Replies, OldPrimary), 0);
  if (!Chosen)
    internal::Logger.warning(
        "no target can be promoted",
        {{"group", Group}, {"answers", std::to_string(Replies.size())}});
  return Chosen;
}

bool FencedPromotion::isStillDue(const PromotionDecision &Decision) {
  GroupDispatcher *Dispatcher = Service.findGroup(Decision.Group);
  if (!Dispatcher || (Opts.IsDeferred && Opts.IsDeferred(Decision.Group)))
    return false;
  const std::string &Primary = Dispatcher->tracker().primary();
  return Primary.empty() || Primary == Decision.OldPrimary ||
         Primary == Decision.Successor;
}

boost::asio::awaitable<bool> FencedPromotion::run(std::string Group,
                                                  std::string OldPrimary,
                                                  PromotionReason Reason) {
  Peers.broadcastPromotion(Group, 0, BootClock::now());
  TargetStatuses Replies = co_await Survey.run(Group, OldPrimary);
  internal::logReplies(Group, Replies);
  std::optional<SuccessorCandidate> Chosen =
      chooseFrom(Group, Replies, OldPrimary);
  if (!Chosen)
    co_return false;
  Result<std::uint64_t> Claimed = co_await Tokens.take(Group, Chosen->Instance);
  if (const Error *E = errorOf(Claimed)) {
    internal::Logger.info(
        "promotion stopped; no fencing token could be claimed",
        {{"group", Group}, {"why", E->Message}});
    co_return false;
  }
  Peers.broadcastPromotion(Group, valueOf(Claimed), BootClock::now());
  PromotionDecision Decision{.Group = Group,
                             .OldPrimary = OldPrimary,
                             .Successor = Chosen->Instance,
                             .Received = Chosen->Received,
                             .Opens = Chosen->Follows + 1,
                             .Token = valueOf(Claimed)};
  // In the meantime a peer may have announced a promotion, or another target
  // may have become primary.
  if (!isStillDue(Decision))
    co_return false;
  if (Reason == PromotionReason::Leaving)
    co_await Survey.stepDown(Group, OldPrimary, Decision.Successor,
                             Decision.Opens);
  internal::Logger.info("successor chosen",
                        {{"group", Group},
                         {"target", Chosen->Instance},
                         {"received", toString(Chosen->Received)},
                         {"answers", std::to_string(Replies.size())}});
  bool Ordered = co_await order(Decision);
  if (!Ordered)
    co_return false;
  co_return co_await Survey.awaitPrimary(Group, Chosen->Instance,
                                         Opts.ConfirmationTimeout);
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
    PromotionOutcome Outcome =
        co_await Promotions.promote(Decision.Group, Decision.Successor, Opts.Vm,
                                    Decision.Token, Opts.OrderTimeout);
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
