#ifndef CICADAWIND_SUCCESSION_SUCCESSORCANDIDATE_H
#define CICADAWIND_SUCCESSION_SUCCESSORCANDIDATE_H

#include "Core/LogPosition.h"

#include <string>

namespace cicadawind {

/// \class SuccessorCandidate
/// \brief A target that reported during a survey that it is a replica.
struct SuccessorCandidate {
  std::string Instance;
  /// Term whose primary the target follows. A target that follows an older term
  /// than another one may hold entries that the newer term discarded.
  Term Follows = 0;
  /// End of the log that the target has received.
  LogPosition Received;
  bool IsLeaving = false;
  /// Whether the target may serve long enough to be replaced again before it
  /// takes no new request any more. Always true of one that does not leave.
  bool MayLead = true;
};

} // namespace cicadawind

#endif
