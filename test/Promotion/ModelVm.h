#ifndef CICADAWIND_TEST_PROMOTION_MODELVM_H
#define CICADAWIND_TEST_PROMOTION_MODELVM_H

#include "Promotion/PromotionTurn.h"
#include "Succession/PromotionDecision.h"
#include "Succession/PromotionRecord.h"
#include "Succession/SuccessorCandidate.h"

#include <optional>
#include <string>
#include <vector>

namespace cicadawind::test {

/// \class ModelRecords
/// \brief What the store says of the group; see PromotionTurn.
struct ModelRecords {
  PromotionRecord Latest;
  PromotionRecord Prepared;

  bool operator==(const ModelRecords &) const = default;
};

/// \class ModelSurvey
/// \brief What the targets replied to a survey of a VM, and why it was made.
struct ModelSurvey {
  std::string OldPrimary;
  bool IsHandOver = false;
  /// Whether OldPrimary proved that it leads after Turn was read.
  bool IsOldProved = false;
  std::vector<SuccessorCandidate> Candidates;
  /// End of the log of OldPrimary, which has stepped down before.
  std::optional<LogPosition> FinalPosition;
  /// What was read before the survey, if anything was.
  std::optional<PromotionTurn> Turn;
};

/// \class ModelVm
/// \brief What one VM of a PromotionModel knows and has decided.
struct ModelVm {
  /// The primary that it knows; empty if none.
  std::string Primary;
  /// Term in which Primary proved that it leads; 0 without a proof.
  Term ConfirmedTerm = 0;
  std::optional<PromotionTurn> Reserved;
  /// Its latest claim none of whose orders can be carried out.
  std::optional<ModelRecords> Void;
  /// The records that Void replaced.
  ModelRecords BeforeVoid;
  std::optional<ModelSurvey> Survey;
  std::optional<PromotionDecision> Decision;
  bool IsHandOver = false;
  /// Number of orders of Decision, and what the first one carried.
  unsigned Orders = 0;
  std::string FirstTarget;
  std::uint64_t FirstToken = 0;
};

} // namespace cicadawind::test

#endif
