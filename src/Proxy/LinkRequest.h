#ifndef CICADAWIND_PROXY_LINKREQUEST_H
#define CICADAWIND_PROXY_LINKREQUEST_H

#include "Core/Error.h"
#include "Groups/LeaderView.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cicadawind {

class TargetLink;

/// A connection that is lent, and what a read on it has to demand.
struct LinkGrant {
  std::shared_ptr<TargetLink> Link;
  std::string Instance;
  /// Whether the target is believed to be primary; a read there has to make
  /// the target check its lead.
  bool IsPrimary = false;
  /// Position that the target's log must hold; set for replicas.
  std::optional<LogPosition> After;
  /// Its holder has sent what returns it to the dispatcher.
  bool EndsItself = false;
};

/// \class LinkRequest
/// \brief What a statement or transaction needs a connection for.
struct LinkRequest {
  bool NeedsPrimary = true;
  /// A read may miss writes acknowledged before this time.
  TimePoint Horizon;
  /// Oldest data that the read accepts, for choosing among replicas.
  Millis AcceptedAge = Millis::zero();
  std::optional<SessionWrite> Own;
  /// 0 goes first.
  unsigned Priority = 0;
  /// Not granted before this time, after a target turned it away.
  TimePoint NotBefore;
  /// Time at which the request is refused if it still waits.
  TimePoint GiveUpAt;
  /// Target that is not to be chosen while another suits.
  std::string Avoid;
  std::function<void(LinkGrant)> Granted;
  std::function<void(Error)> Refused;
};

} // namespace cicadawind

#endif
