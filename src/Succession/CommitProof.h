#ifndef CICADAWIND_SUCCESSION_COMMITPROOF_H
#define CICADAWIND_SUCCESSION_COMMITPROOF_H

#include "Succession/PromotionEvidence.h"
#include "Succession/SuccessorCandidate.h"

#include <set>
#include <string>

namespace cicadawind {

/// Returns the listed targets that may hold an acknowledged commit which
/// \p Successor, one of the candidates of \p Evidence, lacks: those that have
/// not replied, and those whose log is longer. Empty if \p Successor is proved
/// to have every acknowledged commit, or if the group acknowledges commits that
/// no replica has received.
///
/// Invariant: an acknowledged commit is in more than SynchronousReplicas logs.
/// So one that \p Successor lacks is in the logs of that many other targets,
/// and the whole log of the primary that wrote it has it. Costs O(targets x
/// log(targets)).
std::set<std::string> mayBeAhead(const PromotionEvidence &Evidence,
                                 const SuccessorCandidate &Successor);

} // namespace cicadawind

#endif
