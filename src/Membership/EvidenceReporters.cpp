#include "Membership/EvidenceReporters.h"

#include "Core/Random.h"

#include <algorithm>

namespace cicadawind {

EvidenceReporters::EvidenceReporters(Options NewOpts)
    : Opts(std::move(NewOpts)) {}

/// Sorts \p Vms by the order in which they report on \p Group.
static void sortFor(const std::string &Group, std::vector<VmEntry> &Vms) {
  std::uint64_t GroupHash = hashText(Group);
  auto OrderOf = [&](const VmEntry &Each) {
    return hashCombine(GroupHash, hashText(Each.Vm));
  };
  std::sort(Vms.begin(), Vms.end(), [&](const VmEntry &A, const VmEntry &B) {
    return OrderOf(A) < OrderOf(B);
  });
}

std::vector<std::string>
EvidenceReporters::firstOf(const std::vector<VmEntry> &Ordered) {
  if (Ordered.empty())
    return {};
  const VmEntry &First = Ordered.front();
  auto Second =
      std::find_if(Ordered.begin(), Ordered.end(), [&](const VmEntry &Each) {
        return Each.FailureDomain != First.FailureDomain;
      });
  if (Second != Ordered.end())
    return {First.Vm, Second->Vm};
  if (Ordered.size() > 1)
    return {First.Vm, Ordered[1].Vm};
  return {First.Vm};
}

bool EvidenceReporters::isSilent(const std::string &Group,
                                 const std::string &Vm, TimePoint Now) {
  auto It = Reporters.find({Group, Vm});
  if (It == Reporters.end() || Vm == Opts.OwnVm)
    return false;
  Reporter &Each = It->second;
  // A VM that is not asked any more has not been silent since.
  bool IsAskedStill = Each.IsAsked && Now - Each.AskedAt <= Opts.ReportTimeout;
  if (IsAskedStill && Now - Each.AskedSince > Opts.ReportTimeout)
    Each.SilentUntil = Now + Opts.SilentPeriod;
  if (!IsAskedStill || Now < Each.SilentUntil)
    Each.IsAsked = false;
  return Now < Each.SilentUntil;
}

void EvidenceReporters::recordAsked(const std::string &Group,
                                    const std::string &Vm, TimePoint Now) {
  Reporter &Each = Reporters[{Group, Vm}];
  if (!Each.IsAsked)
    Each.AskedSince = Now;
  Each.IsAsked = true;
  Each.AskedAt = Now;
}

EvidenceReporters::Choice EvidenceReporters::choose(const std::string &Group,
                                                    std::vector<VmEntry> Vms,
                                                    TimePoint Now) {
  sortFor(Group, Vms);
  std::vector<std::string> First = firstOf(Vms);
  Choice Out;
  Out.AreFirstSilent =
      std::all_of(First.begin(), First.end(), [&](const std::string &Vm) {
        return isSilent(Group, Vm, Now);
      });
  std::erase_if(
      Vms, [&](const VmEntry &Each) { return isSilent(Group, Each.Vm, Now); });
  Out.Vms = firstOf(Vms);
  return Out;
}

void EvidenceReporters::recordReport(const std::string &Group,
                                     const std::string &Vm) {
  auto It = Reporters.find({Group, Vm});
  if (It == Reporters.end())
    return;
  It->second.IsAsked = false;
  It->second.SilentUntil = TimePoint();
}

} // namespace cicadawind
