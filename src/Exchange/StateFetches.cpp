#include "Exchange/StateFetches.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace cicadawind {

StateFetches::StateFetches(Options NewOpts) : Opts(std::move(NewOpts)) {
  assert(Opts.AttemptTimeout > Duration::zero() && "an attempt takes time");
  assert(Opts.HedgeDelay > Duration::zero() && "attempts must be limited");
}

bool StateFetches::isNewer(const Versions &Offered, const OwnState &Own) {
  bool HasNewerTargets = !Own.ReadsStore &&
                         Offered.TargetsRevision > Own.Has.TargetsRevision &&
                         Offered.TargetsHash != Own.Has.TargetsHash;
  return Offered.Config > Own.Has.Config || HasNewerTargets;
}

bool StateFetches::isNear(const Offer &Each) const {
  return Each.FailureDomain == Opts.FailureDomain;
}

void StateFetches::recordOffer(const Offer &Newer, TimePoint Now) {
  auto [It, IsNew] = Sources.try_emplace(Newer.Vm);
  if (IsNew)
    It->second.Since = Now;
  It->second.Last = Newer;
  It->second.LastOfferAt = Now;
}

std::optional<StateFetches::Attempt>
StateFetches::startNext(const OwnState &Own, TimePoint Now) {
  std::erase_if(Sources, [&](const auto &Each) {
    return !isNewer(Each.second.Last.Has, Own);
  });
  bool IsHedged =
      std::all_of(Running.begin(), Running.end(), [&](const auto &Each) {
        return Now - Each.second >= Opts.HedgeDelay;
      });
  const Source *Chosen = IsHedged ? choose(Own, Now) : nullptr;
  if (!Chosen)
    return std::nullopt;
  Running[Chosen->Last.Vm] = Now;
  return Attempt{.Vm = Chosen->Last.Vm,
                 .Address = Chosen->Last.Address,
                 .Timeout = Opts.AttemptTimeout};
}

Duration StateFetches::delayOf(const Source &Each, const OwnState &Own) const {
  if (Own.ReadsStore)
    return Opts.StoreDelay;
  if (isNear(Each.Last))
    return Duration::zero();
  bool HasNewerConfig = Each.Last.Has.Config > Own.Has.Config;
  return HasNewerConfig ? Opts.RemoteConfigDelay : Opts.RemoteTargetsDelay;
}

bool StateFetches::isDue(const Source &Each, const OwnState &Own,
                         TimePoint Now) const {
  return Now - Each.Since >= delayOf(Each, Own) && Now >= Each.RetryAt;
}

bool StateFetches::isBetter(const Source &A, const Source &B) const {
  auto Rank = [this](const Source &Each) {
    return std::tuple(!Each.HasFailed, isNear(Each.Last), Each.LastOfferAt);
  };
  return Rank(A) > Rank(B);
}

const StateFetches::Source *StateFetches::choose(const OwnState &Own,
                                                 TimePoint Now) const {
  const Source *Best = nullptr;
  for (const auto &[Vm, Each] : Sources) {
    if (Running.count(Vm) || !isDue(Each, Own, Now))
      continue;
    if (!Best || isBetter(Each, *Best))
      Best = &Each;
  }
  return Best;
}

void StateFetches::recordEnd(const std::string &Vm, bool HasSucceeded,
                             TimePoint Now) {
  auto Ended = Running.extract(Vm);
  assert(Ended && "only an attempt that was started ends");
  auto It = Sources.find(Vm);
  if (It == Sources.end())
    return;
  Source &Asked = It->second;
  Asked.HasFailed = !HasSucceeded;
  if (!HasSucceeded)
    Asked.RetryAt = Now + Opts.RetryDelay;
  else if (Asked.LastOfferAt <= Ended.mapped())
    // What it offered has arrived. If that cannot be used, another offer is
    // needed.
    Sources.erase(It);
}

} // namespace cicadawind
