#ifndef CICADAWIND_ACCOUNTS_RATELIMIT_H
#define CICADAWIND_ACCOUNTS_RATELIMIT_H

namespace cicadawind {

/// \class RateLimit
/// \brief Limit on the operations of one client account over all VMs.
///
/// In any time T, at most PerSecond * T + Burst operations are admitted.
struct RateLimit {
  double PerSecond = 0;
  double Burst = 0;

  bool operator==(const RateLimit &) const = default;
};

} // namespace cicadawind

#endif
