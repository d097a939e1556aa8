#ifndef CICADAWIND_PROXY_PROXYSTATE_H
#define CICADAWIND_PROXY_PROXYSTATE_H

#include "Config/ProxyConfig.h"
#include "Core/Result.h"
#include "Links/TargetEntry.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cicadawind {

/// \class ProxyState
/// \brief The configuration and targets that a VM has applied, as it sends them
/// to its peers.
struct ProxyState {
  ProxyConfig Config;
  std::vector<TargetEntry> Targets;
  /// Revision of the store that Targets reflects; 0 if it was never read.
  std::uint64_t TargetsRevision = 0;
};

/// Encodes \p State in CBOR, for peers that run the same release.
std::string encodeState(const ProxyState &State);

/// Inverse of encodeState; fails with BadRequest if \p Bytes are malformed.
Result<ProxyState> decodeState(const std::string &Bytes);

} // namespace cicadawind

#endif
