#ifndef CICADAWIND_PROXY_PROXYSTATUS_H
#define CICADAWIND_PROXY_PROXYSTATUS_H

#include "Core/Clock.h"

#include <nlohmann/json_fwd.hpp>

namespace cicadawind {

class PeerExchange;
class ProxyService;

/// What this VM believes, for operators: readiness, versions in force, peers,
/// and each group's primary, term and targets. Ages are in milliseconds; -1
/// stands for never. O(groups * targets).
nlohmann::json statusOf(const ProxyService &Service, const PeerExchange &Peers,
                        TimePoint Now);

} // namespace cicadawind

#endif
