#ifndef CICADAWIND_CONFIG_CONFIGCOMPARISON_H
#define CICADAWIND_CONFIG_CONFIGCOMPARISON_H

#include "Config/ConfigDifference.h"
#include "Config/ProxyConfig.h"

#include <vector>

namespace cicadawind {

/// Returns what changes as \p Next takes the place of \p InForce: first the
/// version, if it is not higher, then routes, groups, limits of callers and
/// accounts, each by name. Empty if only the version differs and is higher, or
/// nothing does. Keys are compared as texts, so both may hold digests instead
/// (see withKeyDigests). Costs O(n log n) for n entries and keys.
std::vector<ConfigDifference> compareConfigs(const ProxyConfig &InForce,
                                             const ProxyConfig &Next);

} // namespace cicadawind

#endif
