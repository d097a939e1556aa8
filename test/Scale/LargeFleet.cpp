// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Scale/LargeFleet.h"

#include "Leases/LeasedPrimaryGuard.h"
#include "Observability/Log.h"

#include <boost/asio.hpp>

#include <ctime>
#include <random>

namespace cicadawind::test {

using Udp = boost::asio::ip::udp;

constexpr Duration SweepInterval = std::chrono::milliseconds(25);
constexpr unsigned DomainsPerRegion = 3;
constexpr unsigned Domains = 6;

namespace {

/// A promotion service that must not be needed.
class NoPromotions : public PromotionService {
public:
  boost::asio::awaitable<PromotionOutcome> promote(std::string, std::string,
                                                   std::string, std::uint64_t,
                                                   Duration) override {
    co_return PromotionOutcome::Refused;
  }
};

} // namespace

static std::string domainOf(std::size_t Number) {
  return "d" + std::to_string(Number % Domains);
}

static std::string regionOf(std::size_t Number) {
  return Number % Domains < DomainsPerRegion ? "r0" : "r1";
}

LargeFleet::LargeFleet(Options NewOpts)
    : Promotions(std::make_unique<NoPromotions>()), Opts(NewOpts),
      Sink(Loop, Udp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
  Log::start("test", LogLevel::Error);
  Port = static_cast<std::uint16_t>(Ports.next());
  auto Engine = std::make_shared<std::mt19937_64>(7);
  ProxyService::Options ServiceOpts;
  ServiceOpts.Codec = &Codec;
  ServiceOpts.Vm = "vm-0";
  ServiceOpts.FailureDomain = domainOf(0);
  ServiceOpts.Region = regionOf(0);
  for (unsigned I = 0; I < Domains; ++I)
    ServiceOpts.Regions[domainOf(I)] = regionOf(I);
  ServiceOpts.Random = [Engine] { return (*Engine)(); };
  if (!Opts.PlatformFences)
    ServiceOpts.Group.MakeGuard = [] {
      return std::make_unique<LeasedPrimaryGuard>(LeasedPrimaryGuard::Options{},
                                                  BootClock::now());
    };
  Service = std::make_unique<ProxyService>(Loop, ServiceOpts, Meter);
  PeerExchange::Options PeerOpts;
  PeerOpts.Vm = "vm-0";
  PeerOpts.FailureDomain = domainOf(0);
  PeerOpts.Region = regionOf(0);
  PeerOpts.Address = "127.0.0.1";
  PeerOpts.Port = Port;
  PeerOpts.RelayPort = static_cast<std::uint16_t>(Port + 1);
  PeerOpts.Random = ServiceOpts.Random;
  Peers = std::make_unique<PeerExchange>(Loop, PeerOpts, Http, *Service);
  PromotionDriver::Options DriverOpts;
  DriverOpts.Vm = "vm-0";
  DriverOpts.PlatformFences = Opts.PlatformFences;
  Driver = std::make_unique<PromotionDriver>(Loop, DriverOpts, *Service, *Peers,
                                             Store, *Promotions, Meter);
  Service->setQueryPeers(
      [this](const std::string &Group, const std::string &Instance) {
        Peers->queryPrimary(Group, Instance, BootClock::now());
      });
  Peers->start();
  addTargets();
}

LargeFleet::~LargeFleet() {
  Driver.reset();
  Peers.reset();
  Service.reset();
}

void LargeFleet::addTargets() {
  auto Config = std::make_shared<ProxyConfig>();
  Config->Version = 1;
  std::vector<TargetEntry> Entries;
  for (std::size_t I = 0; I < Opts.Groups; ++I) {
    std::string Group = "g" + std::to_string(I);
    Config->Groups[Group].MaxConnections = Opts.MaxConnections;
    RouteConfig &Route = Config->Routes[Group];
    Route.Database = Group;
    Route.Group = Group;
    const char *const Suffixes[] = {"-a", "-b", "-c"};
    for (std::size_t J = 0; J < std::size(Suffixes); ++J)
      Entries.push_back(TargetEntry{.Instance = Group + Suffixes[J],
                                    .Group = Group,
                                    .Address = Target.address(),
                                    .FailureDomain = domainOf(2 * J + I),
                                    .Slots = 4,
                                    .ClaimsPrimary = J == 0});
  }
  Service->applyConfig(Config);
  Service->applyTargets(Entries, 1);
}

VmEntry LargeFleet::entryOf(std::size_t Number) const {
  VmEntry Entry;
  Entry.Vm = "vm-" + std::to_string(Number);
  Entry.FailureDomain = domainOf(Number);
  Entry.Region = regionOf(Number);
  Entry.RouterPeer =
      "127.0.0.1:" + std::to_string(Sink.local_endpoint().port());
  Entry.PoolerPeer = Target.address();
  Entry.Incarnation = 1;
  return Entry;
}

void LargeFleet::introducePeers() {
  Udp::endpoint To(boost::asio::ip::address_v4::loopback(), Port);
  for (std::size_t I = 1; I < Opts.Vms; ++I) {
    PeerHello Hello;
    Hello.Self = entryOf(I);
    Hello.ConfigVersion = 1;
    Hello.TargetsRevision = 1;
    Sink.send_to(boost::asio::buffer(encodePeerMessage(Hello)), To);
    // The VM's receive buffer must not overflow.
    Loop.restart();
    Loop.poll();
  }
}

void LargeFleet::runFor(Duration Time) {
  TimePoint End = BootClock::now() + Time;
  TimePoint NextSweep;
  while (BootClock::now() < End) {
    TimePoint Now = BootClock::now();
    if (Now >= NextSweep) {
      NextSweep = Now + SweepInterval;
      Service->sweep(Now);
      Peers->sweep(Now);
      Driver->sweep(Now);
    }
    Loop.restart();
    Loop.run_one_for(std::chrono::milliseconds(2));
  }
}

static Duration processorTime() {
  timespec Used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used);
  return std::chrono::seconds(Used.tv_sec) +
         std::chrono::nanoseconds(Used.tv_nsec);
}

Duration LargeFleet::processorTimeFor(Duration Time) {
  Duration Before = processorTime();
  runFor(Time);
  return processorTime() - Before;
}

} // namespace cicadawind::test
