#include "Quotas/IssuerVotes.h"

#include <algorithm>

namespace cicadawind {

bool IssuerVotes::vote(const std::string &Vm, const IssuerClaim &Claim,
                       std::size_t DomainSize, TimePoint Now) {
  constexpr std::size_t RefusedDifference = 2;
  if (Claim.Partition >= QuotaPartitions ||
      Claim.FailureDomain != Opts.FailureDomain)
    return false;
  if (Now - Opts.StartedAt < Opts.LeaseLength)
    return false;
  Vote &Given = Votes[Claim.Partition];
  bool IsSame = Given.Vm == Vm && Given.Incarnation == Claim.Incarnation;
  bool HasVote = IsSame && Now < Given.Until;
  if (!HasVote && Now < Given.Until)
    return false;
  if (!HasVote && DomainSize >= Claim.DomainSize + RefusedDifference)
    return false;
  // A claim that arrives late must not hide a later one from release().
  std::uint64_t Latest =
      IsSame ? std::max(Given.Number, Claim.Number) : Claim.Number;
  Given = {.Vm = Vm,
           .Incarnation = Claim.Incarnation,
           .Number = Latest,
           .Until = Now + Opts.LeaseLength};
  return true;
}

void IssuerVotes::release(const std::string &Vm, const IssuerRelease &Release) {
  if (Release.Partition >= QuotaPartitions ||
      Release.FailureDomain != Opts.FailureDomain)
    return;
  Vote &Given = Votes[Release.Partition];
  if (Given.Vm == Vm && Given.Incarnation == Release.Incarnation &&
      Given.Number <= Release.Number)
    Given.Until = TimePoint();
}

std::string IssuerVotes::votedFor(unsigned Partition, TimePoint Now) const {
  const Vote &Given = Votes.at(Partition);
  return Now < Given.Until ? Given.Vm : "";
}

} // namespace cicadawind
