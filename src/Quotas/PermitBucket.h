#ifndef CICADAWIND_QUOTAS_PERMITBUCKET_H
#define CICADAWIND_QUOTAS_PERMITBUCKET_H

#include "Core/Clock.h"
#include "Quotas/LimitShares.h"

namespace cicadawind {

/// \class PermitBucket
/// \brief Token bucket of the permits of one account at one issuer.
///
/// Begins empty, so that it may follow another bucket of the account whose
/// state is not known: in any time T both together issue at most
/// PerSecond * T + Capacity permits. All costs are O(1). Not thread safe.
class PermitBucket {
public:
  PermitBucket(LimitShare Share, TimePoint Now) : Share(Share), FilledAt(Now) {}

  /// Applies \p NewShare from \p Now on.
  void setShare(const LimitShare &NewShare, TimePoint Now);
  /// Adds what would have been filled in \p Time, in which no permit of the
  /// account was issued here or elsewhere.
  void credit(Duration Time);
  /// Takes up to \p Count permits and returns how many.
  unsigned take(unsigned Count, TimePoint Now);
  /// Returns when the caller, to whom a permit was denied, may ask again. Each
  /// caller gets a later time than the one before, at most MaxRetryDelay from
  /// now, so that not all come back for the same permit.
  Duration reserveRetry(TimePoint Now);

private:
  static constexpr Duration MaxRetryDelay = std::chrono::seconds(1);

  void fill(TimePoint Now);

  LimitShare Share;
  double Permits = 0;
  TimePoint FilledAt;
  TimePoint LastRetryAt;
};

} // namespace cicadawind

#endif
