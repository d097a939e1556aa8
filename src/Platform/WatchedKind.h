#ifndef CICADAWIND_PLATFORM_WATCHEDKIND_H
#define CICADAWIND_PLATFORM_WATCHEDKIND_H

#include "Core/Clock.h"
#include "Platform/ObjectChange.h"
#include "Platform/StoredObject.h"
#include "Platform/WatchTimes.h"

#include <cstdint>
#include <vector>

namespace cicadawind {

/// \class WatchedKind
/// \brief A copy of all objects of one kind in the store, and the decision
/// which call keeps it current.
///
/// The kind is listed once and then watched from the revision of the list. It
/// is listed again if the store no longer has the history that a watch needs,
/// or if it has come back from an older copy since: its history is another one
/// then, even if it has a revision with the number that the watch names.
/// Revisions are packed as in StoreRevision.
/// Each record function tells the outcome of the call that nextCall() returned.
/// Performs no input or output and reads no clock. Functions cost O(1), those
/// that record objects O(changes log objects). Not thread safe.
class WatchedKind {
public:
  struct Options {
    /// Times.Wait and WatchSlack together bound the age of the copy: a
    /// connection may go silent without a sign, and only a missing response
    /// shows that.
    WatchTimes Times;
    /// Wait of a watch after a failure, whose response shows at once
    /// whether the store is back, and of which era it is.
    Duration ProbeWait = std::chrono::milliseconds(1);
    /// Time that the response to a watch may take beyond the wait.
    Duration WatchSlack = std::chrono::milliseconds(700);
    /// Timeout of a call that lists a page of objects.
    Duration ListTimeout = std::chrono::seconds(2);
    /// The backoff after a failure doubles from InitialBackoff up to
    /// MaxBackoff.
    Duration InitialBackoff = std::chrono::milliseconds(100);
    Duration MaxBackoff = std::chrono::milliseconds(800);
  };

  enum class Operation { List, Watch };

  /// A call to the store.
  struct Call {
    Operation Kind = Operation::List;
    /// Time to wait before the call.
    Duration Delay = Duration::zero();
    /// Only for a watch: the revision after which changes are wanted, and the
    /// time for which the store may hold it.
    std::uint64_t Since = 0;
    Duration Wait = Duration::zero();
    Duration Timeout = Duration::zero();
  };

  explicit WatchedKind(Options Opts);

  /// Returns the next call to make.
  Call nextCall() const;

  /// Records a complete list of the kind as of \p Revision.
  void recordList(ObjectsByName Listed, std::uint64_t Revision);
  /// Records the changes up to \p Revision. Returns whether there are any. If
  /// \p Revision is of another era than the copy, they are not applied, and the
  /// kind is listed next.
  bool recordChanges(std::vector<ObjectChange> Changes, std::uint64_t Revision);
  /// Records that the call failed or was refused.
  void recordFailure();
  /// Records that the copy cannot be continued; the kind is listed next.
  void recordGap();

  const ObjectsByName &objects() const { return Objects; }
  std::uint64_t revision() const { return Revision; }
  /// Returns whether the copy is one to watch from: it was listed and has no
  /// gap since.
  bool isListed() const { return IsListed; }

private:
  Options Opts;
  ObjectsByName Objects;
  std::uint64_t Revision = 0;
  /// Whether Objects can be continued by a watch.
  bool IsListed = false;
  /// Whether the last call failed.
  bool HasFailed = false;
  Duration Delay = Duration::zero();
  Duration Backoff;
};

} // namespace cicadawind

#endif
