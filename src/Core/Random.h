#ifndef CICADAWIND_CORE_RANDOM_H
#define CICADAWIND_CORE_RANDOM_H

#include <cstdint>
#include <functional>
#include <string_view>

namespace cicadawind {

/// Source of uniformly distributed 64-bit numbers. Passed as an argument, so
/// that a test can fix the seed.
using RandomSource = std::function<std::uint64_t()>;

/// Maps \p Random to the interval [0, 1).
inline double toUnit(std::uint64_t Random) {
  return static_cast<double>(Random >> 11) * 0x1.0p-53;
}

/// Combines \p A and \p B into a uniformly distributed hash, with the finalizer
/// of SplitMix64.
constexpr std::uint64_t hashCombine(std::uint64_t A, std::uint64_t B) {
  std::uint64_t X = A ^ (B + 0x9e3779b97f4a7c15ULL + (A << 6) + (A >> 2));
  X = (X ^ (X >> 30)) * 0xbf58476d1ce4e5b9ULL;
  X = (X ^ (X >> 27)) * 0x94d049bb133111ebULL;
  return X ^ (X >> 31);
}

/// Returns a hash of \p Text that is the same on all VMs and in all releases.
constexpr std::uint64_t hashText(std::string_view Text) {
  std::uint64_t Hash = Text.size();
  for (char C : Text)
    Hash = hashCombine(Hash, static_cast<unsigned char>(C));
  return Hash;
}

} // namespace cicadawind

#endif
