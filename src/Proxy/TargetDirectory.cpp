#include "Proxy/TargetDirectory.h"

namespace cicadawind {

void TargetDirectory::replaceAll(const std::vector<TargetEntry> &Listed,
                                 TimePoint Now) {
  std::map<std::string, const TargetEntry *> ByName;
  for (const TargetEntry &Entry : Listed)
    ByName[Entry.Instance] = &Entry;
  for (auto It = Known.begin(); It != Known.end();) {
    bool IsListed = ByName.count(It->first) != 0;
    if (!IsListed && It->second.Entry.Leaving) {
      It = Known.erase(It);
      continue;
    }
    if (!IsListed && !It->second.MissingSince)
      It->second.MissingSince = Now;
    ++It;
  }
  for (const auto &[Name, Entry] : ByName)
    Known[Name] = Held{.Entry = *Entry};
  expire(Now);
}

bool TargetDirectory::expire(TimePoint Now) {
  std::size_t Before = Known.size();
  for (auto It = Known.begin(); It != Known.end();) {
    const std::optional<TimePoint> &Since = It->second.MissingSince;
    bool Late = Since && Now - *Since > Opts.KeepMissing;
    It = Late ? Known.erase(It) : std::next(It);
  }
  return Known.size() != Before;
}

std::vector<TargetEntry> TargetDirectory::listed() const {
  std::vector<TargetEntry> Out;
  for (const auto &[Name, Each] : Known)
    if (!Each.MissingSince)
      Out.push_back(Each.Entry);
  return Out;
}

std::vector<TargetEntry>
TargetDirectory::ofGroup(const std::string &Group) const {
  std::vector<TargetEntry> Out;
  for (const auto &[Name, Each] : Known)
    if (Each.Entry.Group == Group)
      Out.push_back(Each.Entry);
  return Out;
}

} // namespace cicadawind
