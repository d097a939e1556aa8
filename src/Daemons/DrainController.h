#ifndef CICADAWIND_DAEMONS_DRAINCONTROLLER_H
#define CICADAWIND_DAEMONS_DRAINCONTROLLER_H

#include "Core/Clock.h"
#include "StateCharts/StateMachine.h"
#include "Timers/TimerService.h"

#include <functional>
#include <memory>

namespace cicadawind {

/// \class DrainController
/// \brief Performs a daemon's planned stop, following the chart "drain".
///
/// Announces that the VM is leaving, continues to serve while peers and the
/// load balancer learn of it, then accepts no new work, and stops when nothing
/// is in flight. If something is in flight at the limit, it calls OnLimit once
/// and continues to wait; requests in flight are never interrupted.
class DrainController {
public:
  struct Options {
    std::shared_ptr<const StateChart> Chart;
    /// Time for which the daemon continues to serve after the announcement, so
    /// that peers and the load balancer can react to it.
    Duration AnnouncementTime = std::chrono::seconds(2);
    /// Interval at which the progress of the drain is checked.
    Duration CheckInterval = std::chrono::milliseconds(50);
    /// Returns the drain limit; called when the drain begins.
    std::function<Duration()> Limit;
    /// Announces to the peers that the VM is leaving.
    std::function<void()> Announce;
    /// Makes the daemon refuse new work.
    std::function<void()> StopAccepting;
    /// Returns whether nothing is in flight.
    std::function<bool()> IsIdle;
    /// Called when the limit has passed while something is in flight.
    std::function<void()> OnLimit;
    /// Called at the end of the drain.
    std::function<void()> OnStopped;
  };

  DrainController(TimerService &Timers, Options Opts);

  /// Begins the drain. Later calls do nothing.
  void begin();

  bool isDraining() const { return !Machine.is("serving"); }
  const std::string &state() const { return Machine.state(); }

private:
  void advance(TimePoint Now);

  TimerService &Timers;
  Options Opts;
  StateMachine Machine;
  TimePoint DrainStart;
  Duration Limit = Duration::zero();
  TimerSubscription Timer;
};

} // namespace cicadawind

#endif
