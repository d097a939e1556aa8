#ifndef CICADAWIND_LEASES_PRIMARYGUARD_H
#define CICADAWIND_LEASES_PRIMARYGUARD_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"

#include <optional>
#include <string>
#include <vector>

namespace cicadawind {

class PrimaryLease;
class PromotionPromise;
struct TargetStatus;

/// \class PrimaryGuard
/// \brief Decides when one VM may use the primary of one group, and which of
/// the primary's replies count.
///
/// The kind of guard follows from whether the platform fences promotions, see
/// FencedPrimaryGuard and LeasedPrimaryGuard. Implementations perform no input
/// or output and are not thread safe.
class PrimaryGuard {
public:
  virtual ~PrimaryGuard() = default;

  /// Sets the primary that this VM uses, or none if \p Instance is empty.
  virtual void setPrimary(const std::string &Instance) = 0;
  /// Sets the other instances of the group, nearest first.
  virtual void setReplicas(const std::vector<std::string> &Instances,
                           TimePoint Now) = 0;
  /// Records the status that \p Instance returned to a request that was sent at
  /// \p RequestedAt.
  virtual void recordStatus(const std::string &Instance,
                            const TargetStatus &Status,
                            TimePoint RequestedAt) = 0;

  /// Returns whether requests that only a primary may serve may be sent to
  /// \p Instance at \p Now.
  virtual bool mayUse(const std::string &Instance, TimePoint Now) const = 0;
  /// Returns whether no newer primary than \p Instance served before \p At, so
  /// that a reply received, or a proof requested, at that time counts.
  virtual bool covers(const std::string &Instance, TimePoint At) const = 0;
  /// Returns whether an entry of the registry that says that \p Instance is
  /// primary may change the primary that this VM uses.
  virtual bool acceptsClaim(const std::string &Instance,
                            TimePoint Now) const = 0;
  /// Returns the instance that leads the newest known term, if it is not the
  /// primary that this VM uses; otherwise empty.
  virtual std::string newerPrimary() const = 0;
  /// Returns the instances that act as primaries of older terms.
  virtual std::vector<std::string> replacedPrimaries() const = 0;

  /// Returns the instances to ask for their status now, and records that they
  /// are asked; see PrimaryLease::statusDue().
  virtual std::vector<std::string> statusDue(bool HasPeer, TimePoint Now) = 0;
  /// Returns the term for which to ask another VM for its evidence now; empty
  /// if none is needed.
  virtual std::optional<Term> peerEvidenceDue(TimePoint Now) = 0;
  /// Returns the term for which to ask the other VMs for their votes now;
  /// empty if none are needed.
  virtual std::optional<Term> votesDue(TimePoint Now) = 0;

  /// Returns the lease and the promises of a group whose platform does not
  /// fence; null otherwise.
  virtual PrimaryLease *lease() = 0;
  virtual const PrimaryLease *lease() const = 0;
  virtual PromotionPromise *promise() = 0;
};

} // namespace cicadawind

#endif
