#include "Quotas/IssuerDirectory.h"

#include "Quotas/IssuerOrder.h"

#include <algorithm>

namespace cicadawind {

void IssuerDirectory::setVms(
    std::map<std::string, std::vector<std::string>> LiveVms) {
  Vms = std::move(LiveVms);
  Orders.clear();
  std::erase_if(Named, [this](const auto &Each) {
    return !isLive(Each.first.first, Each.second);
  });
  std::erase_if(Suspicions, [this](const auto &Each) {
    return std::none_of(Vms.begin(), Vms.end(), [&](const auto &Domain) {
      return isLive(Domain.first, Each.first);
    });
  });
}

bool IssuerDirectory::isLive(const std::string &Domain,
                             const std::string &Vm) const {
  auto It = Vms.find(Domain);
  return It != Vms.end() && std::find(It->second.begin(), It->second.end(),
                                      Vm) != It->second.end();
}

bool IssuerDirectory::isSuspected(const std::string &Vm, TimePoint Now) const {
  auto It = Suspicions.find(Vm);
  return It != Suspicions.end() && Now < It->second.Until;
}

void IssuerDirectory::recordSilence(const std::string &Vm, TimePoint Now) {
  Suspicion &Each = Suspicions[Vm];
  Each.Length =
      std::clamp(2 * Each.Length, Opts.FirstSuspicion, Opts.MaxSuspicion);
  Each.Until = Now + Each.Length;
}

std::string IssuerDirectory::choose(const std::string &Domain,
                                    unsigned Partition,
                                    const std::set<std::string> &Tried,
                                    TimePoint Now) {
  auto MayBeAsked = [&](const std::string &Vm) {
    return !Vm.empty() && Tried.count(Vm) == 0 && !isSuspected(Vm, Now);
  };
  auto Issuer = Named.find({Domain, Partition});
  if (Issuer != Named.end() && MayBeAsked(Issuer->second))
    return Issuer->second;
  auto [Order, IsNew] = Orders.try_emplace({Domain, Partition});
  if (IsNew)
    Order->second = inIssuerOrder(Vms[Domain], Partition);
  for (const std::string &Vm : Order->second)
    if (MayBeAsked(Vm))
      return Vm;
  return "";
}

} // namespace cicadawind
