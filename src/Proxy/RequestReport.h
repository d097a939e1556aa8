#ifndef CICADAWIND_PROXY_REQUESTREPORT_H
#define CICADAWIND_PROXY_REQUESTREPORT_H

#include "Core/Clock.h"

#include <string>

namespace cicadawind {

/// What is logged and counted of a finished request.
struct RequestReport {
  std::string Id;
  std::string Database;
  std::string Kind;
  /// "ok", "refused", "in_doubt" or "failed".
  std::string Outcome;
  std::string Why;
  std::string Instance;
  unsigned Attempts = 0;
  Duration Took = Duration::zero();
};

} // namespace cicadawind

#endif
