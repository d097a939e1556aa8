#ifndef CICADAWIND_QUOTAS_QUOTATIMES_H
#define CICADAWIND_QUOTAS_QUOTATIMES_H

#include "Core/Clock.h"

namespace cicadawind {

/// \class QuotaTimes
/// \brief Times of the rate limit, the same on all VMs.
struct QuotaTimes {
  /// Time for which a VM keeps its vote, from the arrival of the claim on.
  Duration LeaseLength = std::chrono::milliseconds(500);
  /// Part of LeaseLength that a holder does not use, since the rates of two
  /// VMs' clocks differ.
  Duration ClockMargin = std::chrono::milliseconds(20);
  Duration RenewInterval = std::chrono::milliseconds(160);
  /// Time for which a VM that leaves goes on voting, so that its leases pass to
  /// others without a gap.
  Duration LeaverVotes = std::chrono::seconds(1);
  /// Time after the word of a VM that it leaves at which others leave it out:
  /// when no vote of it is valid any more.
  Duration leaverLifetime() const {
    return LeaverVotes + LeaseLength + 5 * ClockMargin;
  }
  /// Time after which a claim without a majority has failed.
  Duration ClaimTimeout = std::chrono::milliseconds(120);
  /// Additional wait of each next candidate before its claim.
  Duration RankDelay = std::chrono::milliseconds(120);
  /// Maximum random wait after a failed claim.
  Duration MaxClaimBackoff = std::chrono::milliseconds(200);
  /// Time in which a permit may be used, from the sending of the request on.
  Duration PermitLifetime = std::chrono::milliseconds(300);
  /// Time after which a request to a VM of the same region or of another one
  /// counts as lost. A permit that arrives later may still be used.
  Duration NearReplyTimeout = std::chrono::milliseconds(20);
  Duration FarReplyTimeout = std::chrono::milliseconds(60);
  /// Time for which a VM that did not reply is passed over, the first time and
  /// at most.
  Duration FirstSuspicion = std::chrono::milliseconds(100);
  Duration MaxSuspicion = std::chrono::seconds(1);
  /// Time for which no permit is asked of a failure domain without an issuer.
  Duration DomainPause = std::chrono::milliseconds(50);
  /// Minimum time for which a denial is remembered.
  Duration MinOwnDenial = std::chrono::milliseconds(20);
  Duration MinOtherDenial = std::chrono::milliseconds(200);
};

/// \class WitnessTimes
/// \brief Times of the store's vote, the same on all VMs; see QuorumWitness.
struct WitnessTimes {
  /// Minimum time between two calls to the store.
  Duration CallInterval = std::chrono::milliseconds(1200);
  /// Time for which an accepted update holds, from its sending on.
  Duration HoldTime = std::chrono::milliseconds(4000);
  /// Time without a change after which another VM may take over.
  Duration TakeoverTime = std::chrono::milliseconds(6000);
  /// Time without a majority after which the store's vote is wanted, and this
  /// VM claims no lease without it.
  Duration ShortageTime = std::chrono::milliseconds(2000);
};

} // namespace cicadawind

#endif
