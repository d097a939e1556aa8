#ifndef CICADAWIND_PROMOTION_FENCEDPROMOTION_H
#define CICADAWIND_PROMOTION_FENCEDPROMOTION_H

#include "Promotion/PromotionProcedure.h"
#include "Promotion/TargetSurvey.h"
#include "Succession/PromotionDecision.h"
#include "Succession/SuccessionRule.h"

#include <functional>
#include <string>

namespace cicadawind {

class PeerExchange;
class PromotionService;
class PromotionTokens;

/// \class FencedPromotion
/// \brief Replaces a primary on a platform that fences promotions by token.
///
/// The successor is chosen among the targets that reply to a survey; see
/// chooseSuccessor(). In a planned switchover the leaving primary is first
/// demoted to a replica, so that the successor can receive the primary's whole
/// log before it is promoted. Runs on the loop's thread.
class FencedPromotion : public PromotionProcedure {
public:
  struct Options {
    std::string Vm;
    TargetSurvey::Options Survey;
    /// Timeout of one order to the platform.
    Duration OrderTimeout = std::chrono::milliseconds(400);
    /// Maximum number of orders in one attempt.
    unsigned MaxOrders = 6;
    /// Time between an order without a reply and the next.
    Duration OrderInterval = std::chrono::milliseconds(20);
    /// Time that a promoted target has to become the confirmed primary; the
    /// attempt has failed if it does not.
    Duration ConfirmationTimeout = std::chrono::milliseconds(900);
    /// Returns whether a peer has announced a promotion of the group, so that
    /// this VM must not order one now.
    std::function<bool(const std::string &Group)> IsDeferred;
  };

  FencedPromotion(Options Opts, ProxyService &Service, PeerExchange &Peers,
                  PromotionTokens &Tokens, PromotionService &Promotions);

  boost::asio::awaitable<bool> run(std::string Group, std::string OldPrimary,
                                   PromotionReason Reason) override;

private:
  /// Returns the target to promote; empty if the attempt must end.
  std::optional<SuccessorCandidate> chooseFrom(const std::string &Group,
                                               const TargetStatuses &Replies,
                                               const std::string &OldPrimary);
  /// Returns whether the reason for \p Decision still holds: no other target
  /// has become primary, and no peer has announced a promotion.
  bool isStillDue(const PromotionDecision &Decision);
  /// Orders \p Decision until the platform accepts or refuses it, at most
  /// MaxOrders times and only while it is due.
  boost::asio::awaitable<bool> order(PromotionDecision Decision);

  Options Opts;
  ProxyService &Service;
  PeerExchange &Peers;
  PromotionTokens &Tokens;
  PromotionService &Promotions;
  TargetSurvey Survey;
};

} // namespace cicadawind

#endif
