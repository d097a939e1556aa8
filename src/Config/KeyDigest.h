#ifndef CICADAWIND_CONFIG_KEYDIGEST_H
#define CICADAWIND_CONFIG_KEYDIGEST_H

#include "Config/ProxyConfig.h"

#include <string>

namespace cicadawind {

/// Returns a short digest of the API key \p Key, by which two lists of keys are
/// compared without showing them. \p Salt makes tables of digests that were
/// computed before useless. It does not hide a key that can be guessed.
std::string keyDigest(const std::string &Key, const std::string &Salt);

/// Returns \p Config with a digest in place of each key. Problems of the
/// accounts are left out. Costs O(routes + groups + keys).
ProxyConfig withKeyDigests(const ProxyConfig &Config, const std::string &Salt);

} // namespace cicadawind

#endif
