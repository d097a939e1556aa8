#ifndef CICADAWIND_PROMOTION_FENCEDPROMOTION_H
#define CICADAWIND_PROMOTION_FENCEDPROMOTION_H

#include "Core/Error.h"
#include "Platform/PromotionService.h"
#include "Promotion/PromotionProcedure.h"
#include "Promotion/PromotionTokens.h"
#include "Promotion/PromotionTurn.h"
#include "Promotion/TargetSurvey.h"
#include "Succession/PromotionDecision.h"
#include "Succession/SuccessionRule.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cicadawind {

class GroupDispatcher;
class PeerExchange;

/// \class FencedPromotion
/// \brief Replaces a primary on a platform that fences promotions by token.
///
/// An attempt surveys the targets, decides on a successor by
/// decideSuccession(), and claims a token that records the decision. Where
/// commits are acknowledged once replicas have received them, a target that has
/// not replied is asked again until the choice is proved. In a planned
/// switchover the leaving primary is then demoted to a replica, so that the
/// successor can receive the primary's whole log before it is promoted; if it
/// does not, the decision is made again, by the position that the old primary's
/// log ends at. An order without a reply is repeated as it was, under the same
/// token; see PromotionDecision. Runs on the loop's thread.
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
    /// Time for which a decision is ordered, from the beginning of its survey.
    /// It is outdated then, for instance if the VM was suspended meanwhile.
    Duration MaxDecisionAge = std::chrono::milliseconds(4000);
    /// Time that targets without which no choice is proved have to reply, from
    /// the beginning of the survey. Then another VM may try, which may reach
    /// them.
    Duration ProofTimeout = std::chrono::milliseconds(1200);
    /// Returns whether a peer has announced a promotion of the group, so that
    /// this VM must not order one now.
    std::function<bool(const std::string &Group)> IsDeferred;
  };

  FencedPromotion(Options Opts, ProxyService &Service, PeerExchange &Peers,
                  PromotionTokens &Tokens, PromotionService &Promotions);

  boost::asio::awaitable<PromotionEnd> run(std::string Group,
                                           std::string OldPrimary,
                                           PromotionReason Reason) override;
  bool needsReservation(const std::string &Group) const override;
  PromotionTokens::ReservationPlan
  reservationPlan(const std::string &Group) const override;

private:
  /// One run().
  struct Attempt {
    std::string Group;
    std::string OldPrimary;
    PromotionReason Reason = PromotionReason::Lost;
    /// When the record of the latest decision had been read.
    TimePoint BegunAt;
    /// What was proved of OldPrimary before it stepped down.
    Term OldPrimaryTerm = 0;
    bool ReachesOldPrimary = false;
    /// End of the log of OldPrimary, once that has stepped down.
    std::optional<LogPosition> FinalPosition;
  };
  /// Runs one attempt. Returns whether the successor became primary.
  boost::asio::awaitable<bool>
  runAttempt(std::string Group, std::string OldPrimary, PromotionReason Reason);
  /// Records a target among \p Replies that reports to be primary, other than
  /// \p OldPrimary. Returns whether there is one.
  bool findsPrimary(const std::string &Group, const TargetStatuses &Replies,
                    const std::string &OldPrimary);
  /// Keeps in \p Current what is proved of the old primary, before it is made
  /// to step down.
  void recordOldPrimary(Attempt &Current) const;
  PromotionEvidence evidenceFrom(const GroupDispatcher &Group,
                                 const TargetStatuses &Replies,
                                 const Attempt &Current) const;
  /// Returns the verdict on \p Replies. Targets without a reply are asked again
  /// as long as that may change it, and \p Replies gets what they say.
  boost::asio::awaitable<SuccessionVerdict> judge(const Attempt &Current,
                                                  const PromotionTurn &Turn,
                                                  TargetStatuses &Replies);
  /// Returns the targets to ask again, because \p Verdict may change with their
  /// replies.
  std::set<std::string> targetsToAskAgain(const Attempt &Current,
                                          const SuccessionVerdict &Verdict,
                                          const TargetStatuses &Replies) const;
  /// Decides on a successor and claims a token for it; empty if the attempt
  /// must end.
  boost::asio::awaitable<std::optional<PromotionDecision>>
  decide(Attempt Current, PromotionTurn Turn, TargetStatuses Replies);
  /// Claims a token for \p Choice; empty if there is none.
  boost::asio::awaitable<std::optional<PromotionDecision>>
  claim(const Attempt &Current, const PromotionTurn &Turn,
        const TargetStatuses &Replies, SuccessionChoice Choice);
  /// Makes the leaving primary of \p Current step down, and returns the
  /// decision to order: \p Decision, or another one if its successor has not
  /// received the whole log and another target has received more. Empty if no
  /// target is proved to have every acknowledged commit.
  boost::asio::awaitable<std::optional<PromotionDecision>>
  handOver(Attempt &Current, PromotionDecision Decision);
  /// Returns whether \p Replies prove that \p Instance has every acknowledged
  /// commit, as far as that is promised.
  bool isProved(const Attempt &Current, const std::string &Instance,
                const TargetStatuses &Replies) const;
  /// Decides again after \p Report, for handOver().
  boost::asio::awaitable<std::optional<PromotionDecision>>
  decideAgain(Attempt &Current, PromotionDecision Decision,
              StepDownReport Report);
  /// Returns which record an attempt to replace \p OldPrimary builds on.
  PromotionTokens::Source sourceFor(const std::string &Group,
                                    const std::string &OldPrimary) const;
  static void logReplies(const std::string &Group,
                         const TargetStatuses &Replies);
  static void logNoToken(const std::string &Group, const Error &E);
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
  /// Groups whose latest record allowed no promotion; it may be outdated.
  std::set<std::string> Doubted;
  /// Groups whose latest attempt ended as PromotionEnd::Unproved.
  std::set<std::string> Unproved;
};

} // namespace cicadawind

#endif
