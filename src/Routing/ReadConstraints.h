#ifndef CICADAWIND_ROUTING_READCONSTRAINTS_H
#define CICADAWIND_ROUTING_READCONSTRAINTS_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"

namespace cicadawind {

/// \class ReadConstraints
/// \brief Requirements of a read on the data that it sees.
struct ReadConstraints {
  /// Age of the oldest data that the read accepts. Zero requires the primary.
  Millis AcceptedAge = Millis::zero();
  /// Position that the data must include, because the session has seen it.
  LogPosition MinPosition;
  /// Whether a write of the session has an unknown outcome. The read then
  /// requires the primary.
  bool OutcomeUnknown = false;

  bool needsPrimary() const {
    return OutcomeUnknown || AcceptedAge <= Millis::zero();
  }
};

} // namespace cicadawind

#endif
