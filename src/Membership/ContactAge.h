#ifndef CICADAWIND_MEMBERSHIP_CONTACTAGE_H
#define CICADAWIND_MEMBERSHIP_CONTACTAGE_H

#include "Core/Clock.h"

#include <cstdint>

namespace cicadawind {

/// \class ContactAge
/// \brief The time since any VM had contact with a VM that the receiver
/// probably knows, as far as the sender knows.
///
/// Names the VM by a hash, which takes a small part of its entry's size.
struct ContactAge {
  /// Lower half of hashText() of the VM's name.
  std::uint32_t VmHash = 0;
  Millis Age = Millis::zero();

  bool operator==(const ContactAge &) const = default;
};

} // namespace cicadawind

#endif
