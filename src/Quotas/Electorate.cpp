#include "Quotas/Electorate.h"

#include "Quotas/IssuerOrder.h"

#include <algorithm>

namespace cicadawind {

std::size_t Electorate::majorityOf(std::size_t Voters) {
  constexpr std::size_t MaxOfPlainMajority = 3;
  if (Voters <= MaxOfPlainMajority)
    return Voters / 2 + 1;
  return (Voters + 1) / 2 + 1;
}

void Electorate::update(std::set<std::string> Known,
                        const std::set<std::string> &Live) {
  Known.insert(OwnVm);
  auto Reached = static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(), [&](const std::string &Vm) {
        return Vm == OwnVm || Live.count(Vm) > 0;
      }));
  if (!Members.empty() && Reached < majorityOf(Members.size()))
    Known.insert(Members.begin(), Members.end());
  if (Known == Members)
    return;
  Members = std::move(Known);
  for (unsigned Partition = 0; Partition < QuotaPartitions; ++Partition) {
    Voters[Partition] =
        inIssuerOrder({Members.begin(), Members.end()}, Partition);
    Voters[Partition].resize(std::min(Members.size(), MaxVoters));
  }
}

} // namespace cicadawind
