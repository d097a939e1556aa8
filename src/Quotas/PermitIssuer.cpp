#include "Quotas/PermitIssuer.h"

namespace cicadawind {

void PermitIssuer::setShares(Shares NewShares, TimePoint Now) {
  Accounts = std::move(NewShares);
  if (!IsIssuing)
    return;
  std::erase_if(Buckets, [this](const auto &Each) {
    return Accounts.count(Each.first) == 0;
  });
  for (const auto &[Account, Share] : Accounts)
    Buckets.try_emplace(Account, Share, Now).first->second.setShare(Share, Now);
}

void PermitIssuer::begin(TimePoint Now) {
  end();
  IsIssuing = true;
  for (const auto &[Account, Share] : Accounts)
    Buckets.try_emplace(Account, Share, Now);
}

void PermitIssuer::credit(Duration Time) {
  for (auto &[Account, Bucket] : Buckets)
    Bucket.credit(Time);
}

void PermitIssuer::end() {
  IsIssuing = false;
  Buckets.clear();
}

PermitReply::Item PermitIssuer::take(const PermitRequest::Item &Asked,
                                     TimePoint Now) {
  auto It = Buckets.find(Asked.Account);
  if (It == Buckets.end())
    return {.Granted = 0, .RetryAfter = UnknownAccountDelay};
  PermitReply::Item Out{.Granted = It->second.take(Asked.Count, Now)};
  if (Out.Granted < Asked.Count)
    Out.RetryAfter = toMillis(It->second.reserveRetry(Now)) + Millis(1);
  return Out;
}

} // namespace cicadawind
