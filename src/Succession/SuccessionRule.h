#ifndef CICADAWIND_SUCCESSION_SUCCESSIONRULE_H
#define CICADAWIND_SUCCESSION_SUCCESSIONRULE_H

#include "Succession/SuccessorCandidate.h"

#include <optional>
#include <string>
#include <vector>

namespace cicadawind {

/// Returns the best of \p Candidates that follow a term of at least \p AtLeast:
/// one that follows the newest term, of these one that does not leave, of these
/// the one with the longest log, of these \p Preferred. Empty if there is none.
std::optional<SuccessorCandidate>
chooseSuccessor(const std::vector<SuccessorCandidate> &Candidates, Term AtLeast,
                const std::string &Preferred = {});

} // namespace cicadawind

#endif
