#include "Leases/VoterList.h"

#include <algorithm>

namespace cicadawind {

void VoterList::recordContact(const std::string &Vm, bool IsLeaving,
                              TimePoint Now) {
  if (Vm == Opts.OwnVm)
    return;
  if (!FirstContactAt)
    FirstContactAt = Now;
  Entries[Vm].SeenAt = Now;
  recordLeaving(Vm, IsLeaving, Now);
}

void VoterList::recordLeaving(const std::string &Vm, bool IsLeaving,
                              TimePoint Now) {
  auto Known = Entries.find(Vm);
  if (Known == Entries.end())
    return;
  std::optional<TimePoint> &Since = Known->second.LeavingSince;
  if (!IsLeaving)
    Since.reset();
  else if (!Since)
    Since = Now;
}

void VoterList::recordNamed(const std::string &Vm, TimePoint ContactAt,
                            TimePoint Now) {
  if (Vm == Opts.OwnVm)
    return;
  Entry &Each = Entries[Vm];
  Each.SeenAt = std::max(Each.SeenAt.value_or(Now), ContactAt);
}

void VoterList::recordListed(const std::string &Vm, bool IsProvisional) {
  Entries[Vm].IsProvisional = IsProvisional;
}

bool VoterList::counts(const Entry &Each, TimePoint Now,
                       const Lifetimes &Times) const {
  if (Each.LeavingSince)
    return Now - *Each.LeavingSince < Times.LeavingLifetime;
  if (Each.SeenAt)
    return Now - *Each.SeenAt < Times.ForgetAfter;
  if (Each.IsProvisional && !Times.CountsProvisional)
    return false;
  return !FirstContactAt || Now - *FirstContactAt < Times.ListedLifetime;
}

std::set<std::string> VoterList::voters(TimePoint Now,
                                        const Lifetimes &Times) const {
  std::set<std::string> Out{Opts.OwnVm};
  for (const auto &[Vm, Each] : Entries)
    if (counts(Each, Now, Times))
      Out.insert(Vm);
  return Out;
}

std::set<std::string> VoterList::departed(TimePoint Now, Duration Age) const {
  std::set<std::string> Out;
  for (const auto &[Vm, Each] : Entries)
    if (Each.LeavingSince && Now - *Each.LeavingSince >= Age)
      Out.insert(Vm);
  return Out;
}

} // namespace cicadawind
