#include "Quotas/Electorate.h"

#include "Core/Random.h"
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
  Members = std::move(Known);
}

std::vector<std::string> Electorate::votersOf(unsigned Partition) const {
  std::vector<std::string> Out =
      inIssuerOrder({Members.begin(), Members.end()}, Partition);
  Out.resize(std::min(Out.size(), MaxVoters));
  return Out;
}

} // namespace cicadawind
