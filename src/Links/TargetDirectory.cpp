#include "Links/TargetDirectory.h"

#include <algorithm>

namespace cicadawind {

void TargetDirectory::applyList(const std::vector<TargetEntry> &Listed,
                                TimePoint Now) {
  std::map<std::string, const TargetEntry *> ByName;
  for (const TargetEntry &Entry : Listed)
    ByName[Entry.Instance] = &Entry;
  for (auto It = Entries.begin(); It != Entries.end();) {
    bool IsListed = ByName.count(It->first) != 0;
    if (!IsListed && It->second.Entry.Leaving) {
      It = Entries.erase(It);
      continue;
    }
    if (!IsListed && !It->second.MissingSince)
      It->second.MissingSince = Now;
    ++It;
  }
  for (const auto &[Name, Entry] : ByName) {
    TargetEntry &Known = Entries[Name].Entry;
    Known = *Entry;
    Known.LeavingSince = recordLeaving(Known, Now);
    Known.Leaving = Known.LeavingSince.has_value();
    Entries[Name].MissingSince.reset();
  }
  expire(Now);
}

std::optional<TimePoint>
TargetDirectory::recordLeaving(const TargetEntry &Entry, TimePoint Now) {
  auto Found = Departures.find(Entry.Instance);
  bool IsKnown = Found != Departures.end() &&
                 Found->second.Incarnation == Entry.Incarnation;
  if (!Entry.Leaving) {
    if (!IsKnown)
      return std::nullopt;
    if (Entry.Incarnation != 0)
      return Found->second.Since;
    // Without an incarnation a target that has started again looks the same.
    Departures.erase(Found);
    return std::nullopt;
  }
  TimePoint Since = Entry.LeavingSince.value_or(Now);
  if (IsKnown)
    Since = std::min(Since, Found->second.Since);
  Departures[Entry.Instance] = {.Incarnation = Entry.Incarnation,
                                .Since = Since};
  return Since;
}

bool TargetDirectory::expire(TimePoint Now) {
  std::size_t Before = Entries.size();
  for (auto It = Entries.begin(); It != Entries.end();) {
    const std::optional<TimePoint> &Since = It->second.MissingSince;
    bool IsExpired = Since && Now - *Since > Opts.MissingRetention;
    It = IsExpired ? Entries.erase(It) : std::next(It);
  }
  return Entries.size() != Before;
}

std::vector<TargetEntry> TargetDirectory::listed() const {
  std::vector<TargetEntry> Out;
  for (const auto &[Name, Each] : Entries)
    if (!Each.MissingSince)
      Out.push_back(Each.Entry);
  return Out;
}

std::vector<TargetEntry>
TargetDirectory::ofGroup(const std::string &Group) const {
  std::vector<TargetEntry> Out;
  for (const auto &[Name, Each] : Entries)
    if (Each.Entry.Group == Group)
      Out.push_back(Each.Entry);
  return Out;
}

} // namespace cicadawind
