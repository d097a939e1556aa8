#include "Membership/EntryChecks.h"

#include <algorithm>
#include <utility>

namespace cicadawind {

Duration EntryChecks::randomUpTo(Duration Max) {
  return std::chrono::duration_cast<Duration>(toUnit(Opts.Random()) * Max);
}

bool EntryChecks::wasSilent(bool ReachesMajority, TimePoint Now) {
  std::optional<TimePoint> Before = std::exchange(LastSweep, Now);
  bool WasSuspended = Before && Now - *Before >= Opts.MinSilence;
  if (!ReachesMajority) {
    CutOffSince = CutOffSince.value_or(Now);
    return WasSuspended;
  }
  std::optional<TimePoint> Since = std::exchange(CutOffSince, std::nullopt);
  return WasSuspended || (Since && Now - *Since >= Opts.MinSilence);
}

bool EntryChecks::isDue(bool ReachesMajority, TimePoint Now) {
  if (!DueAt)
    DueAt = Now + Opts.Period / 2 + randomUpTo(Opts.Period);
  if (wasSilent(ReachesMajority, Now))
    DueAt = std::min(*DueAt, Now + randomUpTo(Opts.Spread));
  if (Now < *DueAt)
    return false;
  DueAt = Now + Opts.Period / 2 + randomUpTo(Opts.Period);
  return true;
}

} // namespace cicadawind
