#include "Quotas/IssuerOrder.h"

#include "Core/Random.h"

#include <algorithm>
#include <utility>

namespace cicadawind {

std::vector<std::string> inIssuerOrder(const std::vector<std::string> &Vms,
                                       unsigned Partition) {
  std::vector<std::pair<std::uint64_t, std::string>> Ranked;
  Ranked.reserve(Vms.size());
  for (const std::string &Vm : Vms)
    Ranked.emplace_back(hashCombine(hashText(Vm), Partition), Vm);
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<std::string> Out;
  Out.reserve(Ranked.size());
  for (auto &[Hash, Vm] : Ranked)
    Out.push_back(std::move(Vm));
  return Out;
}

} // namespace cicadawind
