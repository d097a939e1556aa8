#ifndef CICADAWIND_MEMBERSHIP_VMENTRY_H
#define CICADAWIND_MEMBERSHIP_VMENTRY_H

#include <cstdint>
#include <string>

namespace cicadawind {

/// \class VmEntry
/// \brief Location of one VM of the system, and addresses of its daemons.
struct VmEntry {
  std::string Vm;
  std::string FailureDomain;
  std::string Region;
  /// Peer addresses, "ip:port", of the VM's daemons.
  std::string RouterPeer;
  std::string PoolerPeer;
  /// Whether the VM has announced that it is leaving. Never reset within an
  /// incarnation.
  bool Leaving = false;
  /// Number that increases with every start of the VM's daemons. Also
  /// increased while they run if a peer holds an entry that supersedes the
  /// VM's own.
  std::uint64_t Incarnation = 0;
  /// Whether the VM had only just started when it wrote its entry into the
  /// store, and may not have stayed. Not part of what VMs tell each other.
  bool Provisional = false;

  bool operator==(const VmEntry &) const = default;
};

} // namespace cicadawind

#endif
