#ifndef CICADAWIND_PROXY_PROXYSERVICE_H
#define CICADAWIND_PROXY_PROXYSERVICE_H

#include "Core/Random.h"
#include "Proxy/CallerSession.h"
#include "Proxy/GroupDispatcher.h"
#include "Proxy/ProxyConfig.h"
#include "Proxy/TargetDirectory.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cicadawind {

class Metrics;

/// \class ProxyService
/// \brief All callers' sessions and all groups of one VM.
///
/// Applies configuration and the registry's targets, accepts callers, and
/// leaves in order: sessions end as they become idle, open transactions get
/// half of the grace time. Runs on the loop's thread.
class ProxyService {
public:
  struct Options {
    const StatementCodec *Codec = nullptr;
    std::string FailureDomain;
    std::string Region;
    std::map<std::string, std::string> Regions;
    RandomSource Random;
    /// Sessions accepted at once; leaves descriptors for everything else.
    std::size_t MaxSessions = 3000;
    GroupDispatcher::Options Group;
  };

  ProxyService(boost::asio::io_context &Loop, Options Opts, Metrics &Meter);
  ~ProxyService();
  ProxyService(const ProxyService &) = delete;
  ProxyService &operator=(const ProxyService &) = delete;

  /// Puts \p Config in force unless a newer version is; true when it did.
  bool applyConfig(std::shared_ptr<const ProxyConfig> Config);
  void applyTargets(const std::vector<TargetEntry> &Listed);
  /// Sets how many VMs share the targets' connections.
  void setVms(std::size_t Count);

  /// Serves a caller on \p Socket.
  void accept(boost::asio::ip::tcp::socket Socket);

  void sweep(TimePoint Now);

  /// Begins to leave within \p Grace.
  void beginDrain(Duration Grace);
  bool isDraining() const { return DrainSince.has_value(); }
  /// Whether nothing is left to wait for.
  bool isDrained() const;
  /// Whether callers can be served: a configuration is in force and its groups
  /// have targets.
  bool isReady() const;

  const ProxyConfig &config() const { return *Config; }
  std::shared_ptr<const ProxyConfig> sharedConfig() const { return Config; }
  GroupDispatcher *findGroup(const std::string &Group);
  const std::map<std::string, std::unique_ptr<GroupDispatcher>> &
  groups() const {
    return Groups;
  }
  std::size_t sessions() const { return Sessions.size(); }

private:
  void report(const RequestReport &Report);
  void updateGroups();
  void updateShares();
  void closeDropped(const ProxyConfig &Before);
  void sweepDrain(TimePoint Now);

  boost::asio::io_context &Loop;
  Options Opts;
  Metrics &Meter;
  std::shared_ptr<const ProxyConfig> Config;
  std::shared_ptr<CallerSession::Host> Host;
  TargetDirectory Directory{TargetDirectory::Options{}};
  std::map<std::string, std::unique_ptr<GroupDispatcher>> Groups;
  std::set<std::shared_ptr<CallerSession>> Sessions;
  std::size_t Vms = 1;
  std::optional<TimePoint> DrainSince;
  TimePoint DrainEnd;
};

} // namespace cicadawind

#endif
