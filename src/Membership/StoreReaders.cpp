#include "Membership/StoreReaders.h"

#include "Core/Random.h"

#include <algorithm>
#include <cassert>

namespace cicadawind {

StoreReaders::StoreReaders(Options NewOpts, TimePoint Start)
    : Opts(std::move(NewOpts)), OwnHash(hashText(Opts.OwnVm)),
      StartedAt(Start) {
  assert(Opts.ReadersPerDomain > 0 && "someone has to read the store");
}

void StoreReaders::setPeers(const std::vector<VmEntry> &Live, TimePoint Now) {
  if (!Rank)
    KnownSince = Now;
  Rank = std::count_if(Live.begin(), Live.end(), [&](const VmEntry &Each) {
    return Each.FailureDomain == Opts.FailureDomain &&
           hashText(Each.Vm) < OwnHash;
  });
}

void StoreReaders::recordRead(std::uint32_t VmHash, TimePoint At) {
  if (VmHash == static_cast<std::uint32_t>(OwnHash))
    return;
  TimePoint &Last = ReadAt.try_emplace(VmHash, At).first->second;
  Last = std::max(Last, At);
  LastRead = std::max(LastRead.value_or(At), At);
}

void StoreReaders::recordFailure(TimePoint Now) { LastFailure = Now; }

TimePoint StoreReaders::waitsSince() const {
  TimePoint Out = KnownSince;
  if (LastRead)
    Out = std::max(Out, *LastRead);
  if (LastFailure)
    Out = std::max(Out, *LastFailure);
  return Out;
}

bool StoreReaders::mayRead(TimePoint Now) const {
  if (!Rank) {
    auto Spread = std::chrono::duration_cast<Duration>(toUnit(OwnHash) *
                                                       Opts.FirstSpread);
    return Now - StartedAt >= Opts.FirstDelay + Spread;
  }
  if (*Rank < Opts.ReadersPerDomain)
    return true;
  Duration Timeout = LastRead ? Opts.SilenceTimeout : Opts.StartTimeout;
  Duration Wait = Timeout + std::min(*Rank, Opts.MaxRank) * Opts.RankDelay;
  return Now - waitsSince() >= Wait;
}

std::vector<ContactAge> StoreReaders::latestReads(TimePoint Now) const {
  std::vector<ContactAge> Out;
  for (const auto &[Hash, At] : ReadAt)
    if (Now - At < Opts.SilenceTimeout)
      Out.push_back({.VmHash = Hash, .Age = toMillis(Now - At)});
  std::size_t Count = std::min(Out.size(), Opts.MaxReads);
  auto End = Out.begin() + static_cast<std::ptrdiff_t>(Count);
  std::partial_sort(
      Out.begin(), End, Out.end(),
      [](const ContactAge &A, const ContactAge &B) { return A.Age < B.Age; });
  Out.resize(Count);
  return Out;
}

} // namespace cicadawind
