#ifndef CICADAWIND_PLATFORM_STOREREVISION_H
#define CICADAWIND_PLATFORM_STOREREVISION_H

#include <cassert>
#include <cstdint>

namespace cicadawind {

/// \class StoreRevision
/// \brief Revision of the store that does not decrease when the store comes
/// back from an older copy.
///
/// The store's own numbers go back then and are given out again. Each such
/// return begins a new era, so a revision is an era and a number within it.
/// Both are packed into one integer, whose order is that of (Era, Number).
/// Revisions and versions of objects are passed in this form everywhere.
struct StoreRevision {
  static constexpr unsigned EraBits = 24;
  /// Enough for ten years of 3,000 changes a second.
  static constexpr unsigned NumberBits = 40;

  std::uint64_t Era = 0;
  std::uint64_t Number = 0;

  static constexpr StoreRevision unpack(std::uint64_t Packed) {
    return {.Era = Packed >> NumberBits,
            .Number = Packed & ((std::uint64_t{1} << NumberBits) - 1)};
  }
  /// Returns whether the revision can be packed.
  constexpr bool isValid() const {
    return Era >> EraBits == 0 && Number >> NumberBits == 0;
  }
  constexpr std::uint64_t pack() const {
    assert(isValid() && "the parts must fit their bits");
    return Era << NumberBits | Number;
  }
};

} // namespace cicadawind

#endif
