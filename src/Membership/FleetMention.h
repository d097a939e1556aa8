#ifndef CICADAWIND_MEMBERSHIP_FLEETMENTION_H
#define CICADAWIND_MEMBERSHIP_FLEETMENTION_H

#include "Core/Clock.h"
#include "Membership/VmEntry.h"

namespace cicadawind {

/// \class FleetMention
/// \brief What one VM says of another: its entry, and the time since any VM had
/// contact with it, as far as the sender knows.
struct FleetMention {
  VmEntry Entry;
  Millis ContactAge = Millis::zero();
};

} // namespace cicadawind

#endif
