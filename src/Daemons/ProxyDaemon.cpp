// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Daemons/ProxyDaemon.h"

#include "Async/AsyncSignal.h"
#include "Daemons/ConfigPage.h"
#include "Daemons/HeldSignals.h"
#include "Daemons/PortOpener.h"
#include "Daemons/ProxyStatus.h"
#include "Leases/LeasedPrimaryGuard.h"
#include "Observability/Log.h"
#include "Platform/ObjectWatcher.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <random>

namespace cicadawind {
namespace internal {

static const Log Logger("daemon");
/// Interval at which timeouts and time limits are applied.
constexpr Duration SweepInterval = std::chrono::milliseconds(25);
/// Number of file descriptors that are reserved for connections to targets,
/// peers and the store, and for files. The others are for callers. If fewer
/// than twice this number are available, half of them are for callers.
constexpr std::size_t ReservedDescriptors = 700;
/// Interval at which the settings file's modification time is checked, since
/// the file may change without a SIGHUP.
constexpr Duration SettingsCheckInterval = std::chrono::seconds(2);

/// Without fencing a promotion takes longer, and one that is not needed is
/// harmless, so the primary counts as lost earlier.
constexpr Duration LeasedLostAfter = std::chrono::milliseconds(450);
constexpr Duration LeasedVetoWindow = std::chrono::milliseconds(350);

/// Interval at which the entries of VMs in the store are looked after.
constexpr Duration RegistrationSweepInterval = std::chrono::milliseconds(250);

static RandomSource seededRandom() {
  std::random_device Device;
  std::uint64_t Seed = (static_cast<std::uint64_t>(Device()) << 32) ^ Device();
  auto Engine = std::make_shared<std::mt19937_64>(Seed);
  return [Engine] { return (*Engine)(); };
}

static boost::asio::ip::tcp::endpoint endpointOf(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  return {boost::asio::ip::make_address(Text.substr(0, Colon)),
          static_cast<std::uint16_t>(std::stoi(Text.substr(Colon + 1)))};
}

static HttpServer::Options serverOptions(const std::string &Address) {
  boost::asio::ip::tcp::endpoint Endpoint = endpointOf(Address);
  HttpServer::Options Out;
  Out.Address = Endpoint.address().to_string();
  Out.Port = Endpoint.port();
  Out.MaxConnections = 64;
  return Out;
}

/// Returns the number of sessions for which there are descriptors, if the
/// settings permit \p MaxDescriptors. The limit of the process itself may be
/// lower.
static std::size_t maxSessions(std::size_t MaxDescriptors) {
  rlimit Limit = {};
  if (getrlimit(RLIMIT_NOFILE, &Limit) == 0)
    MaxDescriptors = std::min<std::size_t>(MaxDescriptors, Limit.rlim_cur);
  if (MaxDescriptors > 2 * ReservedDescriptors)
    return MaxDescriptors - ReservedDescriptors;
  return MaxDescriptors / 2;
}

static ProxyService::Options
serviceOptions(const ProxyDaemon::Options &Daemon) {
  const ProxySettings &Settings = Daemon.Settings;
  ProxyService::Options Out;
  Out.Codec = Daemon.Codec;
  Out.Vm = Settings.Vm;
  Out.FailureDomain = Settings.FailureDomain;
  Out.Region = Settings.Region;
  Out.Regions = Settings.Regions;
  Out.Random = seededRandom();
  Out.AwaitsPeers = true;
  Out.PoolsScarceConnections = Settings.PoolsScarceConnections;
  Out.Group.Leaving.ServiceTime = Settings.TargetDrainTime;
  Out.Group.Links.UsesSlowStart = Settings.SlowStart;
  if (!Settings.PlatformFences) {
    Out.Group.FailureDetector.LostAfter = LeasedLostAfter;
    Out.Group.FailureDetector.VetoWindow = LeasedVetoWindow;
    Out.Group.MakeGuard = [Length = Settings.LeaseLength,
                           StartedAt = BootClock::now()] {
      LeasedPrimaryGuard::Options Opts;
      Opts.Lease.Length = Length;
      return std::make_unique<LeasedPrimaryGuard>(Opts, StartedAt);
    };
  }
  Out.MaxSessions = maxSessions(Settings.MaxDescriptors);
  return Out;
}

/// Returns the IP addresses of texts "ip:port".
static std::vector<std::string>
addressesOf(const std::vector<std::string> &Endpoints) {
  std::vector<std::string> Out;
  Out.reserve(Endpoints.size());
  for (const std::string &Endpoint : Endpoints)
    Out.push_back(Endpoint.substr(0, Endpoint.rfind(':')));
  return Out;
}

static PeerExchange::Options peerOptions(const ProxySettings &Settings) {
  PeerExchange::Options Out;
  Out.Vm = Settings.Vm;
  Out.FailureDomain = Settings.FailureDomain;
  Out.Region = Settings.Region;
  Out.Address = Settings.Address;
  Out.BindAddress = Settings.BindAddress;
  Out.Port = Settings.PeerPort;
  Out.RelayPort = Settings.RelayPort;
  Out.SeedAddresses = addressesOf(Settings.Seeds);
  Out.Random = seededRandom();
  return Out;
}

static PromotionDriver::Options
promotionOptions(const ProxySettings &Settings) {
  PromotionDriver::Options Out;
  Out.Vm = Settings.Vm;
  Out.PlatformFences = Settings.PlatformFences;
  Out.Leased.Ballot.LeaseLength = Settings.LeaseLength;
  return Out;
}

static RateLimitDriver::Options
rateLimitOptions(const ProxySettings &Settings) {
  RateLimitDriver::Options Out;
  Out.Vm = Settings.Vm;
  Out.FailureDomain = Settings.FailureDomain;
  Out.Regions = Settings.Regions;
  Out.Random = seededRandom();
  Out.Tolerance = Settings.LimitTolerance;
  return Out;
}

} // namespace internal

ProxyDaemon::ProxyDaemon(boost::asio::io_context &Loop, Options NewOpts,
                         Metrics &Meter)
    : Loop(Loop), Opts(std::move(NewOpts)), Meter(Meter), Timers(Loop),
      Service(Loop, internal::serviceOptions(Opts), Meter),
      Peers(Loop, internal::peerOptions(Opts.Settings), *Opts.Http, Service),
      Promotions(Loop, internal::promotionOptions(Opts.Settings), Service,
                 Peers, *Opts.Store, *Opts.Promotions, Meter),
      RateLimits(Loop, internal::rateLimitOptions(Opts.Settings), Peers,
                 *Opts.Store, Meter),
      Registration({.Random = internal::seededRandom()}, *Opts.Store,
                   *Opts.Listings, Peers),
      Relay(Loop, {.Address = Opts.Settings.BindAddress,
                   .Port = Opts.Settings.RelayPort,
                   .Host = {.Codec = Opts.Codec,
                            .AcceptRelay =
                                [this](const std::string &Group,
                                       const std::string &Instance) {
                                  return Service.acceptRelay(Group, Instance);
                                }}}),
      Callers(Loop,
              {.Endpoint = internal::endpointOf(Opts.Settings.CallerAddress),
               .OnConnection =
                   [this](boost::asio::ip::tcp::socket Socket) {
                     Service.accept(std::move(Socket));
                   }}),
      Signals(Loop) {
  Peers.onRequest([this](const HttpRequest &Request) {
    return handleOperatorRequest(Request);
  });
  Service.onConfig([this] {
    Peers.announce();
    RateLimits.setAccounts(Service.config().Accounts);
  });
  Service.onTargets([this] { Peers.announce(); });
  Service.setAdmit(
      [this](const std::string &Account, TimePoint GiveUpAt,
             QuotaService::Hook OnOutcome) {
        return RateLimits.quota().admit(Account, GiveUpAt, BootClock::now(),
                                        std::move(OnOutcome));
      },
      [this](std::uint64_t Ticket) { RateLimits.quota().cancel(Ticket); },
      RateLimits.quota().firstPermitsAt());
  Opts.Listings->setWatching(false);
  Service.setQueryPeers(
      [this](const std::string &Group, const std::string &Instance) {
        Peers.queryPrimary(Group, Instance, BootClock::now());
      });
  Service.setLeaseHooks(
      [this](const std::string &Group, Term Leading) {
        Promotions.leases().requestVotes(Group, Leading);
      },
      [this](const std::string &Group) {
        return Promotions.leasePeer(Group, BootClock::now());
      },
      [this](const std::string &Vm, const std::string &Group, Term Leading) {
        Promotions.leases().requestEvidence(Vm, Group, Leading);
      });
}

ProxyDaemon::~ProxyDaemon() = default;

void ProxyDaemon::listenForSignals() {
  Signals.add(SIGTERM);
  Signals.add(SIGINT);
  Signals.add(SIGHUP);
  Signals.async_wait(
      [this](const boost::system::error_code &Code, int SignalNumber) {
        if (Code)
          return;
        if (SignalNumber == SIGHUP)
          reloadSettings();
        else
          beginPlannedStop();
        listenForSignals();
      });
}

void ProxyDaemon::checkSettings() {
  std::error_code Code;
  auto ModifiedAt = std::filesystem::last_write_time(Opts.SettingsPath, Code);
  if (Code || ModifiedAt == SettingsModifiedAt)
    return;
  SettingsModifiedAt = ModifiedAt;
  reloadSettings();
}

void ProxyDaemon::reloadSettings() {
  Result<ProxySettings> Loaded = ProxySettings::load(Opts.SettingsPath);
  if (const Error *E = errorOf(Loaded)) {
    internal::Logger.error("cannot read the settings file; keeping the "
                           "previous settings",
                           {{"why", E->Message}});
    return;
  }
  const ProxySettings &Newer = valueOf(Loaded);
  ProxySettings::Changes Changed = Opts.Settings.changesTo(Newer);
  Log::setMinLevel(Log::levelOf(Newer.LogLevel));
  Peers.setSeeds(internal::addressesOf(Newer.Seeds));
  Opts.Settings.LogLevel = Newer.LogLevel;
  Opts.Settings.Seeds = Newer.Seeds;
  Opts.Settings.TerminationGracePeriod = Newer.TerminationGracePeriod;
  internal::Logger.info("settings read", {{"applied", Changed.Applied},
                                          {"at_restart", Changed.AtRestart}});
}

void ProxyDaemon::beginPlannedStop() {
  Service.beginDrain(Opts.Settings.TerminationGracePeriod);
  Peers.broadcastLeaving();
  RateLimits.leave();
  spawn(Loop, Registration.withdraw());
}

HttpResponse
ProxyDaemon::handleOperatorRequest(const HttpRequest &Request) const {
  HttpResponse Response;
  if (Request.Path == "/metrics") {
    Service.publishConnections();
    Response.Body = Meter.text();
    Response.ContentType = "text/plain; version=0.0.4";
    return Response;
  }
  if (Request.Path == "/status") {
    Response.Body = statusOf(Service, Peers, BootClock::now()).dump();
    return Response;
  }
  Response.Status = 404;
  Response.Body = R"({"error":{"code":"not_found"}})";
  return Response;
}

HttpResponse ProxyDaemon::showConfig() const {
  HttpResponse Response;
  Response.Body = configPageOf(Service.config(), makeSalt()).dump();
  return Response;
}

void ProxyDaemon::sweep(TimePoint Now) {
  Service.sweep(Now);
  Peers.sweep(Now);
  Opts.Listings->setWatching(Peers.mayReadStore(Now));
  Promotions.sweep(Now);
  RateLimits.sweep(Now);
  sweepRegistration(Now);
  // Sessions that this VM relays for other VMs also finish their requests and
  // transactions before it stops, unless the time for the drain has passed.
  bool IsUnused = Relay.busySessions() == 0 && Registration.isWithdrawn();
  if (Service.isDrained() && (IsUnused || Service.isDrainExpired(Now)))
    Loop.stop();
}

void ProxyDaemon::sweepRegistration(TimePoint Now) {
  Registration.renewIfRestored(Loop, Service.targetsRevision());
  if (Now < NextRegistrationSweep)
    return;
  NextRegistrationSweep = Now + internal::RegistrationSweepInterval;
  Registration.confirmIfDue(Loop, Now);
  Registration.checkIfDue(Loop, Peers.reachesMajority(Now), Now);
  bool Removes = Peers.knowsFleet(Now) && Peers.isFirstOfDomain(Now);
  Registration.removeGone(
      Loop, Removes ? RateLimits.goneVms(Now) : std::set<std::string>(), Now);
}

std::unique_ptr<HttpServer> ProxyDaemon::serveHttp(const std::string &Address,
                                                   HttpHandler Handler) {
  return std::make_unique<HttpServer>(Loop, internal::serverOptions(Address),
                                      std::move(Handler));
}

bool ProxyDaemon::openPorts() {
  HttpHandler Readiness =
      [this](HttpRequest) -> boost::asio::awaitable<HttpResponse> {
    HttpResponse Response;
    Response.Status = Service.isReady() ? 200 : 503;
    co_return Response;
  };
  HttpHandler Operators =
      [this](HttpRequest Request) -> boost::asio::awaitable<HttpResponse> {
    // Peers and collectors of metrics do not get the accounts' names.
    if (Request.Path == ConfigPagePath)
      co_return showConfig();
    co_return handleOperatorRequest(Request);
  };
  HttpHandler Collectors =
      [this](HttpRequest Request) -> boost::asio::awaitable<HttpResponse> {
    co_return handleOperatorRequest(Request);
  };
  const ProxySettings &Settings = Opts.Settings;
  PortOpener Opener(Loop,
                    {.IsStopping = [this] { return Service.isDraining(); }});
  bool AreOpen = Opener.open("peers", [&] { Peers.start(); }) &&
                 Opener.open("relays", [&] { Relay.start(); }) &&
                 Opener.open("callers", [&] { Callers.listen(); }) &&
                 Opener.open("readiness", [&] {
                   ReadinessServer =
                       serveHttp(Settings.ReadinessAddress, Readiness);
                 });
  if (AreOpen && !Settings.OperatorAddress.empty())
    AreOpen = Opener.open("operators", [&] {
      OperatorServer = serveHttp(Settings.OperatorAddress, Operators);
    });
  if (AreOpen && !Settings.Metrics.empty())
    AreOpen = Opener.open("metrics", [&] {
      MetricsServer = serveHttp(Settings.Metrics, Collectors);
    });
  return AreOpen;
}

void ProxyDaemon::run() {
  std::signal(SIGPIPE, SIG_IGN);
  listenForSignals();
  releaseSignals();
  if (!openPorts())
    return internal::Logger.info("stopped before all ports were open");
  // The settings were read from the file before, so a failure is not expected.
  std::error_code Ignored;
  SettingsModifiedAt =
      std::filesystem::last_write_time(Opts.SettingsPath, Ignored);
  SettingsCheckTimer = timers().every(internal::SettingsCheckInterval,
                                      [this](TimePoint) { checkSettings(); });
  spawn(Loop, Registration.run());
  SweepTimer = timers().every(internal::SweepInterval,
                              [this](TimePoint Now) { sweep(Now); });
  internal::Logger.info("serving",
                        {{"callers", Opts.Settings.CallerAddress},
                         {"readiness", Opts.Settings.ReadinessAddress}});
  Loop.run();
  internal::Logger.info("stopped");
}

} // namespace cicadawind
