#include "Membership/ProofReporters.h"

#include "Core/Random.h"

namespace cicadawind {

ProofReporters::ProofReporters(Options NewOpts) : Opts(std::move(NewOpts)) {}

std::string
ProofReporters::chooseFor(const std::string &Group,
                          const std::vector<VmEntry> &LivePeers) const {
  std::string Out = Opts.OwnVm;
  std::uint64_t GroupHash = hashText(Group);
  std::uint64_t Least = hashCombine(GroupHash, hashText(Opts.OwnVm));
  for (const VmEntry &Each : LivePeers) {
    std::uint64_t Order = hashCombine(GroupHash, hashText(Each.Vm));
    if (Each.Region != Opts.Region || Order >= Least)
      continue;
    Least = Order;
    Out = Each.Vm;
  }
  return Out;
}

std::optional<std::string>
ProofReporters::reporterFor(const std::string &Group,
                            const std::vector<VmEntry> &LivePeers,
                            std::uint64_t LiveVersion, TimePoint Now) {
  Reporter &Current = Reporters[Group];
  if (Current.LiveVersion != LiveVersion) {
    std::string Vm = chooseFor(Group, LivePeers);
    if (Vm != Current.Vm)
      Current = {.Vm = Vm};
    Current.LiveVersion = LiveVersion;
  }
  if (Current.AskedAt && Now - *Current.AskedAt > Opts.ReportTimeout) {
    Current.SilentUntil = Now + Opts.SilentPeriod;
    Current.AskedAt.reset();
  }
  if (Current.Vm == Opts.OwnVm || Now < Current.SilentUntil)
    return std::nullopt;
  if (!Current.AskedAt)
    Current.AskedAt = Now;
  return Current.Vm;
}

void ProofReporters::recordReport(const std::string &Group,
                                  const std::string &Vm) {
  auto It = Reporters.find(Group);
  if (It != Reporters.end() && It->second.Vm == Vm)
    It->second.AskedAt.reset();
}

} // namespace cicadawind
