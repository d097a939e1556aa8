#ifndef CICADAWIND_ROUTING_INSTANCEVIEW_H
#define CICADAWIND_ROUTING_INSTANCEVIEW_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"

#include <optional>
#include <string>

namespace cicadawind {

/// \class InstanceView
/// \brief What a router last learned about one instance from its answers.
struct InstanceView {
  std::string Name;
  std::string FailureDomain;
  std::string Region;
  bool Leaving = false;
  /// Log position of the instance's latest answer.
  LogPosition Applied;
  /// Age of its data at that answer; empty when never reported.
  std::optional<Millis> Age;
  /// When the latest answer arrived.
  TimePoint SeenAt;
  /// No attempt before this time, after a refusal or a lost connection.
  TimePoint NotBefore;
  /// Time its latest statements waited for a slot.
  Millis QueueWait = Millis::zero();
};

} // namespace cicadawind

#endif
