#ifndef CICADAWIND_ROUTING_READNEED_H
#define CICADAWIND_ROUTING_READNEED_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"

namespace cicadawind {

/// \class ReadNeed
/// \brief What a read demands of the data it sees.
struct ReadNeed {
  /// Oldest acceptable data; zero demands the primary.
  Millis AcceptedAge = Millis::zero();
  /// The session has seen this position.
  LogPosition AtLeast;
  /// The session has a write of unknown outcome: only the primary will do.
  bool Uncertain = false;

  bool needsPrimary() const {
    return Uncertain || AcceptedAge <= Millis::zero();
  }
};

} // namespace cicadawind

#endif
