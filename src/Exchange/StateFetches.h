#ifndef CICADAWIND_EXCHANGE_STATEFETCHES_H
#define CICADAWIND_EXCHANGE_STATEFETCHES_H

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cicadawind {

/// \class StateFetches
/// \brief Decides when this VM fetches a newer state, of those that its peers
/// announce, and from which peers.
///
/// A VM that reads the store waits for a newer configuration to arrive from
/// there, and another one waits for a peer of its own failure domain to
/// announce what a peer of another one has. After that, an attempt without a
/// response does not hold up the others: the next peer is asked after
/// HedgeDelay, or at once if an attempt has failed. So the time from the first
/// announcement to the use depends on one peer that responds, and not on those
/// that do not. Performs no input or output and reads no clock. All functions
/// cost O(peers that have announced a newer state). Not thread safe.
class StateFetches {
public:
  struct Options {
    std::string FailureDomain;
    /// Time for which a VM that reads the store waits for a newer configuration
    /// to arrive from there. Longer than ConfigWatchTimes.MinInterval.
    Duration StoreDelay = std::chrono::milliseconds(400);
    /// Time for which a VM that does not read the store waits for a peer of its
    /// own failure domain to announce a newer configuration.
    Duration RemoteConfigDelay = std::chrono::milliseconds(500);
    /// The same for newer targets, which the VMs that read the store learn of
    /// up to TargetsWatchTimes.MinInterval apart.
    Duration RemoteTargetsDelay = std::chrono::milliseconds(1000);
    /// Timeout of an attempt.
    Duration AttemptTimeout = std::chrono::milliseconds(1500);
    /// Time after the start of an attempt after which the next one starts
    /// beside it. So at most AttemptTimeout / HedgeDelay are in progress.
    Duration HedgeDelay = std::chrono::milliseconds(300);
    /// Time for which a peer is not asked again after an attempt has failed.
    Duration RetryDelay = std::chrono::milliseconds(500);
  };

  /// What identifies a VM's state.
  struct Versions {
    std::uint64_t Config = 0;
    /// Revision of the store that the list of targets reflects.
    std::uint64_t TargetsRevision = 0;
    /// Hash of that list; lists with the same hash are equal.
    std::uint64_t TargetsHash = 0;
  };

  /// The state of this VM. One that reads the store takes no targets from
  /// peers.
  struct OwnState {
    Versions Has;
    bool ReadsStore = false;
  };

  /// A peer and the state that it announces.
  struct Offer {
    std::string Vm;
    /// Where the state can be fetched, "ip:port".
    std::string Address;
    std::string FailureDomain;
    Versions Has;
  };

  /// A fetch to start.
  struct Attempt {
    std::string Vm;
    std::string Address;
    Duration Timeout = Duration::zero();
    /// Whether the attempt must not reuse a connection: one that was kept may
    /// have gone silent, which only the timeout would show.
    bool OnNewConnection = true;
  };

  explicit StateFetches(Options NewOpts);

  /// Returns whether \p Offered has anything that \p Own lacks.
  static bool isNewer(const Versions &Offered, const OwnState &Own);

  /// Records an offer for which isNewer() holds.
  void recordOffer(const Offer &Newer, TimePoint Now);
  /// Returns the next attempt to start now; empty if there is none. The caller
  /// reports the end of each with recordEnd().
  std::optional<Attempt> startNext(const OwnState &Own, TimePoint Now);
  /// Records that the attempt to fetch the state of \p Vm has ended.
  void recordEnd(const std::string &Vm, bool HasSucceeded, TimePoint Now);

private:
  /// A peer that has announced a newer state.
  struct Source {
    Offer Last;
    /// When it announced a newer state first.
    TimePoint Since;
    TimePoint LastOfferAt;
    /// When it may be asked next.
    TimePoint RetryAt;
    bool HasFailed = false;
  };

  bool isNear(const Offer &Each) const;
  /// Returns the time from the first offer of \p Each to the first attempt.
  Duration delayOf(const Source &Each, const OwnState &Own) const;
  /// Returns whether \p Each may be asked now if no attempt is in progress.
  bool isDue(const Source &Each, const OwnState &Own, TimePoint Now) const;
  /// Returns whether to ask \p A rather than \p B.
  bool isBetter(const Source &A, const Source &B) const;
  /// Returns the best source to ask now; null if there is none.
  const Source *choose(const OwnState &Own, TimePoint Now) const;

  Options Opts;
  /// By the name of the VM.
  std::map<std::string, Source> Sources;
  /// When each attempt in progress was started, by the name of the VM.
  std::map<std::string, TimePoint> Running;
};

} // namespace cicadawind

#endif
