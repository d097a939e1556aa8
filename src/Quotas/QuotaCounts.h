#ifndef CICADAWIND_QUOTAS_QUOTACOUNTS_H
#define CICADAWIND_QUOTAS_QUOTACOUNTS_H

#include <cstdint>

namespace cicadawind {

/// \class QuotaCounts
/// \brief What a VM has done for the rate limit since its start.
struct QuotaCounts {
  /// Permits that this VM issued as an issuer, and that it denied.
  std::uint64_t Issued = 0;
  std::uint64_t Denied = 0;
  /// Outcomes of this VM's operations of accounts with a limit.
  std::uint64_t Granted = 0;
  std::uint64_t OverLimit = 0;
  std::uint64_t Unavailable = 0;
  /// Current numbers.
  std::uint64_t Leases = 0;
  std::uint64_t Buckets = 0;
};

} // namespace cicadawind

#endif
