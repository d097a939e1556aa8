#include "Config/NewerConfigs.h"

namespace cicadawind {

bool NewerConfigs::record(std::uint64_t Version, std::uint64_t Active,
                          const std::string &From, TimePoint Now) {
  bool IsKnown = !Known.empty() && Known.rbegin()->first >= Version;
  if (Version <= Active || IsKnown)
    return false;
  Known[Version] =
      Announcement{.Version = Version, .From = From, .HeardAt = Now};
  return true;
}

void NewerConfigs::recordActive(std::uint64_t Active) {
  Known.erase(Known.begin(), Known.upper_bound(Active));
}

const NewerConfigs::Announcement *NewerConfigs::earliest() const {
  return Known.empty() ? nullptr : &Known.begin()->second;
}

const NewerConfigs::Announcement *NewerConfigs::highest() const {
  return Known.empty() ? nullptr : &Known.rbegin()->second;
}

} // namespace cicadawind
