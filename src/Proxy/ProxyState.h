#ifndef CICADAWIND_PROXY_PROXYSTATE_H
#define CICADAWIND_PROXY_PROXYSTATE_H

#include "Core/Result.h"
#include "Proxy/ProxyConfig.h"
#include "Proxy/TargetEntry.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cicadawind {

/// \class ProxyState
/// \brief What a VM knows from the store, as it tells its peers.
struct ProxyState {
  ProxyConfig Config;
  std::vector<TargetEntry> Targets;
  /// The store's revision that Targets reflects; 0 when never read.
  std::uint64_t TargetsRevision = 0;
};

/// CBOR bytes of \p State, for peers of the same release.
std::string encodeState(const ProxyState &State);

/// Inverse of encodeState; BadRequest on anything malformed.
Result<ProxyState> decodeState(const std::string &Bytes);

} // namespace cicadawind

#endif
