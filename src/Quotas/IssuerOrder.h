#ifndef CICADAWIND_QUOTAS_ISSUERORDER_H
#define CICADAWIND_QUOTAS_ISSUERORDER_H

#include <string>
#include <vector>

namespace cicadawind {

/// Returns \p Vms in the order in which they become issuer of \p Partition, by
/// rendezvous hashing. The same on all VMs.
std::vector<std::string> inIssuerOrder(const std::vector<std::string> &Vms,
                                       unsigned Partition);

} // namespace cicadawind

#endif
