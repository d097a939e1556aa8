#ifndef CICADAWIND_DAEMONS_PROXYDAEMON_H
#define CICADAWIND_DAEMONS_PROXYDAEMON_H

#include "Async/LoopTimers.h"
#include "Daemons/RateLimitDriver.h"
#include "Exchange/PeerExchange.h"
#include "Exchange/VmRegistration.h"
#include "Http/HttpServer.h"
#include "Net/TcpListener.h"
#include "Observability/Metrics.h"
#include "Promotion/PromotionDriver.h"
#include "Proxy/ProxyService.h"
#include "Relays/RelayService.h"
#include "Settings/ProxySettings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <filesystem>
#include <memory>
#include <string>

namespace cicadawind {

class ObjectWatcher;
class ObjectStore;
class PromotionService;

/// \class ProxyDaemon
/// \brief Runs the proxy process of one VM: its listeners, readiness, signals
/// and the periodic sweep that applies time limits.
///
/// Everything that it connects to is passed in: the codec, the store and the
/// promotion service as options, the configuration and the targets through
/// service(). Runs on the loop's thread.
class ProxyDaemon {
public:
  struct Options {
    ProxySettings Settings;
    /// File that the settings were read from. It is read again when it changes
    /// and after SIGHUP.
    std::string SettingsPath;
    const StatementCodec *Codec = nullptr;
    ObjectStore *Store = nullptr;
    /// Lists the VMs that are registered in the store.
    ObjectWatcher *Listings = nullptr;
    PromotionService *Promotions = nullptr;
    HttpClient *Http = nullptr;
  };

  ProxyDaemon(boost::asio::io_context &Loop, Options Opts, Metrics &Meter);
  ~ProxyDaemon();

  ProxyService &service() { return Service; }
  PeerExchange &peers() { return Peers; }
  QuotaService &quota() { return RateLimits.quota(); }
  TimerService &timers() { return Timers.service(); }

  /// Listens and serves until a planned stop has ended.
  void run();

private:
  /// Opens all ports, and waits for those that are in use. Returns false if a
  /// stop is requested meanwhile; throws if one cannot be opened.
  bool openPorts();
  std::unique_ptr<HttpServer> serveHttp(const std::string &Address,
                                        HttpHandler Handler);
  void beginPlannedStop();
  void checkSettings();
  void reloadSettings();
  void listenForSignals();
  /// Serves operators, collectors of metrics and peers.
  HttpResponse handleOperatorRequest(const HttpRequest &Request) const;
  /// Serves the active configuration without keys, to operators only.
  HttpResponse showConfig() const;
  void sweep(TimePoint Now);
  /// Keeps this VM's entry in the store, and removes those of lost VMs.
  void sweepRegistration(TimePoint Now);

  boost::asio::io_context &Loop;
  Options Opts;
  Metrics &Meter;
  LoopTimers Timers;
  ProxyService Service;
  PeerExchange Peers;
  PromotionDriver Promotions;
  RateLimitDriver RateLimits;
  VmRegistration Registration;
  RelayService Relay;
  TcpListener Callers;
  boost::asio::signal_set Signals;
  std::unique_ptr<HttpServer> ReadinessServer;
  std::unique_ptr<HttpServer> OperatorServer;
  std::unique_ptr<HttpServer> MetricsServer;
  std::filesystem::file_time_type SettingsModifiedAt;
  TimerSubscription SettingsCheckTimer;
  TimerSubscription SweepTimer;
  TimePoint NextRegistrationSweep;
};

} // namespace cicadawind

#endif
