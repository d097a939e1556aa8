#ifndef CICADAWIND_TEST_PROMOTION_PROMOTIONMODEL_H
#define CICADAWIND_TEST_PROMOTION_PROMOTIONMODEL_H

#include "Promotion/ModelPlatform.h"
#include "Promotion/ModelVm.h"
#include "Promotion/PromotionEvent.h"
#include "Succession/Succession.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadawind::test {

enum class PromotionFlaw {
  None,
  /// The successor is the one with the longest log, whatever term it follows.
  LongestLogWins,
  /// A repeat of an order claims a new token.
  RepeatClaimsToken,
  /// A VM that knows no primary ignores the record.
  UnknownPrimaryIgnoresRecord,
  /// A reserved token comes without the record, and its decision is not
  /// recorded.
  ReservationWithoutRecord,
  /// A reserved token may be used without the store for any target.
  ReservationNamesNobody,
  /// The logs prove nothing, although entries are acknowledged once a replica
  /// has them.
  RecordsBeatLogs,
  /// A hand-over is ordered as it was decided before the step-down.
  HandOverIgnoresFinalPosition,
};

/// \class PromotionModel
/// \brief Three VMs that replace the primary of one group of three targets on a
/// platform that fences promotions, as a sequence of events without time.
///
/// decideSuccession() is the real one. The claims, the reservations and the
/// orders are modelled as PromotionTokens and FencedPromotion do them, without
/// what only time enforces: ranks, backoffs and the deferral to a peer. A VM's
/// calls to the platform and the store cross every cut.
class PromotionModel {
public:
  static constexpr unsigned VmCount = 3;

  struct Options {
    PromotionFlaw Flaw = PromotionFlaw::None;
    /// Whether other events may come between a survey and its decision.
    bool SplitsAttempts = true;
    bool ChecksTokens = true;
    /// Whether the store may be away.
    bool LosesStore = true;
    /// Whether a VM that takes its latest decision for void goes back to the
    /// record that this decision superseded, instead of to none.
    bool KeepsSuperseded = true;
    /// Whether a VM reads the record before its survey, instead of after it.
    bool ReadsRecordFirst = true;
    /// Whether an entry is acknowledged once a replica has it, so that the
    /// target that is decided on must have all that are acknowledged then.
    bool IsSynchronous = false;
    unsigned MaxCuts = 2;
    unsigned MaxInFlight = 3;
    unsigned MaxOrders = 3;
  };

  /// In the first state "a" leads, every VM knows it, and every target has one
  /// entry.
  explicit PromotionModel(Options Opts);

  bool isEnabled(const PromotionEvent &Event) const;
  /// Runs \p Event, which must be enabled.
  void apply(const PromotionEvent &Event);
  /// Returns which invariant does not hold; empty if all do.
  std::string violation() const;
  /// Returns whether some VM knows a primary that leads, once every fault has
  /// ended but that \p Down, if it is a target, does not run, and the orders in
  /// flight were carried out or, without \p CarriesOut, dropped.
  bool recovers(bool CarriesOut, unsigned Down = PromotionEvent::None) const;
  /// Returns a text that two states have in common if they differ at most in
  /// the names of the VMs.
  std::string key() const;

  static std::string targetName(unsigned Id);
  static unsigned targetId(const std::string &Name);

private:
  struct Order {
    unsigned Target = 0;
    std::uint64_t Token = 0;
  };

  /// Returns whether the nodes \p A and \p B are on one side of every cut.
  bool reaches(unsigned A, unsigned B) const;
  bool vmReaches(unsigned Vm, unsigned Target) const;
  bool vmReachesVm(unsigned A, unsigned B) const;
  bool isTargetEventEnabled(const PromotionEvent &Event) const;
  bool isVmEventEnabled(const PromotionEvent &Event) const;
  bool mayCut(const PromotionEvent &Event) const;
  bool mayCommit() const;
  bool mayCopy(unsigned Target) const;
  bool mayNotice(unsigned Vm) const;
  bool mayAttempt(unsigned Vm) const;
  bool mayStepDown(unsigned Vm) const;
  bool isLost(unsigned Vm) const;
  bool isLeaving(unsigned Vm) const;
  bool isStillDue(const ModelVm &Vm) const;

  void applyToTarget(const PromotionEvent &Event);
  void applyToVm(const PromotionEvent &Event);
  void cut(const PromotionEvent &Event);
  void notice(unsigned Vm);
  void survey(unsigned Vm);
  void decide(unsigned Vm, bool IsAnswered);
  /// One decision of decide(); returns whether it must be made again with the
  /// store's record.
  bool decideOnce(ModelVm &Vm, const ModelSurvey &Survey, bool IsAnswered);
  std::optional<PromotionTurn> beginTurn(ModelVm &Vm) const;
  /// Returns the turn of the store as \p Vm takes it: without its own claim if
  /// that was never ordered.
  PromotionTurn readTurn(const ModelVm &Vm) const;
  PromotionEvidence evidenceFrom(const ModelVm &Vm,
                                 const ModelSurvey &Survey) const;
  ModelRecords recordsFor(const ModelVm &Vm, const PromotionTurn &Turn) const;
  /// Returns the claim of \p Record after \p Turn; empty if another VM came
  /// first or the store is away.
  std::optional<PromotionClaim> claim(ModelVm &Vm, const PromotionTurn &Turn,
                                      PromotionRecord Record,
                                      bool MayOrderNamed);
  std::optional<PromotionClaim> claimReserved(ModelVm &Vm,
                                              const PromotionTurn &Turn,
                                              PromotionRecord Record,
                                              bool MayOrderNamed);
  /// Stores \p Records under \p Claims, and lets \p Vm remember that it has
  /// not ordered them.
  void store(ModelVm &Vm, const ModelRecords &Records,
             const ModelRecords &Before, std::uint64_t Claims);
  void adopt(ModelVm &Vm, const ModelSurvey &Survey,
             const PromotionClaim &Claimed);
  /// Names a successor for the primary that \p Vm has proved, and reserves a
  /// token for it.
  void reserve(unsigned Vm);
  bool mayReserve(unsigned Vm) const;
  PromotionEvidence reservationEvidence(unsigned Vm) const;
  /// Decides on a hand-over again by the log that the old primary, which has
  /// stepped down, ends with. Returns whether Vm's decision may be ordered.
  bool settleHandOver(unsigned Vm);
  /// Records a violation if the decision of \p Vm is for a target that lacks an
  /// acknowledged entry.
  void checkLog(const ModelVm &Vm);
  void order(unsigned Vm, PromotionEventKind Kind);
  void checkOrder(ModelVm &Vm);
  void carryOut(std::size_t Index);
  void endFaults(bool CarriesOut, unsigned Down);
  /// Lets every VM notice, and one replace the primary if there is none.
  void recoverOnce();
  bool isPrimaryKnown() const;

  Options Opts;
  ModelPlatform Platform;
  std::array<ModelVm, VmCount> Vms;
  /// For each cut the nodes of its smaller side, one bit each: targets, then
  /// VMs.
  std::vector<unsigned> Cuts;
  std::vector<Order> InFlight;
  /// The object of the group in the store.
  PromotionTurn Stored;
  bool StoreIsAway = false;
  /// For each token the target for which it was used, a space without one. Not
  /// part of key(), since every token is claimed once.
  std::string TokenTargets;
  std::string TokenViolation;
  std::string LogViolation;
};

} // namespace cicadawind::test

#endif
