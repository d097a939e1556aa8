#ifndef CICADAWIND_QUOTAS_PERMITISSUER_H
#define CICADAWIND_QUOTAS_PERMITISSUER_H

#include "Core/Clock.h"
#include "Quotas/PermitBucket.h"
#include "Quotas/QuotaMessage.h"

#include <map>
#include <string>

namespace cicadawind {

/// \class PermitIssuer
/// \brief The buckets of the accounts of one partition.
///
/// Invariant: there are buckets only between begin() and end(), and they were
/// empty when the lease began. The caller checks the lease. Each request costs
/// O(log accounts). Not thread safe.
class PermitIssuer {
public:
  using Shares = std::map<std::string, LimitShare>;

  /// Sets the accounts of the partition of which this VM may issue permits.
  /// The bucket of an account that is new is empty.
  void setShares(Shares NewShares, TimePoint Now);
  /// Begins to issue, with empty buckets.
  void begin(TimePoint Now);
  /// Credits all buckets for \p Time before the lease began; see PermitBucket.
  void credit(Duration Time);
  /// Drops all buckets.
  void end();
  bool isIssuing() const { return IsIssuing; }
  std::size_t buckets() const { return Buckets.size(); }
  /// Takes up to the number of permits that \p Asked is for.
  PermitReply::Item take(const PermitRequest::Item &Asked, TimePoint Now);

private:
  /// Time after which permits of an account that this VM does not know yet may
  /// be asked for again.
  static constexpr Millis UnknownAccountDelay = Millis(200);

  Shares Accounts;
  bool IsIssuing = false;
  std::map<std::string, PermitBucket> Buckets;
};

} // namespace cicadawind

#endif
