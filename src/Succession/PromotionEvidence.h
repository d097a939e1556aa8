#ifndef CICADAWIND_SUCCESSION_PROMOTIONEVIDENCE_H
#define CICADAWIND_SUCCESSION_PROMOTIONEVIDENCE_H

#include "Core/LogPosition.h"
#include "Succession/SuccessorCandidate.h"

#include <cstdint>
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
  /// Whether OldPrimary is replaced by a hand-over, and may be used until then.
  bool ReachesOldPrimary = false;
  /// The replicas that replied to the survey.
  std::vector<SuccessorCandidate> Candidates;
  /// All targets that the registry lists, and the revision of this list.
  std::set<std::string> Listed;
  std::uint64_t ListRevision = 0;
};

} // namespace cicadawind

#endif
