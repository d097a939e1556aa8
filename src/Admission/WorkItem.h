#ifndef CICADAWIND_ADMISSION_WORKITEM_H
#define CICADAWIND_ADMISSION_WORKITEM_H

#include "Core/Clock.h"

#include <cstdint>
#include <string>

namespace cicadawind {

/// Identifies a work item within one scheduler.
using WorkId = std::uint64_t;

/// \class WorkItem
/// \brief A statement that waits for a slot of a target.
struct WorkItem {
  WorkId Id = 0;
  /// Hash of the statement text without its literals. Statements with the same
  /// fingerprint are expected to take a similar time.
  std::uint64_t Fingerprint = 0;
  /// Caller of the statement. Fairness is applied by caller.
  std::string Caller;
  TimePoint Deadline;
  /// Set by the scheduler: the item is started even if its estimate exceeds the
  /// time until the deadline.
  bool AlwaysTried = false;
};

} // namespace cicadawind

#endif
