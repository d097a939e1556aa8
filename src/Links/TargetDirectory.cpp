#include "Links/TargetDirectory.h"

#include <algorithm>

namespace cicadawind {

void TargetDirectory::applyList(const std::vector<TargetEntry> &Listed,
                                TimePoint Now, Source From) {
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
    TrackedEntry &Tracked = Entries[Name];
    Tracked.Entry = *Entry;
    recordLeaving(Tracked, Now);
    if (From == Source::Registry && !Tracked.Entry.Leaving)
      Tracked.StayedAt = Now;
    Tracked.MissingSince.reset();
  }
  expire(Now);
}

void TargetDirectory::confirmList(TimePoint Now) {
  for (auto &[Name, Each] : Entries)
    if (Each.StayedAt && !Each.MissingSince && !Each.Entry.Leaving)
      Each.StayedAt = Now;
}

/// Returns the earlier of two times of which each may be unknown.
static std::optional<TimePoint> earlier(std::optional<TimePoint> A,
                                        std::optional<TimePoint> B) {
  if (!A || !B)
    return A ? A : B;
  return std::min(*A, *B);
}

void TargetDirectory::recordLeaving(TrackedEntry &Tracked, TimePoint Now) {
  TargetEntry &Entry = Tracked.Entry;
  auto Found = Departures.find(Entry.Instance);
  bool IsKnown = Found != Departures.end() &&
                 Found->second.Incarnation == Entry.Incarnation;
  if (!Entry.Leaving) {
    Entry.LeavingSince.reset();
    if (IsKnown && Entry.Incarnation != 0) {
      Entry.Leaving = true;
      Entry.LeavingSince = Found->second.Since;
    } else if (IsKnown) {
      // Without an incarnation a target that has started again looks the same.
      Departures.erase(Found);
    }
    return;
  }
  if (!Entry.LeavingSince && Tracked.StayedAt)
    Entry.LeavingSince = std::min(Now, *Tracked.StayedAt + Opts.ReportDelay);
  if (IsKnown)
    Entry.LeavingSince = earlier(Entry.LeavingSince, Found->second.Since);
  Departures[Entry.Instance] = {.Incarnation = Entry.Incarnation,
                                .Since = Entry.LeavingSince};
}

bool TargetDirectory::recordDeparture(const TargetDeparture &Known) {
  auto Found = Entries.find(Known.Instance);
  if (Found == Entries.end())
    return false;
  TargetEntry &Entry = Found->second.Entry;
  if (!Entry.Leaving || Entry.Incarnation != Known.Incarnation)
    return false;
  std::optional<TimePoint> Since = earlier(Entry.LeavingSince, Known.Since);
  if (Since == Entry.LeavingSince)
    return false;
  Entry.LeavingSince = Since;
  Departures[Known.Instance] = {.Incarnation = Known.Incarnation,
                                .Since = Since};
  return true;
}

std::vector<TargetDeparture> TargetDirectory::departures() const {
  std::vector<TargetDeparture> Out;
  for (const auto &[Name, Each] : Entries)
    if (Each.Entry.Leaving && Each.Entry.LeavingSince && !Each.MissingSince)
      Out.push_back({.Instance = Name,
                     .Incarnation = Each.Entry.Incarnation,
                     .Since = *Each.Entry.LeavingSince});
  return Out;
}

bool TargetDirectory::lacksDeparture() const {
  return std::any_of(Entries.begin(), Entries.end(), [](const auto &Item) {
    const TrackedEntry &Each = Item.second;
    return Each.Entry.Leaving && !Each.Entry.LeavingSince && !Each.MissingSince;
  });
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
