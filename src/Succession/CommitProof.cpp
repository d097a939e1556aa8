#include "Succession/CommitProof.h"

namespace cicadawind {

std::set<std::string> mayBeAhead(const PromotionEvidence &Evidence,
                                 const SuccessorCandidate &Successor) {
  bool HasWholeLog =
      Evidence.FinalPosition && Successor.Received >= *Evidence.FinalPosition;
  if (Evidence.SynchronousReplicas == 0 || HasWholeLog)
    return {};
  std::set<std::string> Out = Evidence.Listed;
  Out.erase(Successor.Instance);
  for (const SuccessorCandidate &Each : Evidence.Candidates)
    // A target that follows an older term may have what the newer one kept.
    if (Each.Received <= Successor.Received)
      Out.erase(Each.Instance);
  if (Out.size() <= Evidence.SynchronousReplicas)
    return {};
  return Out;
}

} // namespace cicadawind
