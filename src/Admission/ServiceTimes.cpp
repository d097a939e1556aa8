#include "Admission/ServiceTimes.h"

#include "Core/Random.h"

#include <cctype>

namespace cicadawind {

std::optional<Duration> ServiceTimes::meanOf(std::uint64_t Fingerprint) const {
  auto It = ByFingerprint.find(Fingerprint);
  if (It == ByFingerprint.end())
    return std::nullopt;
  return It->second.Mean;
}

Duration ServiceTimes::expected(std::uint64_t Fingerprint) const {
  return meanOf(Fingerprint).value_or(Opts.Default);
}

void ServiceTimes::observe(std::uint64_t Fingerprint, Duration ServiceTime) {
  auto It = ByFingerprint.find(Fingerprint);
  if (It != ByFingerprint.end()) {
    Entry &Known = It->second;
    auto Change = (ServiceTime - Known.Mean) * Opts.Weight;
    Known.Mean += std::chrono::duration_cast<Duration>(Change);
    Recency.splice(Recency.begin(), Recency, Known.RecencyPosition);
    return;
  }
  Recency.push_front(Fingerprint);
  ByFingerprint[Fingerprint] =
      Entry{.Mean = ServiceTime, .RecencyPosition = Recency.begin()};
  if (ByFingerprint.size() <= Opts.MaxFingerprints)
    return;
  ByFingerprint.erase(Recency.back());
  Recency.pop_back();
}

std::uint64_t fingerprintOf(std::string_view Statement) {
  std::uint64_t Hash = 0;
  char Quote = '\0';
  char Previous = ' ';
  for (char C : Statement) {
    if (Quote != '\0') {
      if (C == Quote)
        Quote = '\0';
      continue;
    }
    if (C == '\'' || C == '"') {
      Quote = C;
      C = '?';
    }
    if (std::isdigit(static_cast<unsigned char>(C)))
      C = '#';
    if (C == '#' && Previous == '#')
      continue;
    Hash = hashCombine(Hash, static_cast<unsigned char>(C));
    Previous = C;
  }
  return Hash;
}

} // namespace cicadawind
