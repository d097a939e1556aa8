#ifndef CICADAWIND_ROUTING_INSTANCEVIEW_H
#define CICADAWIND_ROUTING_INSTANCEVIEW_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"

#include <optional>
#include <string>

namespace cicadawind {

/// \class InstanceView
/// \brief State of one instance, as this VM last learned it from the
/// instance's replies. Refusals are replies too.
struct InstanceView {
  std::string Name;
  std::string FailureDomain;
  std::string Region;
  /// Whether the instance is leaving and must get no new work.
  bool Leaving = false;
  /// Log position that the latest reply stated as applied.
  LogPosition Applied;
  /// Age of the instance's data at that reply; empty if never reported.
  std::optional<Millis> Age;
  /// Estimated number of log entries that the instance applies per second.
  double AppliesPerSecond = 0;
  /// Time at which the latest reply arrived.
  TimePoint ReplyAt;
  /// Time before which the instance is not tried, after a refusal or a lost
  /// connection.
  TimePoint NotBefore;
  /// Time that its latest statement waited for a slot.
  Millis QueueWait = Millis::zero();

  /// Records a reply that arrived at \p Now: the instance has applied the log
  /// up to \p Position, and its data has the age \p DataAge. Ignores a reply
  /// of the same term, with the same or a higher index, that follows the latest
  /// recorded one too soon to estimate a rate.
  void recordReply(LogPosition Position, Millis DataAge, TimePoint Now);

  /// Returns an estimate of the log index that the instance has applied by
  /// \p Now.
  LogIndex expectedIndex(TimePoint Now) const;
};

} // namespace cicadawind

#endif
