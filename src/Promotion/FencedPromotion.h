#ifndef CICADAWIND_PROMOTION_FENCEDPROMOTION_H
#define CICADAWIND_PROMOTION_FENCEDPROMOTION_H

#include "Platform/PromotionService.h"
#include "Promotion/PromotionProcedure.h"
#include "Promotion/PromotionTurn.h"
#include "Promotion/TargetSurvey.h"
#include "Succession/PromotionDecision.h"
#include "Succession/SuccessionRule.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace cicadawind {

class GroupDispatcher;
class PeerExchange;
class PromotionTokens;

/// \class FencedPromotion
/// \brief Replaces a primary on a platform that fences promotions by token.
///
/// An attempt surveys the targets, decides on a successor by
/// decideSuccession(), and claims a token that records the decision. In a
/// planned switchover the leaving primary is then demoted to a replica, so that
/// the successor can receive the primary's whole log before it is promoted. An
/// order without a reply is repeated as it was, under the same token; see
/// PromotionDecision. Runs on the loop's thread.
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
  /// Records a target among \p Replies that reports to be primary, other than
  /// \p OldPrimary. Returns whether there is one.
  bool findsPrimary(const std::string &Group, const TargetStatuses &Replies,
                    const std::string &OldPrimary);
  PromotionEvidence evidenceFrom(const GroupDispatcher &Group,
                                 const TargetStatuses &Replies,
                                 const std::string &OldPrimary,
                                 PromotionReason Reason) const;
  /// Decides on a successor and claims a token for it; empty if the attempt
  /// must end. Decides again with the store's record if that has changed since
  /// a token was reserved.
  boost::asio::awaitable<std::optional<PromotionDecision>>
  decide(std::string Group, std::string OldPrimary, PromotionReason Reason,
         TargetStatuses Replies);
  /// Returns the record that \p Turn builds on, without a decision of this VM
  /// that was never carried out.
  PromotionRecord latestOf(const std::string &Group,
                           const PromotionTurn &Turn) const;
  /// Logs why \p Verdict allows no promotion, and lets the group use a presumed
  /// primary.
  void recordRefusal(const std::string &Group,
                     const SuccessionVerdict &Verdict);
  /// Returns whether the reason for \p Decision still holds: no other target
  /// has become primary, no peer has announced a promotion, and a lost primary
  /// is not reached again.
  bool isStillDue(const PromotionDecision &Decision);
  /// Orders \p Decision until the platform accepts or refuses it, at most
  /// MaxOrders times and only while it is due.
  boost::asio::awaitable<bool> order(PromotionDecision Decision);
  boost::asio::awaitable<PromotionOutcome>
  orderOnce(const PromotionDecision &Decision);

  Options Opts;
  ProxyService &Service;
  PeerExchange &Peers;
  PromotionTokens &Tokens;
  PromotionService &Promotions;
  TargetSurvey Survey;
  /// The latest decision of this VM for each group none of whose orders can be
  /// carried out any more.
  std::map<std::string, PromotionRecord> VoidDecisions;
};

} // namespace cicadawind

#endif
