#ifndef CICADAWIND_CONFIG_PROXYCONFIGCHECK_H
#define CICADAWIND_CONFIG_PROXYCONFIGCHECK_H

#include "Config/ProxyConfig.h"

#include <string>
#include <vector>

namespace cicadawind {

/// Returns the validation errors of \p Config, one text for each setting that
/// would leave callers unserved; empty if there is none. For operators, before
/// they make a configuration active.
std::vector<std::string> validateConfig(const ProxyConfig &Config);

} // namespace cicadawind

#endif
