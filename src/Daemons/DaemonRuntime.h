#ifndef CICADAWIND_DAEMONS_DAEMONRUNTIME_H
#define CICADAWIND_DAEMONS_DAEMONRUNTIME_H

#include "Async/LoopTimers.h"
#include "Core/Random.h"
#include "Daemons/DrainController.h"
#include "Http/HttpClient.h"
#include "Http/HttpServer.h"
#include "Observability/Metrics.h"
#include "Peers/NoteSubmitter.h"
#include "Peers/PeerNode.h"
#include "Platform/PlatformClient.h"
#include "Settings/DaemonSettings.h"
#include "StateCharts/ChartSet.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cicadawind {

/// \class DaemonRuntime
/// \brief Provides what the router and the pooler have in common: event loop,
/// peers, operators' interface and drain.
///
/// The peer port serves /rpc to peers, /v1/status, /v1/drain and /v1/notes to
/// operators with the operator key, and /metrics, /livez and /readyz to anyone.
/// All hooks run on the loop's thread.
class DaemonRuntime {
public:
  struct Options {
    DaemonSettings Settings;
    ChartSet Charts;
    DaemonRole Role = DaemonRole::Router;
  };
  /// Serves the role's own paths on the peer port; returns empty for unknown
  /// ones.
  using PeerHandler =
      std::function<boost::asio::awaitable<std::optional<HttpResponse>>(
          HttpRequest)>;

  explicit DaemonRuntime(Options Opts);
  ~DaemonRuntime();

  boost::asio::io_context &loop() { return Loop; }
  HttpClient &http() { return Http; }
  PlatformClient &platform() { return Platform; }
  PeerNode &peers() { return Peers; }
  Metrics &metrics() { return Meter; }
  const DaemonSettings &settings() const { return Opts.Settings; }
  const ChartSet &charts() const { return Opts.Charts; }
  RandomSource random() const { return Random; }

  /// Sets the handler of the role's own paths.
  void setPeerHandler(PeerHandler Handler) {
    RolePeerHandler = std::move(Handler);
  }
  /// Sets the hook that returns the role's part of /v1/status.
  void setStatusHook(std::function<nlohmann::json()> Hook);
  /// Sets the role's part of the drain: \p OnBegin is called first, with the
  /// time at which the drain reaches its limit, and \p StopAccepting when the
  /// announcement time has passed. After that, the daemon stops as soon as
  /// \p IsIdle returns true.
  void setDrainHooks(std::function<void()> StopAccepting,
                     std::function<bool()> IsIdle,
                     std::function<void(TimePoint Limit)> OnBegin);

  /// Returns whether the request contains the peers' key.
  bool hasPeerKey(const HttpRequest &Request) const;

  /// Returns status 200 if the daemon can serve, otherwise 503 with the reason.
  HttpResponse readiness() const;

  /// Serves until a planned stop has ended. The stop begins on SIGTERM, SIGINT
  /// or an operator's request, or when this VM is leaving.
  void run();

private:
  boost::asio::awaitable<HttpResponse> servePeerPort(HttpRequest Request);
  boost::asio::awaitable<HttpResponse> serveOperator(HttpRequest Request);
  boost::asio::awaitable<HttpResponse> submitNote(HttpRequest Request);
  HttpResponse checkNote(const HttpRequest &Request) const;
  HttpResponse listNotes(const HttpRequest &Request) const;
  nlohmann::json statusJson() const;
  void beginDrain();
  std::uint16_t peerPort() const;

  Options Opts;
  RandomSource Random;
  boost::asio::io_context Loop;
  Metrics Meter;
  LoopTimers Timers;
  HttpClient Http;
  PlatformClient Platform;
  PeerNode Peers;
  NoteSubmitter Submitter;
  PeerHandler RolePeerHandler;
  std::function<nlohmann::json()> RoleStatus;
  std::function<void()> StopAccepting;
  std::function<bool()> IsIdle;
  std::function<void(TimePoint)> OnDrainBegin;
  std::unique_ptr<DrainController> Drain;
  std::unique_ptr<HttpServer> PeerServer;
  TimerSubscription LeavingCheckTimer;
};

} // namespace cicadawind

#endif
