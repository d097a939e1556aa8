#ifndef CICADAWIND_CONFIG_DECODEDCONFIG_H
#define CICADAWIND_CONFIG_DECODEDCONFIG_H

#include "Config/ConfigFinding.h"
#include "Config/ProxyConfig.h"
#include "Core/Result.h"

#include <functional>
#include <string>
#include <vector>

namespace cicadawind {

/// \class DecodedConfig
/// \brief A configuration that was read from its text, and what only the text
/// shows: entries that ProxyConfig cannot hold, such as the first of two routes
/// of one database.
struct DecodedConfig {
  ProxyConfig Config;
  std::vector<ConfigFinding> Findings;
};

/// Reads a configuration from its text; returns BadRequest if it cannot be
/// read.
using ConfigDecoder =
    std::function<Result<DecodedConfig>(const std::string &Text)>;

} // namespace cicadawind

#endif
