#ifndef CICADAWIND_SUCCESSION_PROMOTIONEVIDENCE_H
#define CICADAWIND_SUCCESSION_PROMOTIONEVIDENCE_H

#include "Core/LogPosition.h"
#include "Succession/SuccessorCandidate.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadawind {

/// \class PromotionEvidence
/// \brief What a VM knows of a group when it decides on a promotion.
struct PromotionEvidence {
  /// The primary to replace; empty if none is known.
  std::string OldPrimary;
  /// Newest term in which OldPrimary was proved to write; 0 if unknown.
  Term OldPrimaryTerm = 0;
  /// Whether OldPrimary proved that it is the primary after the record of the
  /// latest decision had been read.
  bool ReachesOldPrimary = false;
  /// The replicas that replied to the survey.
  std::vector<SuccessorCandidate> Candidates;
  /// All targets that the registry lists, and the revision of this list.
  std::set<std::string> Listed;
  std::uint64_t ListRevision = 0;
  /// Number of replicas that have received a commit before it is acknowledged.
  unsigned SynchronousReplicas = 0;
  /// End of the whole log of OldPrimary, which has stepped down; empty if it
  /// has not, or if its reply is missing. The candidates replied after it.
  std::optional<LogPosition> FinalPosition;
  /// Whether OldPrimary goes on writing until it is made to step down. What is
  /// chosen before that is chosen again afterwards.
  bool IsDraft = false;
};

} // namespace cicadawind

#endif
