#ifndef CICADAWIND_LINKS_LEAVINGBOUND_H
#define CICADAWIND_LINKS_LEAVINGBOUND_H

#include "Core/Clock.h"
#include "Links/TargetEntry.h"

namespace cicadawind {

/// \class LeavingBound
/// \brief Decides what may still be asked of a target that leaves.
///
/// Invariant: no new request reaches a target later than ServiceTime after it
/// said that it leaves. A target that leaves since an unknown time gets none:
/// it may have said so ServiceTime ago. All functions take O(1).
class LeavingBound {
public:
  struct Options {
    /// Time for which a leaving target still receives new requests.
    Duration ServiceTime = std::chrono::seconds(7);
    /// Part of ServiceTime in which nothing more is sent: the target may leave
    /// for TargetDirectory::Options::ReportDelay longer than its entry says,
    /// and a request needs time to arrive.
    Duration SendMargin = std::chrono::milliseconds(1500);
    /// Time that an order takes until the target serves, and then the next
    /// hand-over from its survey to its order.
    Duration LeadTime = std::chrono::milliseconds(1000);
  };

  explicit LeavingBound(Options Opts) : Opts(Opts) {}

  /// Returns whether a new request may be sent to the target at \p Now.
  bool mayServe(const TargetEntry &Entry, TimePoint Now) const;
  /// Returns whether the target may be chosen as primary at \p Now, because it
  /// may serve until it can have been replaced again.
  bool mayLead(const TargetEntry &Entry, TimePoint Now) const;

private:
  Options Opts;
};

} // namespace cicadawind

#endif
