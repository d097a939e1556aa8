#ifndef CICADAWIND_GROUPS_FRESHNESSSAMPLES_H
#define CICADAWIND_GROUPS_FRESHNESSSAMPLES_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"

#include <deque>
#include <optional>

namespace cicadawind {

/// \class FreshnessSamples
/// \brief Determines the age of the data at a log index without comparing the
/// clocks of different machines.
///
/// A sample states that every write acknowledged before At, by the clock of
/// this machine, has an index of at most Index. It is taken from the reply of
/// an instance to a request sent at At. A lease that was valid at At, or the
/// reply itself if it is a leadership proof, shows that the instance was
/// primary. Data that includes Index is therefore no older than now - At. Each
/// query costs O(log samples). Not thread safe.
class FreshnessSamples {
public:
  struct Options {
    /// Minimum time between two samples.
    Duration MinSpacing = std::chrono::milliseconds(25);
    /// Number of samples kept.
    std::size_t MaxSamples = 1024;
  };

  explicit FreshnessSamples(Options Opts) : Opts(Opts) {}

  /// Adds a sample. Ignores a sample that is not newer than the latest, has a
  /// lower index, or has a higher index but follows within MinSpacing.
  void add(TimePoint At, LogIndex Index);

  /// Removes all samples. Called when the term or the primary changes.
  void clear() { Samples.clear(); }

  /// Returns the age at \p Now of data up to \p Applied; empty if every sample
  /// has a higher index.
  std::optional<Duration> ageOf(LogIndex Applied, TimePoint Now) const;

  /// Returns an index that covers every write acknowledged before \p At: the
  /// index of the earliest sample not older than \p At. Empty if there is none.
  std::optional<LogIndex> indexCovering(TimePoint At) const;

  struct Sample {
    /// Time before which all acknowledged writes are covered.
    TimePoint At;
    /// Highest index that such a write can have.
    LogIndex Index;
  };

  /// Returns the newest sample; empty if there is none.
  std::optional<Sample> newest() const;

private:
  Options Opts;
  /// Oldest first.
  std::deque<Sample> Samples;
};

} // namespace cicadawind

#endif
