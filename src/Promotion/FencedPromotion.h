#ifndef CICADAWIND_PROMOTION_FENCEDPROMOTION_H
#define CICADAWIND_PROMOTION_FENCEDPROMOTION_H

#include "Promotion/PromotionProcedure.h"
#include "Promotion/TargetSurvey.h"
#include "Succession/SuccessionRule.h"

#include <cstdint>
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
    /// Maximum number of orders in one attempt, each with a token of its own.
    unsigned MaxOrders = 6;
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
  /// Returns whether \p OldPrimary is still to be replaced by this VM.
  bool isStillDue(const std::string &Group, const std::string &OldPrimary);
  /// Orders the promotion of \p Instance. An order that was not started or got
  /// no reply is repeated with a new token, up to MaxOrders orders in all; a
  /// refusal ends the attempt. Returns true if an order was accepted, or if the
  /// latest one may still be carried out and no further token could be claimed.
  boost::asio::awaitable<bool> order(std::string Group, std::string Instance,
                                     std::uint64_t FirstToken);

  Options Opts;
  ProxyService &Service;
  PeerExchange &Peers;
  PromotionTokens &Tokens;
  PromotionService &Promotions;
  TargetSurvey Survey;
};

} // namespace cicadawind

#endif
