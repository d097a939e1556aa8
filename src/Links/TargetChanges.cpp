#include "Links/TargetChanges.h"

#include "Core/Random.h"

#include <map>

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

std::vector<TargetEntry> applyChanges(const std::vector<TargetEntry> &Listed,
                                      const TargetChanges &Changes) {
  std::map<std::string, TargetEntry> ByName;
  for (const TargetEntry &Each : Listed)
    ByName[Each.Instance] = Each;
  for (const TargetEntry &Each : Changes.Changed)
    ByName[Each.Instance] = Each;
  for (const std::string &Name : Changes.Removed)
    ByName.erase(Name);
  std::vector<TargetEntry> Out;
  Out.reserve(ByName.size());
  for (const auto &[Name, Entry] : ByName)
    Out.push_back(Entry);
  return Out;
}

std::uint64_t hashOf(const std::vector<TargetEntry> &Listed) {
  std::uint64_t Out = 0;
  for (const TargetEntry &Entry : Listed)
    Out = hashCombine(Out, internal::hashOf(Entry));
  return Out;
}

} // namespace cicadawind
