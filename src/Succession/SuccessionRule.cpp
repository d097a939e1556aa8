#include "Succession/SuccessionRule.h"

#include <tuple>

namespace cicadawind {
namespace internal {

static bool isBetter(const SuccessorCandidate &A, const SuccessorCandidate &B,
                     const std::string &Preferred) {
  auto Rank = [&](const SuccessorCandidate &Each) {
    return std::tuple(Each.Follows, !Each.IsLeaving, Each.Received,
                      Each.Instance == Preferred);
  };
  return Rank(A) > Rank(B);
}

} // namespace internal

std::optional<SuccessorCandidate>
chooseSuccessor(const std::vector<SuccessorCandidate> &Candidates, Term AtLeast,
                const std::string &Preferred) {
  std::optional<SuccessorCandidate> Best;
  for (const SuccessorCandidate &Each : Candidates)
    if (Each.Follows >= AtLeast &&
        (!Best || internal::isBetter(Each, *Best, Preferred)))
      Best = Each;
  return Best;
}

} // namespace cicadawind
