#include "Daemons/DrainController.h"

#include <utility>

namespace cicadawind {

DrainController::DrainController(TimerService &Timers, Options NewOpts)
    : Timers(Timers), Opts(std::move(NewOpts)), Machine(Opts.Chart) {}

void DrainController::begin() {
  if (!Machine.fire("leave"))
    return;
  DrainStart = Timers.now();
  Limit = Opts.Limit();
  Opts.Announce();
  Timer =
      Timers.every(Opts.CheckInterval, [this](TimePoint Now) { advance(Now); });
}

void DrainController::advance(TimePoint Now) {
  Duration Elapsed = Now - DrainStart;
  if (Machine.is("announcing") && Elapsed >= Opts.AnnouncementTime) {
    Machine.fire("announced");
    Opts.StopAccepting();
    return;
  }
  if (Machine.is("draining") && Elapsed >= Limit && !Opts.IsIdle()) {
    Machine.fire("limit");
    Opts.OnLimit();
    return;
  }
  if (Machine.allows("idle") && Opts.IsIdle()) {
    Machine.fire("idle");
    Timer.cancel();
    Opts.OnStopped();
  }
}

} // namespace cicadawind
