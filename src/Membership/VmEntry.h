#ifndef CICADAWIND_MEMBERSHIP_VMENTRY_H
#define CICADAWIND_MEMBERSHIP_VMENTRY_H

#include <cstdint>
#include <string>

namespace cicadawind {

/// \class VmEntry
/// \brief One VM of the system: where it is and how to reach its daemons.
struct VmEntry {
  std::string Vm;
  std::string FailureDomain;
  std::string Region;
  /// Peer addresses, "ip:port", of the VM's daemons.
  std::string RouterPeer;
  std::string PoolerPeer;
  /// Set once the VM has announced its departure; never unset for an
  /// incarnation.
  bool Leaving = false;
  /// Grows with every start of the VM's daemons.
  std::uint64_t Incarnation = 0;

  bool operator==(const VmEntry &) const = default;
};

} // namespace cicadawind

#endif
