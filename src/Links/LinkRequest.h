#ifndef CICADAWIND_LINKS_LINKREQUEST_H
#define CICADAWIND_LINKS_LINKREQUEST_H

#include "Core/Error.h"
#include "Groups/PrimaryTracker.h"
#include "Links/LinkGrant.h"

#include <functional>
#include <optional>
#include <string>

namespace cicadawind {

/// \class LinkRequest
/// \brief A request for a connection for one statement or transaction.
struct LinkRequest {
  /// The only acceptable target; empty if the dispatcher may choose.
  std::string RequiredTarget;
  /// Whether only the primary may serve the request. Ignored if RequiredTarget
  /// is set.
  bool NeedsPrimary = true;
  /// A read must see all writes that were acknowledged before this time; it may
  /// miss later ones.
  TimePoint MustSeeBefore;
  /// Greatest age of data that the read accepts; used to choose among replicas.
  Millis AcceptedAge = Millis::zero();
  /// The session's last write, which a read must see; set only if the route
  /// requires that sessions read their own writes.
  std::optional<SessionWrite> LastWrite;
  /// Client account whose statements the connection is to serve; empty where
  /// accounts are not told apart.
  std::string Account;
  /// Lower numbers are served first.
  unsigned Priority = 0;
  /// Time before which no connection is granted, after a target was too busy.
  TimePoint NotBefore;
  /// Time at which the request is refused if it still waits for a connection.
  TimePoint GiveUpAt;
  /// When the request was submitted; set by the dispatcher.
  TimePoint SubmittedAt;
  /// Target that was passed over last because of its slow start; set by the
  /// dispatcher.
  std::string PassedOver;
  /// Target that is not chosen while another one is suitable.
  std::string AvoidTarget;
  /// Called with the acquired connection.
  std::function<void(LinkGrant)> Granted;
  /// Called instead of Granted when the request is refused.
  std::function<void(Error)> Refused;
};

} // namespace cicadawind

#endif
