#ifndef CICADAWIND_ADMISSION_SERVICETIMES_H
#define CICADAWIND_ADMISSION_SERVICETIMES_H

#include "Core/Clock.h"

#include <cstdint>
#include <list>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace cicadawind {

/// \class ServiceTimes
/// \brief Estimates how long statements of each fingerprint hold a slot.
///
/// Keeps an exponentially weighted mean for each of the most recently observed
/// fingerprints. Each operation costs O(1). Options::MaxFingerprints bounds the
/// memory. Not thread safe.
class ServiceTimes {
public:
  struct Options {
    std::size_t MaxFingerprints = 4096;
    /// Weight of the newest observation in the mean.
    double Weight = 0.2;
    /// Estimate for a fingerprint that was never observed.
    Duration Default = std::chrono::milliseconds(10);
  };

  explicit ServiceTimes(Options Opts) : Opts(Opts) {}

  /// Returns the mean time of \p Fingerprint; empty if it was never observed
  /// or is no longer kept.
  std::optional<Duration> meanOf(std::uint64_t Fingerprint) const;

  /// Returns the mean time of \p Fingerprint, or Options::Default.
  Duration expected(std::uint64_t Fingerprint) const;

  /// Records that a statement of \p Fingerprint held its slot for
  /// \p ServiceTime.
  void observe(std::uint64_t Fingerprint, Duration ServiceTime);

private:
  struct Entry {
    Duration Mean;
    std::list<std::uint64_t>::iterator RecencyPosition;
  };

  Options Opts;
  std::unordered_map<std::uint64_t, Entry> ByFingerprint;
  /// Fingerprints, the most recently observed first.
  std::list<std::uint64_t> Recency;
};

/// Returns the fingerprint of a statement: a hash of its text that does not
/// depend on the values of numbers and quoted strings.
std::uint64_t fingerprintOf(std::string_view Statement);

} // namespace cicadawind

#endif
