#ifndef CICADAWIND_PROMOTION_LEASEDPROMOTION_H
#define CICADAWIND_PROMOTION_LEASEDPROMOTION_H

#include "Leases/PromotionBallot.h"
#include "Promotion/PromotionProcedure.h"
#include "Promotion/TargetSurvey.h"
#include "Succession/SuccessorCandidate.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cicadawind {

class GroupDispatcher;
class LeaseExchange;
class PeerExchange;
class PromotionService;
class PromotionTokens;

/// \class LeasedPromotion
/// \brief Replaces a primary on a platform that does not fence promotions.
///
/// A majority of the VMs must hold the proposal, and no VM may still use the
/// old primary when the order is sent; PromotionBallot decides that. A primary
/// that leaves is demoted, and the successor then receives the rest of its log.
/// If a primary that counted as lost answers, or a VM reaches it, the attempt
/// ends. Otherwise the replicas are paused, so that they support no lease. An
/// order without an answer may be carried out later, so it is repeated for the
/// same successor only. An attempt that ends without an order resumes the
/// replicas and lets the VMs renew their leases. Runs on the loop's thread.
class LeasedPromotion : public PromotionProcedure {
public:
  struct Options {
    std::string Vm;
    TargetSurvey::Options Survey;
    PromotionBallot::Options Ballot;
    /// Time after which an attempt without an order ends.
    Duration AttemptTimeout = std::chrono::milliseconds(4000);
    /// Interval at which VMs and targets that have not answered are asked
    /// again.
    Duration RepeatInterval = std::chrono::milliseconds(100);
    /// Time that the old primary has to answer before the replicas are paused.
    Duration ReplyGrace = std::chrono::milliseconds(60);
    /// Timeout of one order to the platform.
    Duration OrderTimeout = std::chrono::milliseconds(400);
    /// Maximum number of orders in one attempt, each with a token of its own.
    unsigned MaxOrders = 6;
    /// Time that a promoted target has to become the confirmed primary.
    Duration ConfirmationTimeout = std::chrono::milliseconds(3000);
  };

  LeasedPromotion(Options Opts, ProxyService &Service, PeerExchange &Peers,
                  LeaseExchange &Leases, PromotionTokens &Tokens,
                  PromotionService &Promotions);

  boost::asio::awaitable<PromotionEnd> run(std::string Group,
                                           std::string OldPrimary,
                                           PromotionReason Reason) override;
  bool needsReservation(const std::string &Group) const override;
  /// Returns an empty plan, since these tokens are used with a decision of a
  /// majority of the VMs.
  PromotionTokens::ReservationPlan
  reservationPlan(const std::string &) const override {
    return nullptr;
  }

private:
  struct Attempt;
  enum class Step { Wait, Order, Stop };

  /// Runs the attempt until an order was answered or it must stop. Returns
  /// whether the successor became primary.
  boost::asio::awaitable<bool> runAttempt(std::shared_ptr<Attempt> Current);
  /// Asks VMs and targets as far as that is due, and decides what comes next.
  Step advance(const std::shared_ptr<Attempt> &Current, TimePoint Now);
  void propose(const std::shared_ptr<Attempt> &Current, TimePoint Now);
  /// Asks all targets for their statuses, demotes a primary that leaves, and
  /// pauses the others if the primary does not answer.
  void askTargets(const std::shared_ptr<Attempt> &Current, TimePoint Now);
  void recordStatus(Attempt &Current, const std::string &Instance,
                    const TargetStatus &Status);
  /// Returns the best candidate that follows the newest term which any target
  /// has reported to this VM: others may hold entries that it discarded. Empty
  /// if none does, unless every listed target has replied.
  static std::optional<SuccessorCandidate>
  bestCandidate(const Attempt &Current, const GroupDispatcher &Group);
  /// Names the successor once enough targets have answered.
  void chooseSuccessorIfDue(Attempt &Current, TimePoint Now);
  /// Returns whether the successor has received what the demoted primary wrote,
  /// or has had enough time for that.
  bool hasCaughtUp(const Attempt &Current, TimePoint Now) const;
  /// Sends orders for the successor until one is answered. Returns the last
  /// outcome.
  boost::asio::awaitable<bool> order(std::shared_ptr<Attempt> Current);
  boost::asio::awaitable<bool> awaitPrimary(std::shared_ptr<Attempt> Current);
  /// Ends an attempt in which no order was sent.
  void cancel(Attempt &Current);
  /// Term that the next proposal for \p Group opens.
  Term nextTerm(const std::string &Group) const;

  Options Opts;
  ProxyService &Service;
  PeerExchange &Peers;
  LeaseExchange &Leases;
  PromotionTokens &Tokens;
  PromotionService &Promotions;
  /// Highest term of each group that an attempt learned of.
  std::map<std::string, Term> HighestTerms;
};

} // namespace cicadawind

#endif
