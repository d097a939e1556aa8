#ifndef CICADAWIND_CALLERS_REQUESTREPORT_H
#define CICADAWIND_CALLERS_REQUESTREPORT_H

#include "Core/Clock.h"
#include "Links/ConnectionCount.h"

#include <optional>
#include <string>

namespace cicadawind {

/// \class RequestReport
/// \brief The properties of a finished request, or of another event that
/// CallerSession::Host::Report reports, that are logged and counted.
struct RequestReport {
  /// Id that the caller gave; "-" if the report concerns no single request,
  /// empty if a malformed message has no id.
  std::string Id;
  std::string Database;
  std::string Group;
  /// Client account of the caller; empty where accounts are not told apart.
  std::string Account;
  /// Kind of the statement, or "open", "transaction" or "malformed".
  std::string Kind;
  /// "ok", "refused", "in_doubt" or "failed".
  std::string Outcome;
  /// Why the request was not served; empty when it was.
  std::string Reason;
  /// Name of the error code; empty when the request was served.
  std::string Code;
  /// See ActiveRequest::FailedAttempts.
  std::string FailedAttempts;
  /// See ActiveRequest::LastInstance.
  std::string Instance;
  /// Log position that the last target was required to have reached, as
  /// "term.index"; empty when none was required.
  std::string MinPosition;
  /// Age of the newest leadership proof when the request finished; empty when
  /// there is no proof.
  std::optional<Duration> ProofAge;
  /// Connections of this VM to the group when a request was not served; empty
  /// if it was served or its group is not known.
  std::optional<ConnectionCount> Connections;
  unsigned Attempts = 0;
  /// Time from the start of processing to the response, without the wait for
  /// the caller's earlier requests.
  Duration Latency = Duration::zero();
};

} // namespace cicadawind

#endif
