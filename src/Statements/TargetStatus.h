#ifndef CICADAWIND_STATEMENTS_TARGETSTATUS_H
#define CICADAWIND_STATEMENTS_TARGETSTATUS_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"

namespace cicadawind {

/// \class TargetStatus
/// \brief Status that a target returns for a status request.
struct TargetStatus {
  bool IsPrimary = false;
  /// Term in which the target serves.
  Term CurrentTerm = 0;
  /// End of the log that the target has received.
  LogPosition Received;
  /// Term up to which the target was told to stop receiving the log; 0 if it
  /// receives the log.
  Term ReceivePausedUpToTerm = 0;
  /// Time by which the target's reads lag behind the log that it has received,
  /// as the target reports it.
  Millis Lag = Millis::zero();
  unsigned BusySlots = 0;
  unsigned Connections = 0;
};

} // namespace cicadawind

#endif
