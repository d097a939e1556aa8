#include "Groups/FreshnessMarks.h"

#include <algorithm>

namespace cicadawind {

void FreshnessMarks::add(TimePoint At, LogIndex Index) {
  if (!Marks.empty()) {
    Mark &Last = Marks.back();
    if (At <= Last.At || Index < Last.Index)
      return;
    // The same index at a later time makes the earlier mark redundant.
    if (Last.Index == Index) {
      Last.At = At;
      return;
    }
    if (At - Last.At < Opts.Spacing)
      return;
  }
  Marks.push_back(Mark{.At = At, .Index = Index});
  if (Marks.size() > Opts.Limit)
    Marks.pop_front();
}

std::optional<Duration> FreshnessMarks::ageOf(LogIndex Applied,
                                              TimePoint Now) const {
  auto Beyond = std::upper_bound(
      Marks.begin(), Marks.end(), Applied,
      [](LogIndex Index, const Mark &M) { return Index < M.Index; });
  if (Beyond == Marks.begin())
    return std::nullopt;
  return Now - std::prev(Beyond)->At;
}

std::optional<LogIndex> FreshnessMarks::indexSince(TimePoint At) const {
  auto First = std::lower_bound(
      Marks.begin(), Marks.end(), At,
      [](const Mark &M, TimePoint Time) { return M.At < Time; });
  if (First == Marks.end())
    return std::nullopt;
  return First->Index;
}

std::optional<FreshnessMarks::Mark> FreshnessMarks::newest() const {
  if (Marks.empty())
    return std::nullopt;
  return Marks.back();
}

} // namespace cicadawind
