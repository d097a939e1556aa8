#ifndef CICADAWIND_QUOTAS_LIMITSHARES_H
#define CICADAWIND_QUOTAS_LIMITSHARES_H

#include "Accounts/ClientAccount.h"
#include "Core/Clock.h"
#include "Quotas/RateTolerance.h"

#include <string>
#include <vector>

namespace cicadawind {

/// Number of partitions that the accounts are divided into in each failure
/// domain.
constexpr unsigned QuotaPartitions = 4;

/// Returns the partition of the account \p Account, the same on all VMs.
unsigned quotaPartitionOf(const std::string &Account);

/// \class LimitShare
/// \brief Rate and capacity of a bucket of permits.
struct LimitShare {
  double PerSecond = 0;
  double Capacity = 0;

  bool operator==(const LimitShare &) const = default;
};

/// \class LimitShares
/// \brief Divides rate limits among the failure domains.
///
/// Each issues an equal share, so that it goes on while it is cut off. If a
/// share holds less than MinShareCapacity, most operations would find no permit
/// in their own domain, and below one permit none ever: unless the settings
/// tolerate one operation more for each failure domain, one of them, by hash,
/// issues the whole limit. The shares of an account are such that permits used
/// in RateTolerance::Window, up to the lifetime of a permit after they were
/// issued, do not exceed the limit by more than is tolerated. What is tolerated
/// raises the rate: an account that asks for more than its limit is served up
/// to the bound. An account whose limit admits no operation is issued nothing.
/// A value type.
class LimitShares {
public:
  struct Options {
    /// Names of all failure domains.
    std::vector<std::string> FailureDomains;
    RateTolerance Tolerance;
    /// Part of the limit's rate at which permits are issued. What is left of
    /// the limit over the Window adds to the capacity, which lets through the
    /// peaks of accounts that stay below their limit.
    double RateShare = 0.85;
    Duration PermitLifetime = std::chrono::milliseconds(300);
  };

  static constexpr double MinShareCapacity = 2;

  explicit LimitShares(Options NewOpts);

  /// Returns the failure domains that issue permits of \p Account.
  std::vector<std::string> issuersOf(const ClientAccount &Account) const;
  /// Returns the share of each of them. \p Account has a limit.
  LimitShare shareOf(const ClientAccount &Account) const;

private:
  /// Returns rate and capacity of all failure domains together.
  LimitShare totalOf(const RateLimit &Limit) const;
  bool isShared(const LimitShare &Total) const;
  bool toleratesOneEach() const;

  Options Opts;
};

} // namespace cicadawind

#endif
