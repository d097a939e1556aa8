#ifndef CICADAWIND_PROXY_PROXYSTATE_H
#define CICADAWIND_PROXY_PROXYSTATE_H

#include "Config/ProxyConfig.h"
#include "Core/Clock.h"
#include "Core/Result.h"
#include "Links/TargetChanges.h"
#include "Links/TargetDeparture.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadawind {

/// \class ProxyState
/// \brief The configuration and targets that a VM has applied, as it sends them
/// to its peers, or what has changed since the state that a peer has.
struct ProxyState {
  /// Its version is 0 if the peer has it already.
  ProxyConfig Config;
  /// All targets, or those that have changed since Base.
  std::vector<TargetEntry> Targets;
  /// Revision of the store that Targets reflects; 0 if it was never read.
  std::uint64_t TargetsRevision = 0;
  /// Hash of the whole list of targets.
  std::uint64_t TargetsHash = 0;
  /// Revision of the list that the changes apply to; empty if Targets is the
  /// whole list.
  std::optional<std::uint64_t> Base;
  /// Targets that have been removed since Base.
  std::vector<std::string> Removed;
};

/// Encodes \p State in CBOR, for peers that run the same release.
std::string encodeState(const ProxyState &State);

/// Inverse of encodeState; fails with BadRequest if \p Bytes are malformed.
/// Ages are counted back from \p EncodedAt, at or before which the peer encoded
/// the state.
Result<ProxyState> decodeState(const std::string &Bytes,
                               TimePoint EncodedAt = BootClock::now());

/// Encodes since when targets leave, as ages at \p Now, in CBOR.
std::string encodeDepartures(const std::vector<TargetDeparture> &Departures,
                             TimePoint Now);

/// Inverse of encodeDepartures; see decodeState.
Result<std::vector<TargetDeparture>> decodeDepartures(const std::string &Bytes,
                                                      TimePoint EncodedAt);

} // namespace cicadawind

#endif
