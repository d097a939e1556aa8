#ifndef CICADAWIND_PROXY_DRAINSCHEDULE_H
#define CICADAWIND_PROXY_DRAINSCHEDULE_H

#include "Core/Clock.h"

namespace cicadawind {

/// \class DrainSchedule
/// \brief The phases of a VM's planned stop, from the request to stop until the
/// process ends.
///
/// In the first half of the grace time every request is run. Later, a request
/// is run only if its timeout ends before the drain does, so that no request
/// is at a target when the process ends.
class DrainSchedule {
public:
  /// Begins at \p Start; the platform ends the process \p Grace later.
  DrainSchedule(TimePoint Start, Duration Grace);

  /// Time at which the process stops, whatever its sessions are doing. It is
  /// before the end of the grace time, so that what is open can be closed.
  TimePoint end() const { return End; }
  /// Returns whether less than half of the grace time has passed. Transactions
  /// that are idle later are rolled back.
  bool isFirstHalf(TimePoint Now) const { return Now < HalfTime; }
  /// Returns whether a request that begins at \p Now and ends by \p Deadline
  /// may be run.
  bool mayRun(TimePoint Now, TimePoint Deadline) const {
    return isFirstHalf(Now) || Deadline <= End;
  }
  /// Returns whether the process may stop at \p Now: the drain has ended, or no
  /// session is left and the load balancer has had time to notice that this VM
  /// leaves, since it sends callers here until then.
  bool isOver(TimePoint Now, bool HasSessions) const;

private:
  TimePoint Start;
  TimePoint HalfTime;
  TimePoint End;
};

} // namespace cicadawind

#endif
