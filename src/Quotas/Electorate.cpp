#include "Quotas/Electorate.h"

#include "Quotas/IssuerOrder.h"

#include <algorithm>
#include <utility>

namespace cicadawind {

std::size_t Electorate::majorityOf(std::size_t Voters) {
  constexpr std::size_t MaxOfPlainMajority = 3;
  if (Voters <= MaxOfPlainMajority)
    return Voters / 2 + 1;
  return (Voters + 1) / 2 + 1;
}

std::size_t Electorate::votesNeeded(unsigned Partition) const {
  std::size_t Majority = majorityOf(votersOf(Partition).size());
  return isOfTwo() ? 2 : Majority;
}

std::optional<std::size_t> Electorate::votesNeededWithWitness() const {
  if (!isOfTwo())
    return std::nullopt;
  return 1;
}

std::size_t Electorate::countMembers(const std::set<std::string> &Live) const {
  return 1 + static_cast<std::size_t>(std::count_if(
                 Members.begin(), Members.end(), [&](const std::string &Vm) {
                   return Vm != OwnVm && Live.count(Vm) > 0;
                 }));
}

void Electorate::update(std::set<std::string> Known,
                        const std::set<std::string> &Live,
                        const std::set<std::string> &Gone) {
  auto IsGone = [&](const std::string &Vm) { return Gone.count(Vm) > 0; };
  std::erase_if(Known, IsGone);
  Known.insert(OwnVm);
  std::erase_if(Absent, [&](const std::string &Vm) {
    return IsGone(Vm) || Known.count(Vm) > 0;
  });
  std::set<std::string> Silent = Members;
  std::erase_if(Silent, [&](const std::string &Vm) {
    return IsGone(Vm) || Known.count(Vm) > 0;
  });
  if (mayLeaveOut(Silent, Known, Live, Gone))
    Absent.merge(Silent);
  else
    Known.merge(Silent);
  setMembers(std::move(Known));
}

bool Electorate::mayLeaveOut(const std::set<std::string> &Silent,
                             const std::set<std::string> &Known,
                             const std::set<std::string> &Live,
                             const std::set<std::string> &Gone) const {
  std::size_t Before = 0;
  std::size_t Reached = 0;
  for (const std::string &Vm : Members) {
    if (Gone.count(Vm) > 0)
      continue;
    ++Before;
    Reached += Vm == OwnVm || Live.count(Vm) > 0 ? 1 : 0;
  }
  // All that may be elsewhere while a majority of Known chooses an issuer.
  std::size_t All = Known.size() + Absent.size() + Silent.size();
  std::size_t Elsewhere = All - majorityOf(Known.size());
  return Reached >= majorityOf(Before) && Elsewhere < majorityOf(All);
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
