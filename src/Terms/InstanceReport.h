#ifndef CICADAWIND_TERMS_INSTANCEREPORT_H
#define CICADAWIND_TERMS_INSTANCEREPORT_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"

#include <optional>
#include <string>

namespace cicadawind {

/// \class InstanceReport
/// \brief The state that one database instance reports.
struct InstanceReport {
  std::string Instance;
  /// Highest term that the instance has promised. It refuses requests of lower
  /// terms.
  Term PromisedTerm = 0;
  /// Whether it serves as primary of PromisedTerm.
  bool IsPrimary = false;
  /// Instance that it replicates from; empty on a primary.
  std::string ReplicatesFrom;
  /// End of the log that the instance holds durably.
  LogPosition Received;
  /// End of the log that its reads see. Never beyond Received.
  LogPosition Applied;
  /// Time since its last contact with the primary that it follows; empty if
  /// not reported.
  std::optional<Millis> SincePrimaryContact;
};

} // namespace cicadawind

#endif
