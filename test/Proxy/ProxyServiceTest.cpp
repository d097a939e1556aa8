// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE ProxyService
#include <boost/test/unit_test.hpp>

#include "Proxy/ProxyWorld.h"

#include <random>

using namespace cicadawind;
using namespace cicadawind::test;
using std::chrono::milliseconds;

namespace {

/// A ProxyWorld with the proxy of another VM, which has just started and does
/// not know the fleet yet.
struct StartingVm : ProxyWorld {
  explicit StartingVm(bool PoolsScarceConnections = false) {
    ProxyService::Options Opts;
    Opts.Codec = &Codec;
    Opts.Vm = "vm-9";
    Opts.FailureDomain = "d1";
    Opts.Region = "r1";
    Opts.Regions = {{"d1", "r1"}};
    Opts.Random = [Engine = std::mt19937_64(3)]() mutable { return Engine(); };
    Opts.AwaitsPeers = true;
    Opts.PoolsScarceConnections = PoolsScarceConnections;
    Starting = std::make_unique<ProxyService>(Loop, Opts, Meter);
    Starting->applyConfig(Config);
    Starting->applyTargets(listedTargets(), 1);
    onSweep([this](TimePoint Now) { Starting->sweep(Now); });
  }
  ~StartingVm() { onSweep(nullptr); }

  std::size_t connections() {
    std::size_t Count = 0;
    for (const auto &[Id, Each] : Instances)
      Count += Each->connections();
    return Count;
  }
  /// Returns \p Count other VMs of the failure domain.
  static std::vector<VmEntry> others(std::size_t Count) {
    std::vector<VmEntry> Out;
    for (std::size_t I = 0; I < Count; ++I)
      Out.push_back({.Vm = "other-" + std::to_string(I),
                     .FailureDomain = "d1",
                     .Region = "r1",
                     .PoolerPeer = "127.0.0.1:9",
                     .Incarnation = 1});
    return Out;
  }

  std::unique_ptr<ProxyService> Starting;
};

} // namespace

// With a part of the fleet in view, every VM would take direct connections that
// the targets do not have for all of them.
BOOST_AUTO_TEST_CASE(aVmOpensNoConnectionsBeforeItKnowsTheFleet) {
  StartingVm World;
  std::size_t Before = World.connections();
  World.runFor(milliseconds(150));
  BOOST_TEST(World.connections() <= Before);
  World.Starting->setPeers({});
  BOOST_TEST(World.runUntil([&] { return World.connections() > Before; }));
}

BOOST_AUTO_TEST_CASE(aVmOfALargeFleetLeavesTheConnectionsToItsRelays) {
  StartingVm World;
  std::size_t Before = World.connections();
  World.Starting->setPeers(StartingVm::others(60));
  World.runFor(milliseconds(150));
  BOOST_TEST(World.connections() <= Before);
}

// An operator must see from the metrics whether a VM's statements cross relays.
BOOST_AUTO_TEST_CASE(theMetricsCountTheTargetsThatAreReachedThroughRelays) {
  StartingVm World;
  World.Starting->setPeers({});
  World.Starting->publishConnections();
  BOOST_TEST(World.Meter.text().find("targets_relayed{group=\"g\"} 0") !=
             std::string::npos);
  World.Starting->setPeers(StartingVm::others(60));
  World.Starting->sweep(BootClock::now());
  World.Starting->publishConnections();
  std::string Text = World.Meter.text();
  BOOST_TEST(Text.find("targets_relayed{group=\"g\"} 0") == std::string::npos);
  BOOST_TEST(Text.find("requests_waiting{group=\"g\"} 0") != std::string::npos);
}

// All VMs connect to a target with few slots themselves, so all count as voters
// on each other's lists, although relays pool the group's other targets.
BOOST_AUTO_TEST_CASE(allVmsAreVotersIfAllConnectToOneTargetOfTheGroup) {
  StartingVm World(true);
  World.Starting->setPeers(StartingVm::others(4));
  BOOST_TEST(!World.Starting->votersFor("g").empty());
  std::vector<TargetEntry> Listed = World.listedTargets();
  Listed.front().Slots = 1;
  World.Starting->applyTargets(Listed, 2);
  BOOST_TEST(World.Starting->votersFor("g").empty());
}

BOOST_AUTO_TEST_CASE(aRequestIsServedBeforeTheFleetIsKnown) {
  StartingVm World;
  ProxyCaller Caller(World, *World.Starting, "latest");
  BOOST_TEST(Caller.ask("WRITE i1 x").find("COMPLETE") != std::string::npos);
}

// A VM that takes the targets from its peers gets what has changed. The whole
// list would cross a small VM's link again for each change.
BOOST_AUTO_TEST_CASE(aPeerGetsOnlyTheTargetsThatHaveChanged) {
  ProxyWorld World;
  ProxyState Whole = World.Service->stateSince(0, 0);
  BOOST_TEST(Whole.Targets.size() == 3);
  BOOST_TEST(!Whole.Base.has_value());
  ProxyService Peer(World.Loop, {.Codec = &World.Codec}, World.Meter);
  BOOST_TEST(Peer.applyTargetsOf(Whole));
  World.Group.at("c").Down = true;
  World.applyListedTargets();
  ProxyState Changes = World.Service->stateSince(
      World.Service->config().Version, Peer.targetsRevision());
  BOOST_TEST(Changes.Config.Version == 0);
  BOOST_TEST(Changes.Targets.empty());
  BOOST_TEST(Changes.Removed == std::vector<std::string>{"c"});
  BOOST_TEST(Peer.applyTargetsOf(Changes));
  BOOST_TEST(Peer.targetsHash() == World.Service->targetsHash());
  BOOST_TEST(Peer.targetsRevision() == World.Service->targetsRevision());
}

BOOST_AUTO_TEST_CASE(changesThatDoNotLeadToThePeersListAreRejected) {
  ProxyWorld World;
  ProxyState Whole = World.Service->stateSince(0, 0);
  ProxyService Peer(World.Loop, {.Codec = &World.Codec}, World.Meter);
  BOOST_TEST(Peer.applyTargetsOf(Whole));
  ProxyState Wrong = Whole;
  Wrong.Targets.clear();
  Wrong.Base = Whole.TargetsRevision;
  Wrong.Removed = {"c"};
  BOOST_TEST(!Peer.applyTargetsOf(Wrong));
  Wrong.Base = Whole.TargetsRevision + 7;
  BOOST_TEST(!Peer.applyTargetsOf(Wrong));
  BOOST_TEST(Peer.targetsHash() == Whole.TargetsHash);
}
