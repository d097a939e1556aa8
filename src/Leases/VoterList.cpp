#include "Leases/VoterList.h"

#include <algorithm>

namespace cicadawind {

void VoterList::recordContact(const std::string &Vm, bool IsLeaving,
                              TimePoint Now) {
  if (Vm == Opts.OwnVm)
    return;
  if (!FirstContactAt)
    FirstContactAt = Now;
  Entry &Each = Entries[Vm];
  Each.SeenAt = Now;
  if (!IsLeaving)
    Each.LeavingSince.reset();
  else if (!Each.LeavingSince)
    Each.LeavingSince = Now;
}

void VoterList::recordNamed(const std::string &Vm, TimePoint ContactAt,
                            TimePoint Now) {
  if (Vm == Opts.OwnVm)
    return;
  Entry &Each = Entries[Vm];
  Each.SeenAt = std::max(Each.SeenAt.value_or(Now), ContactAt);
}

void VoterList::recordListed(const std::string &Vm) { Entries.try_emplace(Vm); }

bool VoterList::counts(const Entry &Each, TimePoint Now) const {
  if (Each.LeavingSince)
    return Now - *Each.LeavingSince < Opts.LeavingLifetime;
  if (Each.SeenAt)
    return Now - *Each.SeenAt < Opts.ForgetAfter;
  return !FirstContactAt || Now - *FirstContactAt < Opts.ListedLifetime;
}

std::set<std::string> VoterList::voters(TimePoint Now) const {
  std::set<std::string> Out{Opts.OwnVm};
  for (const auto &[Vm, Each] : Entries)
    if (counts(Each, Now))
      Out.insert(Vm);
  return Out;
}

} // namespace cicadawind
