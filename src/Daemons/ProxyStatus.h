#ifndef CICADAWIND_DAEMONS_PROXYSTATUS_H
#define CICADAWIND_DAEMONS_PROXYSTATUS_H

#include "Core/Clock.h"

#include <nlohmann/json_fwd.hpp>

namespace cicadawind {

class PeerExchange;
class ProxyService;

/// Returns this VM's status for operators: its readiness, the versions of its
/// configuration and list of targets, its peers, and the primary, term and
/// targets that it knows of each group. The age of a group's newest leadership
/// proof is -1 if there is none. Costs O(peers + groups * targets).
nlohmann::json statusOf(const ProxyService &Service, const PeerExchange &Peers,
                        TimePoint Now);

} // namespace cicadawind

#endif
