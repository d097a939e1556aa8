#include "Quotas/LimitShares.h"

#include "Core/Random.h"

#include <algorithm>
#include <cassert>

namespace cicadawind {

static double inSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

unsigned quotaPartitionOf(const std::string &Account) {
  return static_cast<unsigned>(hashText(Account) % QuotaPartitions);
}

LimitShares::LimitShares(Options NewOpts) : Opts(std::move(NewOpts)) {
  assert(!Opts.FailureDomains.empty());
  std::sort(Opts.FailureDomains.begin(), Opts.FailureDomains.end());
}

LimitShare LimitShares::totalOf(const RateLimit &Limit) const {
  const RateTolerance &Tolerance = Opts.Tolerance;
  double Window = inSeconds(Tolerance.Window);
  double WindowWithLifetime = inSeconds(Tolerance.Window + Opts.PermitLifetime);
  double Allowed = Limit.PerSecond * Window + Limit.Burst;
  double Rate = Limit.PerSecond * Opts.RateShare;
  // A bucket that holds less than one permit would never issue one.
  Rate = std::min(Rate, (Allowed - 1) / WindowWithLifetime);
  if (Rate <= 0)
    return {};
  double Capacity = Allowed - Rate * WindowWithLifetime;
  double Tolerated = Allowed * Tolerance.Fraction;
  // shareOf() adds one operation for each failure domain.
  if (toleratesOneEach())
    Tolerated +=
        Tolerance.Operations - static_cast<double>(Opts.FailureDomains.size());
  return {.PerSecond = Rate + Tolerated / WindowWithLifetime,
          .Capacity = Capacity};
}

bool LimitShares::toleratesOneEach() const {
  return Opts.FailureDomains.size() <= Opts.Tolerance.Operations;
}

bool LimitShares::isShared(const LimitShare &Total) const {
  auto Domains = static_cast<double>(Opts.FailureDomains.size());
  return toleratesOneEach() || Total.Capacity >= MinShareCapacity * Domains;
}

std::vector<std::string>
LimitShares::issuersOf(const ClientAccount &Account) const {
  if (!Account.Limit || isShared(totalOf(*Account.Limit)))
    return Opts.FailureDomains;
  std::uint64_t Hash = hashText(Account.Name);
  return {*std::max_element(
      Opts.FailureDomains.begin(), Opts.FailureDomains.end(),
      [Hash](const std::string &A, const std::string &B) {
        return hashCombine(Hash, hashText(A)) < hashCombine(Hash, hashText(B));
      })};
}

LimitShare LimitShares::shareOf(const ClientAccount &Account) const {
  LimitShare Total = totalOf(*Account.Limit);
  if (!isShared(Total) || Total.PerSecond <= 0)
    return Total;
  auto Count = static_cast<double>(Opts.FailureDomains.size());
  double Extra = toleratesOneEach() ? 1 : 0;
  return {.PerSecond = Total.PerSecond / Count,
          .Capacity = Total.Capacity / Count + Extra};
}

} // namespace cicadawind
