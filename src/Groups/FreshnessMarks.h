#ifndef CICADAWIND_GROUPS_FRESHNESSMARKS_H
#define CICADAWIND_GROUPS_FRESHNESSMARKS_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"

#include <deque>
#include <optional>

namespace cicadawind {

/// \class FreshnessMarks
/// \brief Tells how old the data at a log index is, without comparing clocks
/// of two machines.
///
/// A mark says: every write acknowledged before At, by this machine's clock,
/// has an index of at most Index. It comes from a report that the primary made
/// after At, under a lease that covered At. Data that includes Index is then
/// no older than (now - At). O(log marks) a question.
class FreshnessMarks {
public:
  struct Options {
    Duration Spacing = std::chrono::milliseconds(25);
    std::size_t Limit = 1024;
  };

  explicit FreshnessMarks(Options Opts) : Opts(Opts) {}

  /// Adds a mark; ones closer than Spacing to the latest are dropped.
  void add(TimePoint At, LogIndex Index);

  /// Forgets all marks, at a change of term.
  void clear() { Marks.clear(); }

  /// Age at \p Now of data up to \p Applied; empty when no mark covers it.
  std::optional<Duration> ageOf(LogIndex Applied, TimePoint Now) const;

  /// Index that covers every write acknowledged before \p At: that of the
  /// earliest mark not older than \p At. Empty when there is none.
  std::optional<LogIndex> indexSince(TimePoint At) const;

  struct Mark {
    TimePoint At;
    LogIndex Index;
  };

  /// The newest mark; empty when there is none.
  std::optional<Mark> newest() const;

private:
  Options Opts;
  std::deque<Mark> Marks;
};

} // namespace cicadawind

#endif
