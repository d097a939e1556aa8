#ifndef CICADAWIND_DAEMONS_CONFIGPAGE_H
#define CICADAWIND_DAEMONS_CONFIGPAGE_H

#include "Config/ProxyConfig.h"
#include "Core/Result.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace cicadawind {

/// \class ConfigPage
/// \brief A configuration as a VM shows it to operators: with digests in place
/// of API keys.
struct ConfigPage {
  /// Holds digests made with Salt in place of keys, see withKeyDigests().
  ProxyConfig Config;
  std::string Salt;
};

/// Path under which a proxy serves the page on the operators' address.
extern const char *const ConfigPagePath;

/// Returns a salt for one page.
std::string makeSalt();

/// Returns the page of \p Config, with digests made with \p Salt in place of
/// keys. Costs O(routes + groups + keys).
nlohmann::json configPageOf(const ProxyConfig &Config, const std::string &Salt);

/// Inverse of configPageOf(); fails with BadRequest if \p Page has another
/// form.
Result<ConfigPage> readConfigPage(const nlohmann::json &Page);

} // namespace cicadawind

#endif
