#include "Links/TargetHistory.h"

#include <set>

namespace cicadawind {

void TargetHistory::record(const std::vector<TargetEntry> &Listed,
                           std::uint64_t Revision) {
  if (!BeginsAt)
    BeginsAt = Revision;
  std::set<std::string> Names;
  for (const TargetEntry &Each : Listed) {
    Names.insert(Each.Instance);
    auto [It, IsNew] = Records.try_emplace(Each.Instance);
    Record &Known = It->second;
    if (!IsNew && Known.IsListed && Known.Entry == Each)
      continue;
    Known = {.Entry = Each, .IsListed = true, .ChangedAt = Revision};
  }
  for (auto &[Name, Known] : Records) {
    if (!Known.IsListed || Names.count(Name))
      continue;
    Known.IsListed = false;
    Known.ChangedAt = Revision;
  }
}

std::optional<TargetChanges>
TargetHistory::changesSince(std::uint64_t Revision) const {
  if (!BeginsAt || Revision < *BeginsAt)
    return std::nullopt;
  TargetChanges Out;
  for (const auto &[Name, Known] : Records) {
    if (Known.ChangedAt <= Revision)
      continue;
    if (Known.IsListed)
      Out.Changed.push_back(Known.Entry);
    else
      Out.Removed.push_back(Name);
  }
  return Out;
}

} // namespace cicadawind
