#ifndef CICADAWIND_SETTINGS_DAEMONSETTINGS_H
#define CICADAWIND_SETTINGS_DAEMONSETTINGS_H

#include "Core/Clock.h"
#include "Core/Result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cicadawind {

/// \class DaemonSettings
/// \brief Settings of one VM's daemons, read from a TOML file at start.
struct DaemonSettings {
  std::string Vm;
  std::string FailureDomain;
  std::string Region;
  /// Folder of the state charts.
  std::string Charts;
  std::string LogLevel;
  /// File for spans; empty writes none.
  std::string TraceFile;

  /// IP address that the daemons listen on.
  std::string Address;
  std::uint16_t CallerPort = 0;
  std::uint16_t RouterPeerPort = 0;
  std::uint16_t PoolerPeerPort = 0;

  /// "ip:port" of the platform's service.
  std::string Platform;
  /// Peer addresses to ask when the platform is away at start.
  std::vector<std::string> Seeds;

  /// Contents of the key files.
  std::vector<std::string> SessionKeys;
  std::string OperatorKey;
  std::string PeerKey;

  /// Silence of a primary after which it is replaced.
  Millis SuspectAfter = Millis::zero();

  std::size_t MaxBodyBytes = 0;
  std::size_t MaxConnectionsPerCaller = 0;

  /// Reads and checks the whole file. The error lists every fault with its
  /// line, key and permitted range.
  static Result<DaemonSettings> load(const std::string &Path);

  std::string routerPeer() const {
    return Address + ":" + std::to_string(RouterPeerPort);
  }
  std::string poolerPeer() const {
    return Address + ":" + std::to_string(PoolerPeerPort);
  }
};

} // namespace cicadawind

#endif
