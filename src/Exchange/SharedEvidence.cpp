#include "Exchange/SharedEvidence.h"

#include <algorithm>

namespace cicadawind {

SharedEvidence::SharedEvidence(Options NewOpts) : Opts(NewOpts) {}

bool SharedEvidence::record(const Key &On, const Evidence &New) {
  auto [It, IsFirst] = Doubts[On].ByVm.try_emplace(New.Vm);
  if (!IsFirst && New.At <= It->second.Known.At)
    return false;
  It->second = {.Known = New, .Sequence = ++LastSequence};
  return true;
}

void SharedEvidence::recordQuery(const Key &On, EvidenceScope Scope,
                                 const std::string &Vm, std::uint64_t Number,
                                 TimePoint Now) {
  Subscription &Each = Doubts[On].Subscriptions[Vm];
  Each.Scope = Scope;
  Each.Number = Number;
  Each.AskedAt = Now;
}

std::vector<ReportedEvidence> SharedEvidence::takeList(const Doubt &On,
                                                       const std::string &Vm,
                                                       Subscription &To,
                                                       TimePoint Now) const {
  std::vector<const Numbered *> New;
  for (const auto &[Name, Each] : On.ByVm) {
    bool IsInScope = Each.Known.IsNear == (To.Scope == EvidenceScope::Region);
    bool IsFresh = Now - Each.Known.At <= Opts.EvidenceLifetime;
    if (Name != Vm && Each.Sequence > To.SentUpTo && IsInScope && IsFresh)
      New.push_back(&Each);
  }
  std::sort(New.begin(), New.end(), [](const Numbered *A, const Numbered *B) {
    return A->Sequence < B->Sequence;
  });
  New.resize(std::min(New.size(), Opts.MaxListed));
  std::vector<ReportedEvidence> Out;
  for (const Numbered *Each : New) {
    const Evidence &Known = Each->Known;
    // Rounded up, so that no evidence appears newer than it is.
    ReportedEvidence Item{.Vm = Known.Vm,
                          .Age = toMillis(Now - Known.At) + Millis(1),
                          .ReachesDirectly = Known.ReachesDirectly};
    if (Known.ContactAge)
      Item.ContactAge = toMillis(*Known.ContactAge);
    Out.push_back(std::move(Item));
    To.SentUpTo = Each->Sequence;
  }
  if (!Out.empty())
    To.SentAt = Now;
  return Out;
}

std::vector<ReportedEvidence> SharedEvidence::takeListFor(const Key &On,
                                                          const std::string &Vm,
                                                          TimePoint Now) {
  Doubt &Each = Doubts[On];
  return takeList(Each, Vm, Each.Subscriptions[Vm], Now);
}

std::vector<SharedEvidence::DueList>
SharedEvidence::takeDueLists(TimePoint Now) {
  std::vector<DueList> Out;
  for (auto &[On, Each] : Doubts)
    for (auto &[Vm, To] : Each.Subscriptions) {
      bool IsDue = Now - To.SentAt >= Opts.PassOnInterval &&
                   Now - To.AskedAt <= Opts.SubscriptionLifetime;
      if (!IsDue)
        continue;
      std::vector<ReportedEvidence> Listed = takeList(Each, Vm, To, Now);
      if (!Listed.empty())
        Out.push_back({.On = On,
                       .To = Vm,
                       .Number = To.Number,
                       .Held = Now - To.AskedAt,
                       .Listed = std::move(Listed)});
    }
  return Out;
}

bool SharedEvidence::hasSubscriptions() const {
  return std::any_of(Doubts.begin(), Doubts.end(), [](const auto &E) {
    return !E.second.Subscriptions.empty();
  });
}

void SharedEvidence::dropExpired(TimePoint Now) {
  for (auto &[On, Each] : Doubts) {
    std::erase_if(Each.ByVm, [&](const auto &E) {
      return Now - E.second.Known.At > Opts.EvidenceLifetime;
    });
    std::erase_if(Each.Subscriptions, [&](const auto &E) {
      return Now - E.second.AskedAt > Opts.SubscriptionLifetime;
    });
  }
  std::erase_if(Doubts, [](const auto &E) {
    return E.second.ByVm.empty() && E.second.Subscriptions.empty();
  });
}

} // namespace cicadawind
