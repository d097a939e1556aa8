#include "Daemons/DrainController.h"

#include <utility>

namespace cicadawind {

DrainController::DrainController(TimerService &Timers, Options NewOpts)
    : Timers(Timers), Opts(std::move(NewOpts)), Walk(Opts.Chart) {}

void DrainController::begin() {
  if (!Walk.fire("leave"))
    return;
  Since = Timers.now();
  Limit = Opts.Limit();
  Opts.Announce();
  Timer = Timers.every(Opts.Check, [this](TimePoint Now) { step(Now); });
}

void DrainController::step(TimePoint Now) {
  Duration Passed = Now - Since;
  if (Walk.is("announcing") && Passed >= Opts.AnnounceFor) {
    Walk.fire("announced");
    Opts.StopIntake();
    return;
  }
  if (Walk.is("draining") && Passed >= Limit && !Opts.IsIdle()) {
    Walk.fire("limit");
    Opts.EndRemaining();
    return;
  }
  if (Walk.allows("idle") && Opts.IsIdle()) {
    Walk.fire("idle");
    Timer.cancel();
    Opts.Stopped();
  }
}

} // namespace cicadawind
