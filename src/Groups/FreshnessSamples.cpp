#include "Groups/FreshnessSamples.h"

#include <algorithm>

namespace cicadawind {

void FreshnessSamples::add(TimePoint At, LogIndex Index) {
  if (!Samples.empty()) {
    Sample &Last = Samples.back();
    if (At <= Last.At || Index < Last.Index)
      return;
    // A later sample with the same index makes the earlier one redundant.
    if (Last.Index == Index) {
      Last.At = At;
      return;
    }
    if (At - Last.At < Opts.MinSpacing)
      return;
  }
  Samples.push_back(Sample{.At = At, .Index = Index});
  if (Samples.size() > Opts.MaxSamples)
    Samples.pop_front();
}

std::optional<Duration> FreshnessSamples::ageOf(LogIndex Applied,
                                                TimePoint Now) const {
  auto Beyond = std::upper_bound(
      Samples.begin(), Samples.end(), Applied,
      [](LogIndex Index, const Sample &S) { return Index < S.Index; });
  if (Beyond == Samples.begin())
    return std::nullopt;
  return Now - std::prev(Beyond)->At;
}

std::optional<LogIndex> FreshnessSamples::indexCovering(TimePoint At) const {
  auto First = std::lower_bound(
      Samples.begin(), Samples.end(), At,
      [](const Sample &S, TimePoint Time) { return S.At < Time; });
  if (First == Samples.end())
    return std::nullopt;
  return First->Index;
}

std::optional<FreshnessSamples::Sample> FreshnessSamples::newest() const {
  if (Samples.empty())
    return std::nullopt;
  return Samples.back();
}

} // namespace cicadawind
