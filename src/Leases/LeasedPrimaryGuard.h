#ifndef CICADAWIND_LEASES_LEASEDPRIMARYGUARD_H
#define CICADAWIND_LEASES_LEASEDPRIMARYGUARD_H

#include "Leases/PrimaryGuard.h"
#include "Leases/PrimaryLease.h"
#include "Leases/PromotionPromise.h"

#include <map>

namespace cicadawind {

/// \class LeasedPrimaryGuard
/// \brief Guard of a group whose platform does not fence promotions: this VM
/// uses the primary only while it holds a lease on it.
///
/// Holds the VM's lease and its promises about promotions of the group. Keeps
/// the term of each instance that says that it is primary, because several may
/// say so.
class LeasedPrimaryGuard : public PrimaryGuard {
public:
  struct Options {
    PrimaryLease::Options Lease;
    PromotionPromise::Options Promise;
  };

  LeasedPrimaryGuard(Options Opts, TimePoint StartedAt)
      : Lease(Opts.Lease, StartedAt), Promise(Opts.Promise, StartedAt) {}

  void setPrimary(const std::string &Instance) override;
  void setReplicas(const std::vector<std::string> &Instances,
                   TimePoint Now) override;
  void recordStatus(const std::string &Instance, const TargetStatus &Status,
                    TimePoint RequestedAt) override;
  bool mayUse(const std::string &Instance, TimePoint Now) const override;
  bool covers(const std::string &Instance, TimePoint At) const override;
  bool acceptsClaim(const std::string &Instance, TimePoint Now) const override;
  std::string newerPrimary() const override;
  std::vector<std::string> replacedPrimaries() const override;
  std::vector<std::string> statusDue(bool HasPeer, TimePoint Now) override;
  std::optional<Term> peerEvidenceDue(TimePoint Now) override;
  std::optional<Term> votesDue(TimePoint Now) override;
  PrimaryLease *lease() override { return &Lease; }
  const PrimaryLease *lease() const override { return &Lease; }
  PromotionPromise *promise() override { return &Promise; }

private:
  PrimaryLease Lease;
  PromotionPromise Promise;
  /// Term of each instance whose last status says that it is primary.
  std::map<std::string, Term> Claims;
  /// Request time of the last status of each instance.
  std::map<std::string, TimePoint> StatusRequestedAt;
};

} // namespace cicadawind

#endif
