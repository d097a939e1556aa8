#ifndef CICADAWIND_QUOTAS_ISSUERSEAT_H
#define CICADAWIND_QUOTAS_ISSUERSEAT_H

#include "Core/Clock.h"
#include "Core/Random.h"
#include "Quotas/IssuerCandidacy.h"
#include "Quotas/IssuerLease.h"
#include "Quotas/PermitIssuer.h"
#include "Quotas/QuotaTimes.h"

#include <optional>

namespace cicadawind {

/// \class IssuerSeat
/// \brief This VM's part in issuing the permits of one partition: whether it is
/// a candidate, its lease, and its buckets while it has the lease.
///
/// Invariant: permits are taken only under the lease, and no bucket outlives
/// it. Not thread safe.
class IssuerSeat {
public:
  IssuerSeat(const QuotaTimes &Times, RandomSource Random)
      : Lease({.LeaseLength = Times.LeaseLength,
               .ClockMargin = Times.ClockMargin}),
        Candidacy(Times, std::move(Random)) {}

  /// Returns whether this VM is the issuer. Drops the buckets if the lease has
  /// ended.
  bool isIssuer(TimePoint Now) {
    if (Issuer.isIssuing() && !Lease.isHeld(Now))
      Issuer.end();
    if (Issuer.isIssuing())
      IssuedUntil = Now;
    return Issuer.isIssuing();
  }
  /// Returns the permits, or nothing if this VM is not the issuer.
  std::optional<PermitReply::Item> take(const PermitRequest::Item &Asked,
                                        TimePoint Now) {
    if (!isIssuer(Now))
      return std::nullopt;
    return Issuer.take(Asked, Now);
  }
  void setShares(PermitIssuer::Shares Shares, TimePoint Now) {
    Issuer.setShares(std::move(Shares), Now);
  }
  std::size_t buckets() const { return Issuer.buckets(); }

  /// See IssuerCandidacy.
  IssuerCandidacy::Action next(bool IsTaken, std::optional<std::size_t> Rank,
                               TimePoint Now) {
    return Candidacy.next(
        {.IsHeld = isIssuer(Now), .IsTaken = IsTaken, .Rank = Rank}, Now);
  }
  void recordClaim(std::uint64_t Number, std::set<std::string> Voters,
                   std::size_t Majority, std::size_t DomainSize,
                   TimePoint Now) {
    Lease.recordClaim(Number, std::move(Voters), Majority, DomainSize, Now);
  }
  /// Returns whether this VM becomes the issuer with the vote.
  bool recordVote(std::uint64_t Number, const std::string &Voter, Duration Idle,
                  TimePoint Now) {
    bool Begins = Lease.recordVote(Number, Voter, Idle, Now);
    if (Begins)
      Issuer.begin(Now);
    if (Issuer.isIssuing())
      Issuer.credit(Lease.takeIdleTime());
    return Begins;
  }
  /// Returns the time for which this VM, which started at \p StartedAt, has
  /// issued no permit.
  Duration idleTime(TimePoint StartedAt, TimePoint Now) {
    if (isIssuer(Now))
      return Duration::zero();
    return Now - std::max(StartedAt, IssuedUntil);
  }
  void end() {
    Lease.end();
    Issuer.end();
  }

private:
  IssuerLease Lease;
  IssuerCandidacy Candidacy;
  PermitIssuer Issuer;
  /// When this VM was last seen to be the issuer.
  TimePoint IssuedUntil;
};

} // namespace cicadawind

#endif
