#ifndef CICADAWIND_SETTINGS_PROXYSETTINGS_H
#define CICADAWIND_SETTINGS_PROXYSETTINGS_H

#include "Core/Clock.h"
#include "Core/Result.h"
#include "Quotas/RateTolerance.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cicadawind {

/// \class ProxySettings
/// \brief Settings of one VM's proxy, read from a TOML file when the proxy
/// starts and when it is told to reload them.
struct ProxySettings {
  std::string Vm;
  std::string FailureDomain;
  std::string Region;
  /// Region of each failure domain.
  std::map<std::string, std::string> Regions;
  std::string LogLevel;

  /// IP address at which other VMs reach this VM.
  std::string Address;
  /// IP address on which this VM listens for other VMs. Differs from Address
  /// where they reach it through a relay or a translation of addresses.
  std::string BindAddress;
  /// Address that callers connect to, "ip:port".
  std::string CallerAddress;
  /// Address at which the load balancer asks whether this VM accepts callers,
  /// "ip:port".
  std::string ReadinessAddress;
  /// Address for operators, "ip:port"; empty if operators are not served.
  std::string OperatorAddress;
  /// Address that serves the metrics, "ip:port"; empty if they are not served.
  std::string Metrics;

  /// First of the ports for communication between VMs; the same on all VMs.
  std::uint16_t PeerPort = 0;
  /// The port after PeerPort, on which this VM accepts connections that it
  /// relays to targets for other VMs.
  std::uint16_t RelayPort = 0;
  /// Addresses of some VMs, "ip:port", by which the proxy finds its peers. Only
  /// the IP addresses are used; peers listen on PeerPort.
  std::vector<std::string> Seeds;

  /// Address of the platform's store, "ip:port".
  std::string StoreAddress;
  /// Address of the platform's promotion service, "ip:port".
  std::string PromotionAddress;
  /// Whether the platform refuses promotions with an outdated fencing token and
  /// stops a primary that was replaced. If not, VMs use a primary only under a
  /// lease, which is safe in either case.
  bool PlatformFences = false;
  /// Length of the lease on using a primary; unused if PlatformFences.
  Millis LeaseLength = Millis(1000);

  /// Time for which a target that leaves still receives new requests.
  Millis TargetDrainTime = std::chrono::seconds(7);
  /// Whether statements begin slowly at a target that has just started or
  /// recovered.
  bool SlowStart = false;

  /// Whether a few VMs pool a target's connections for all VMs where an equal
  /// share would be smaller than the number of the target's slots. If not, they
  /// do so only where the target accepts fewer connections than there are VMs.
  bool PoolsScarceConnections = false;

  /// Limit on the process's open file descriptors; the largest number of
  /// sessions is derived from it.
  std::size_t MaxDescriptors = 0;
  /// By how much operators let client accounts exceed their rate limits.
  RateTolerance LimitTolerance;
  /// Time between the request to stop and the moment when the platform kills
  /// the process.
  Millis TerminationGracePeriod = std::chrono::seconds(6);

  /// Keys of the settings that differ, separated by spaces.
  struct Changes {
    /// Settings whose change takes effect at once.
    std::string Applied;
    /// Settings whose change takes effect when the proxy is restarted.
    std::string AtRestart;
  };
  /// Returns the settings that differ between this and \p Newer.
  Changes changesTo(const ProxySettings &Newer) const;

  /// Reads and checks the whole file. The returned error lists every validation
  /// error with its line, key and permitted range.
  static Result<ProxySettings> load(const std::string &Path);

  /// Parses and checks the TOML \p Text; \p Origin names its file in errors.
  static Result<ProxySettings> parse(const std::string &Text,
                                     const std::string &Origin);
};

} // namespace cicadawind

#endif
