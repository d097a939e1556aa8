#ifndef CICADAWIND_SETTINGS_DAEMONSETTINGS_H
#define CICADAWIND_SETTINGS_DAEMONSETTINGS_H

#include "Core/Clock.h"
#include "Core/Result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cicadawind {

/// \class DaemonSettings
/// \brief Settings of one VM's router and pooler, read from a TOML file when
/// they start.
struct DaemonSettings {
  std::string Vm;
  std::string FailureDomain;
  std::string Region;
  /// Directory of the state charts.
  std::string Charts;
  std::string LogLevel;
  /// File that trace spans are appended to; empty if none are written.
  std::string TraceFile;

  /// IP address that the daemons listen on.
  std::string Address;
  std::uint16_t CallerPort = 0;
  std::uint16_t RouterPeerPort = 0;
  std::uint16_t PoolerPeerPort = 0;

  /// Address of the platform's service, "ip:port".
  std::string Platform;
  /// Addresses of peers, "ip:port", with which a daemon exchanges the list of
  /// VMs and the configuration at start, and later whenever it suspects every
  /// peer that it knows.
  std::vector<std::string> Seeds;

  /// Contents of the key files. The session keys have the order in which the
  /// settings name their files.
  std::vector<std::string> SessionKeys;
  std::string OperatorKey;
  std::string PeerKey;

  /// Time since the last contact with a primary after which it is considered
  /// failed and is replaced.
  Millis SuspectAfter = Millis::zero();

  std::size_t MaxBodyBytes = 0;
  std::size_t MaxConnectionsPerCaller = 0;

  /// Reads and checks the whole file. The returned error lists every validation
  /// error with its line, key and permitted range.
  static Result<DaemonSettings> load(const std::string &Path);

  /// Returns the address at which peers reach the router, "ip:port".
  std::string routerPeer() const {
    return Address + ":" + std::to_string(RouterPeerPort);
  }
  /// Returns the address at which peers reach the pooler, "ip:port".
  std::string poolerPeer() const {
    return Address + ":" + std::to_string(PoolerPeerPort);
  }
};

} // namespace cicadawind

#endif
