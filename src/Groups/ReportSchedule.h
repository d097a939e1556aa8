#ifndef CICADAWIND_GROUPS_REPORTSCHEDULE_H
#define CICADAWIND_GROUPS_REPORTSCHEDULE_H

#include "Core/Clock.h"

namespace cicadawind {

/// \class ReportSchedule
/// \brief Decides how often an instance is polled for its report.
///
/// While the primary of a database is in use, the instances of this VM's region
/// are polled continuously, because the lease depends on their reports.
/// Instances of other regions are polled continuously too while the primary is
/// in doubt or the instances of this region that report are not a majority. The
/// primary is in doubt while no term is open, while a promotion runs, or if a
/// report disagrees with the term record or shows that an instance has lost
/// contact with the primary. While the primary is not in use, only the
/// instances of this VM's failure domain are polled often, so that a primary
/// that stops responding is detected. A statement that then uses the primary or
/// a replica requests the reports that it requires.
class ReportSchedule {
public:
  struct Options {
    /// Timeout of long polls of an instance that is polled continuously.
    Duration BusyPollTimeout = std::chrono::milliseconds(100);
    /// Timeout of other long polls of an instance in this VM's failure domain.
    Duration OwnDomainPollTimeout = std::chrono::milliseconds(500);
    /// Timeout of other long polls of an instance in another failure domain.
    Duration OtherDomainPollTimeout = std::chrono::seconds(5);
    /// Time after its last use for which the primary counts as in use.
    Duration BusyDuration = std::chrono::seconds(2);
  };

  explicit ReportSchedule(Options Opts) : Opts(Opts) {}

  /// Records that the primary was used or is in doubt.
  void recordUse(TimePoint Now) { LastUse = Now; }

  /// Returns whether the primary counts as in use at \p Now.
  bool isBusy(TimePoint Now) const {
    return LastUse != TimePoint() && Now - LastUse < Opts.BusyDuration;
  }

  /// Returns the timeout of the next long poll of an instance.
  /// \p OwnDomain states whether it is in this VM's failure domain,
  /// \p PolledContinuously whether it is polled continuously at present.
  Duration pollTimeout(bool OwnDomain, bool PolledContinuously) const {
    if (PolledContinuously)
      return Opts.BusyPollTimeout;
    return OwnDomain ? Opts.OwnDomainPollTimeout : Opts.OtherDomainPollTimeout;
  }

private:
  Options Opts;
  TimePoint LastUse;
};

} // namespace cicadawind

#endif
