#ifndef CICADAWIND_CONFIG_PROXYCONFIGCHECK_H
#define CICADAWIND_CONFIG_PROXYCONFIGCHECK_H

#include "Config/ConfigDifference.h"
#include "Config/ConfigFinding.h"
#include "Config/ProxyConfig.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace cicadawind {

/// Returns what is wrong with \p Config, for operators, before they make it
/// active: settings that would leave callers unserved, entries that are never
/// used, and limits that contradict one another. Errors and warnings are in the
/// order of the entries. Costs O(routes + groups + accounts + problems), each
/// times a logarithm.
std::vector<ConfigFinding> checkConfig(const ProxyConfig &Config);

/// Returns an error if \p Differences, the result of compareConfigs(), say that
/// VMs would ignore the next version because it is not higher than the one in
/// force.
std::optional<ConfigFinding>
checkVersion(const std::vector<ConfigDifference> &Differences);

/// Returns the errors among checkConfig(), one text for each; empty if there is
/// none.
std::vector<std::string> validateConfig(const ProxyConfig &Config);

/// Number of bytes of a long name that operators are shown.
constexpr std::size_t ShownNameBytes = 60;

/// Returns \p Text as it is shown to operators: without control characters, and
/// shortened to about \p MaxBytes, with its length, if it is longer.
std::string shownText(const std::string &Text,
                      std::size_t MaxBytes = ShownNameBytes);

} // namespace cicadawind

#endif
