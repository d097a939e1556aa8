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
                        const std::set<std::string> &Live,
                        const std::set<std::string> &Gone) {
  auto IsGone = [&](const std::string &Vm) { return Gone.count(Vm) > 0; };
  std::set<std::string> Before = Members;
  std::erase_if(Before, IsGone);
  std::erase_if(Known, IsGone);
  Known.insert(OwnVm);
  auto Reached = static_cast<std::size_t>(
      std::count_if(Before.begin(), Before.end(), [&](const std::string &Vm) {
        return Vm == OwnVm || Live.count(Vm) > 0;
      }));
  if (!Before.empty() && Reached < majorityOf(Before.size()))
    Known.insert(Before.begin(), Before.end());
  setMembers(std::move(Known));
}

void Electorate::setMembers(std::set<std::string> Next) {
  if (Next == Members)
    return;
  Members = std::move(Next);
  for (unsigned Partition = 0; Partition < QuotaPartitions; ++Partition) {
    Voters[Partition] =
        inIssuerOrder({Members.begin(), Members.end()}, Partition);
    Voters[Partition].resize(std::min(Members.size(), MaxVoters));
  }
}

} // namespace cicadawind
