// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE PeerExchange
#include <boost/test/unit_test.hpp>

#include "Daemons/ProxyStatus.h"
#include "Exchange/PeerExchangeWorld.h"
#include "LoopRunner.h"
#include "Observability/LoggedLines.h"
#include "System/TcpRelay.h"

#include <nlohmann/json.hpp>

#include <algorithm>

using namespace cicadawind;
using namespace cicadawind::test;

// A VM that cannot read the store learns of a newer configuration only from its
// peers.
BOOST_AUTO_TEST_CASE(newerConfigurationIsFetchedFromPeer) {
  PeerExchangeWorld World;
  World.Peer.State.Config = *World.Config;
  World.Peer.State.Config.Version = 9;
  World.Peer.State.Config.Routes.erase("own");
  World.Peer.sendHello(9);
  BOOST_TEST(
      World.runUntil([&] { return World.Service->config().Version == 9; }));
  BOOST_TEST(!World.Service->config().findRoute("own"));
}

// From these lines one sees when a VM first heard of a version, and from whom.
BOOST_AUTO_TEST_CASE(theFirstSignOfANewerConfigurationIsLogged) {
  PeerExchangeWorld World;
  LoggedLines Lines;
  World.Peers.setStoreReachable(false);
  World.Peer.State.Config = *World.Config;
  World.Peer.State.Config.Version = 9;
  World.Peer.sendHello(9);
  BOOST_TEST(
      World.runUntil([&] { return World.Service->config().Version == 9; }));
  nlohmann::json Heard =
      Lines.firstWith("message", "newer configuration announced");
  BOOST_REQUIRE(Heard.is_object());
  BOOST_TEST(Heard["peer"] == "vm-2");
  BOOST_TEST(Heard["version"] == "9");
  BOOST_TEST(Heard["active"] == "1");
  nlohmann::json InForce = Lines.firstWith("message", "configuration in force");
  BOOST_REQUIRE(InForce.is_object());
  BOOST_TEST(InForce["known_ms"] != "");
}

BOOST_AUTO_TEST_CASE(newerConfigurationIsFetchedAtOnceWithoutTheStore) {
  PeerExchangeWorld World;
  World.Peers.setStoreReachable(false);
  World.Peer.State.Config = *World.Config;
  World.Peer.State.Config.Version = 9;
  TimePoint Start = BootClock::now();
  World.Peer.sendHello(9);
  BOOST_TEST(World.runUntil([&] { return World.Peer.Fetches == 1; }));
  BOOST_TEST((BootClock::now() - Start < std::chrono::milliseconds(300)));
}

// In a large failure domain most VMs do not read the store, and take targets
// from the VMs that do.
BOOST_AUTO_TEST_CASE(targetsAreFetchedByAVmThatDoesNotReadTheStore) {
  PeerExchangeWorld World;
  World.Peer.State.Config = *World.Config;
  World.Peer.State.Targets = World.listedTargets();
  World.Peer.State.Targets.pop_back();
  World.Peer.State.TargetsRevision = 90;
  std::vector<VmEntry> Others = World.listReadersOfTheDomain();
  World.Peers.contactListed(Others);
  BOOST_TEST(!World.Peers.mayReadStore(BootClock::now()));
  World.Peer.sendHelloWithTargets(90, 12345);
  BOOST_TEST(
      World.runUntil([&] { return World.Service->targetsRevision() == 90; }));
  // The peer reads the store again, and nothing has changed.
  World.Peer.sendHelloWithTargets(95, World.Service->targetsHash());
  BOOST_TEST(
      World.runUntil([&] { return World.Service->targetsRevision() == 95; }));
  BOOST_TEST(World.Peer.Fetches == 1);
}

// Otherwise it would hear of the change only in a later hello.
BOOST_AUTO_TEST_CASE(aPeerThatLacksTheStateIsTold) {
  PeerExchangeWorld World;
  BOOST_TEST(World.makePeerLive());
  World.runFor(std::chrono::milliseconds(20));
  std::size_t Before = World.Peer.received<PeerHello>().size();
  World.Peer.sendHello(0);
  BOOST_TEST(World.runUntil(
      [&] { return World.Peer.received<PeerHello>().size() > Before; }));
  BOOST_TEST(World.Peer.received<PeerHello>().back().ConfigVersion ==
             World.Service->config().Version);
}

// A new configuration reaches all VMs from the store within milliseconds. If
// each also fetched it from the VM that announced it first, that VM would have
// to send it to the whole fleet.
BOOST_AUTO_TEST_CASE(configurationThatTheStoreDeliversIsNotFetched) {
  PeerExchangeWorld World;
  // A VM that knows that it is alone in its domain reads the store.
  World.Peers.contactListed({});
  BOOST_TEST(World.Peers.mayReadStore(BootClock::now()));
  World.Peer.State.Config = *World.Config;
  World.Peer.State.Config.Version = 9;
  World.Peer.sendHello(9);
  World.runFor(std::chrono::milliseconds(50));
  auto FromStore = std::make_shared<ProxyConfig>(*World.Config);
  FromStore->Version = 9;
  World.Service->applyConfig(FromStore);
  World.runFor(std::chrono::milliseconds(700));
  BOOST_TEST(World.Peer.Fetches == 0);
}

BOOST_AUTO_TEST_CASE(configurationThatIsNotNewerIsNotFetched) {
  PeerExchangeWorld World;
  BOOST_TEST(World.makePeerLive());
  World.Peer.sendHello(World.Service->config().Version);
  World.runFor(std::chrono::milliseconds(100));
  BOOST_TEST(World.Peer.Fetches == 0);
}

// If the configuration were announced only in the next periodic hello, peers
// would learn of it up to a second late.
BOOST_AUTO_TEST_CASE(newConfigurationIsAnnouncedBeforeNextHello) {
  PeerExchangeWorld World;
  BOOST_TEST(World.makePeerLive());
  World.runFor(std::chrono::milliseconds(20));
  auto NewConfig = std::make_shared<ProxyConfig>(*World.Config);
  NewConfig->Version = 7;
  TimePoint Start = BootClock::now();
  World.Service->applyConfig(NewConfig);
  BOOST_TEST(World.runUntil([&] {
    std::vector<PeerHello> Hellos = World.Peer.received<PeerHello>();
    return std::any_of(Hellos.begin(), Hellos.end(),
                       [](const PeerHello &E) { return E.ConfigVersion == 7; });
  }));
  BOOST_TEST((BootClock::now() - Start < std::chrono::milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(statusContainsPrimaryVersionsAndPeers) {
  PeerExchangeWorld World;
  BOOST_TEST(World.makePeerLive());
  nlohmann::json Status =
      statusOf(*World.Service, World.Peers, BootClock::now());
  BOOST_TEST(Status["vm"] == "vm-1");
  BOOST_TEST(Status["ready"] == true);
  BOOST_TEST(Status["config_version"] == 1);
  BOOST_REQUIRE(Status["peers"].size() == 1);
  BOOST_TEST(Status["peers"][0]["vm"] == "vm-2");
  BOOST_REQUIRE(Status["groups"].size() == 1);
  BOOST_TEST(Status["groups"][0]["primary"] == "a");
  BOOST_TEST(Status["groups"][0]["proved"] == true);
  BOOST_TEST(Status["groups"][0]["targets"].size() == 3);
}

// Traffic between regions is expensive, so hellos to VMs of the same region
// must be more frequent.
BOOST_AUTO_TEST_CASE(hellosOfLargeFleetGoMostlyToOwnRegion) {
  PeerExchangeWorld World;
  auto RemotePort = static_cast<std::uint16_t>(World.Ports.next());
  PeerVm RemotePeer(World, RemotePort, World.OwnPort);
  introduceFleet(World, RemotePort);
  World.runFor(std::chrono::milliseconds(1200));
  std::size_t SameRegionBefore = World.Peer.received<PeerHello>().size();
  std::size_t RemoteBefore = RemotePeer.received<PeerHello>().size();
  World.runFor(std::chrono::milliseconds(1000));
  BOOST_TEST(World.Peer.received<PeerHello>().size() - SameRegionBefore == 7);
  BOOST_TEST(RemotePeer.received<PeerHello>().size() - RemoteBefore == 1);
}

// Each VM announces each configuration that it applies. If it told all others,
// the announcements would grow with the square of the fleet.
BOOST_AUTO_TEST_CASE(anAnnouncementGoesToFewVmsOfALargeFleet) {
  PeerExchangeWorld World;
  auto RemotePort = static_cast<std::uint16_t>(World.Ports.next());
  PeerVm RemotePeer(World, RemotePort, World.OwnPort);
  introduceFleet(World, RemotePort);
  std::size_t SameRegionBefore = World.Peer.received<PeerHello>().size();
  std::size_t RemoteBefore = RemotePeer.received<PeerHello>().size();
  World.Peers.announce();
  BOOST_TEST(World.Peer.received<PeerHello>().size() - SameRegionBefore == 7);
  BOOST_TEST(RemotePeer.received<PeerHello>().size() - RemoteBefore == 1);
}

BOOST_AUTO_TEST_CASE(aListOfVmsDoesNotWaitForASilentConnection) {
  PeerExchangeWorld World;
  auto Own = static_cast<std::uint16_t>(World.Ports.next());
  auto Loopback = boost::asio::ip::address_v4::loopback();
  TcpRelay Relay(World.Loop, {Loopback, Own}, {Loopback, World.PeerPort});
  PeerHello Hello = World.Peer.makeHello();
  Hello.Self.RouterPeer = "127.0.0.1:" + std::to_string(Own);
  Hello.ConfigVersion = World.Service->config().Version;
  // A VM whose entry is missing for a while makes this VM fetch the list. The
  // response of this peer is malformed, so it is fetched after each hello.
  Hello.Ages.push_back({.VmHash = FleetGossip::hashOf("unknown")});
  World.Peer.send(Hello);
  World.runFor(FleetGossip::Options().UnknownTimeout);
  World.Peer.send(Hello);
  BOOST_TEST(World.runUntil([&] { return World.Peer.Fetches == 1; }));
  World.runFor(std::chrono::milliseconds(50));
  Relay.silenceOpen();
  TimePoint Start = BootClock::now();
  World.Peer.send(Hello);
  BOOST_TEST(World.runUntil([&] { return World.Peer.Fetches == 2; }));
  BOOST_TEST(toMillis(BootClock::now() - Start).count() < 500);
}

// review/10: a VM that has just started does not know since when a target
// leaves, and the list that it has read is the same as its peers'.
BOOST_AUTO_TEST_CASE(aPeerTellsSinceWhenATargetLeaves) {
  PeerExchangeWorld World;
  TimePoint Since = BootClock::now() - std::chrono::seconds(3);
  World.Peer.Departures = {{.Instance = "z", .Incarnation = 6, .Since = Since}};
  std::vector<TargetEntry> Listed = World.listedTargets();
  Listed.push_back({.Instance = "z",
                    .Group = "g",
                    .Address = "127.0.0.1:1",
                    .FailureDomain = "d1",
                    .Leaving = true,
                    .Incarnation = 6});
  World.Service->applyTargets(Listed, World.Service->targetsRevision() + 1);
  BOOST_TEST(World.Service->lacksDeparture());
  BOOST_TEST(World.makePeerLive());
  BOOST_TEST(World.runUntil([&] { return !World.Service->lacksDeparture(); }));
  std::vector<TargetDeparture> Known = World.Service->departures();
  BOOST_REQUIRE(Known.size() == 1U);
  BOOST_TEST((Known[0].Since <= Since + std::chrono::milliseconds(1)));
  BOOST_TEST((Known[0].Since > Since - std::chrono::milliseconds(500)));
}

// review/10: the state is encoded once for many peers, with the ages of then.
BOOST_AUTO_TEST_CASE(aStateThatIsServedAgainTellsHowOldItIs) {
  PeerExchangeWorld World;
  auto FetchAge = [&] {
    HttpRequest Request;
    Request.Method = "GET";
    Request.Path = "/state";
    HttpResult Fetched =
        runOn(World.Loop,
              World.Http.call("127.0.0.1:" + std::to_string(World.OwnPort),
                              Request, std::chrono::seconds(2)));
    const HttpResponse *Response = std::get_if<HttpResponse>(&Fetched);
    BOOST_REQUIRE(Response);
    return std::stoi(Response->header("encoded-age-ms"));
  };
  BOOST_TEST(FetchAge() < 100);
  World.runFor(std::chrono::milliseconds(200));
  BOOST_TEST(FetchAge() >= 200);
}
