#include "Links/TargetDirectory.h"

#include "Core/Random.h"

namespace cicadawind {
namespace internal {

static std::uint64_t hashOf(const TargetEntry &Entry) {
  std::uint64_t Out = hashText(Entry.Instance);
  for (const std::string *Text :
       {&Entry.Group, &Entry.Address, &Entry.FailureDomain})
    Out = hashCombine(Out, hashText(*Text));
  Out = hashCombine(Out, Entry.Slots);
  Out = hashCombine(Out, Entry.Leaving ? 1 : 0);
  Out = hashCombine(Out, Entry.ClaimsPrimary ? 1 : 0);
  return hashCombine(Out, static_cast<std::uint64_t>(Entry.Incarnation));
}

} // namespace internal

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
  for (const auto &[Name, Entry] : ByName)
    Entries[Name] = TrackedEntry{.Entry = *Entry};
  expire(Now);
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

std::uint64_t TargetDirectory::listedHash() const {
  std::uint64_t Out = 0;
  for (const TargetEntry &Entry : listed())
    Out = hashCombine(Out, internal::hashOf(Entry));
  return Out;
}

} // namespace cicadawind
