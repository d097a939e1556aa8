// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE PeerQueries
#include <boost/test/unit_test.hpp>

#include "Exchange/PeerExchangeWorld.h"

#include <algorithm>
#include <set>

using namespace cicadawind;
using namespace cicadawind::test;
using namespace std::chrono_literals;

// Reads cause frequent queries for leadership proofs. If these shared one rate
// limit with queries about a primary in doubt, failover would be delayed.
BOOST_AUTO_TEST_CASE(queriesAboutPrimaryAreNotDelayedByQueriesForProofs) {
  PeerExchangeWorld World;
  BOOST_TEST(World.makePeerLive());
  TimePoint Now = BootClock::now();
  World.Peers.queryPrimary("g", "", Now);
  World.Peers.queryPrimary("g", "a", Now);
  BOOST_TEST(World.runUntil([&] {
    std::vector<PrimaryQuery> Queries = World.Peer.received<PrimaryQuery>();
    return std::any_of(Queries.begin(), Queries.end(),
                       [](const PrimaryQuery &E) { return E.Instance == "a"; });
  }));
}

BOOST_AUTO_TEST_CASE(sameQueryIsNotRepeatedWithinMinQueryInterval) {
  PeerExchangeWorld World;
  BOOST_TEST(World.makePeerLive());
  TimePoint Now = BootClock::now();
  for (int I = 0; I < 10; ++I)
    World.Peers.queryPrimary("g", "b", Now);
  World.runFor(std::chrono::milliseconds(50));
  std::vector<PrimaryQuery> Queries = World.Peer.received<PrimaryQuery>();
  BOOST_TEST(
      std::count_if(Queries.begin(), Queries.end(), [](const PrimaryQuery &E) {
        return E.Instance == "b";
      }) == 1);
}

namespace {

/// A fleet of 91 VMs in two regions of equal size, with 8 groups in doubt, and
/// 60 Mbit/s each way between the regions.
constexpr double RegionVms = 46;
constexpr double Groups = 8;
constexpr double LinkBytesPerSecond = 60e6 / 8;
constexpr std::size_t HeaderBytes = 28;
/// Less than the time after which a VM without a hello is no longer live.
constexpr Duration DoubtTime = std::chrono::seconds(6);

std::size_t bytesOf(const std::vector<PrimaryQuery> &Queries) {
  std::size_t Out = 0;
  for (const PrimaryQuery &Each : Queries)
    Out += encodePeerMessage(Each).size() + HeaderBytes;
  return Out;
}

/// A VM that knows 30 VMs of its region, "fleet-0" to "fleet-29", and 30 of
/// another one.
struct TwoRegionsWorld : PeerExchangeWorld {
  TwoRegionsWorld()
      : RemotePort(static_cast<std::uint16_t>(Ports.next())),
        RemotePeer(*this, RemotePort, OwnPort) {
    // All VMs connect directly, so all are voters.
    auto Ample = std::make_shared<ProxyConfig>(*Config);
    Ample->Version = 2;
    Ample->Groups["g"].MaxConnections = 200;
    Service->applyConfig(Ample);
    introduceFleet(*this, RemotePort, "d9");
    BOOST_REQUIRE(
        runUntil([&] { return Service->findPeer("fleet-59").has_value(); }));
    BOOST_REQUIRE(Service->votersFor("g").empty());
  }
  /// Lets this VM ask about the primary of \p Group for \p Time of its clock,
  /// and \p Respond after each sweep.
  void doubt(const std::vector<std::string> &Groups, Duration Time,
             const std::function<void()> &Respond) {
    TimePoint Start = BootClock::now();
    for (TimePoint Now = Start; Now < Start + Time; Now += 25ms) {
      for (const std::string &Group : Groups)
        Peers.queryPrimary(Group, "b", Now);
      RemotePeer.received<PrimaryQuery>();
      Respond();
    }
    runFor(50ms);
  }
  /// Responds to the queries to this region that ask for evidence of others.
  void reportAsReporters() {
    for (const PrimaryQuery &Each : Peer.received<PrimaryQuery>())
      if (Each.Scope != EvidenceScope::Own &&
          Reported.insert(Each.Number).second)
        for (const std::string &Vm : ownReporters())
          Peer.send(PrimaryReport{.From = Vm,
                                  .Number = Each.Number,
                                  .Group = Each.Group,
                                  .PassesOn = true});
    Loop.restart();
    Loop.poll();
  }
  std::vector<std::string> ownReporters() {
    std::vector<VmEntry> Region = {Peers.self()};
    for (const VmEntry &Each : Peers.livePeers(BootClock::now()))
      if (Each.Region == "r1")
        Region.push_back(Each);
    return EvidenceReporters({.OwnVm = "vm-1"})
        .choose("g", Region, BootClock::now())
        .Vms;
  }
  std::size_t remoteBytes() {
    return bytesOf(RemotePeer.received<PrimaryQuery>());
  }

  std::uint16_t RemotePort;
  PeerVm RemotePeer;
  std::set<std::uint64_t> Reported;
};

/// Returns the reports of a reporter on 46 VMs, as a VM gets them for a query.
std::size_t bytesOfLists() {
  std::size_t Out = 0;
  std::size_t Left = static_cast<std::size_t>(RegionVms);
  while (Left > 0) {
    PrimaryReport Report{.From = "i-1c52e921b0",
                         .Number = 1'000'000,
                         .Group = "bookings-1",
                         .Primary = "i-1c52e921b0",
                         .ProofAge = Millis(900),
                         .PassesOn = true};
    // Each VM's evidence may arrive at another time, and a list takes what has
    // arrived since the one before, four between two queries.
    std::size_t Count = std::min<std::size_t>(Left, 12);
    Report.PassedOn.assign(Count, {.Vm = "i-1c52e921b0",
                                   .Age = Millis(900),
                                   .ContactAge = Millis(100'000)});
    Out += encodePeerMessage(Report).size() + HeaderBytes;
    Left -= Count;
  }
  return Out;
}

} // namespace

// Queries of all VMs filled the link between regions, and the delay kept the
// primaries in doubt.
BOOST_AUTO_TEST_CASE(aLongDoubtTakesLittleOfTheLinkBetweenRegions) {
  TwoRegionsWorld World;
  std::vector<std::string> Reporters = World.ownReporters();
  BOOST_REQUIRE(std::count(Reporters.begin(), Reporters.end(), "vm-1") == 0);
  // What a VM that is not a reporter sends to the other region.
  World.doubt({"g"}, DoubtTime, [&] { World.reportAsReporters(); });
  BOOST_TEST(!World.Peer.received<PrimaryQuery>().empty());
  double EachPerSecond = static_cast<double>(World.remoteBytes()) /
                         std::chrono::duration<double>(DoubtTime).count();
  // What a reporter sends for all VMs of its region.
  std::uint64_t Number = 0;
  std::size_t Before = World.remoteBytes();
  for (int I = 0; I < 40; ++I) {
    for (int V = 0; V < 30; ++V)
      World.Peer.send(PrimaryQuery{.From = "fleet-" + std::to_string(V),
                                   .Number = ++Number,
                                   .Group = "g",
                                   .Instance = "b",
                                   .Scope = EvidenceScope::OtherRegions});
    World.runFor(50ms);
    for (const PrimaryQuery &Each : World.RemotePeer.received<PrimaryQuery>())
      if (World.Reported.insert(Each.Number).second)
        for (int V = 30; V < 60; ++V)
          World.Peer.send(PrimaryReport{.From = "fleet-" + std::to_string(V),
                                        .Number = Each.Number,
                                        .Group = "g",
                                        .PassesOn = true});
  }
  std::size_t Sent = World.remoteBytes() - Before;
  BOOST_TEST(Sent > 0U);
  double ReporterPerSecond = static_cast<double>(Sent) / 2;
  // Both regions ask.
  double Queries =
      2 * Groups * (2 * ReporterPerSecond + RegionVms * EachPerSecond);
  double Lists = 2 * Groups * 2 * 12.5 * static_cast<double>(bytesOfLists());
  BOOST_TEST_MESSAGE("queries " << Queries << " B/s, lists " << Lists
                                << " B/s");
  BOOST_TEST(Queries < LinkBytesPerSecond / 4);
  BOOST_TEST(Queries + Lists < LinkBytesPerSecond / 2);
}

// VMs whose reporters do not report ask the other region themselves. That must
// not fill the link either, whatever is in doubt.
BOOST_AUTO_TEST_CASE(aLongDoubtWithoutReportersTakesLittleOfTheLink) {
  TwoRegionsWorld World;
  std::vector<std::string> InDoubt = {"g"};
  for (int I = 1; I < 8; ++I)
    InDoubt.push_back("g" + std::to_string(I));
  World.doubt(InDoubt, DoubtTime, [] {});
  double PerSecond = static_cast<double>(World.remoteBytes()) /
                     std::chrono::duration<double>(DoubtTime).count();
  BOOST_TEST(PerSecond > 0);
  // This VM shares the budget with the 30 others of its region. Both regions
  // ask.
  BOOST_TEST(2 * 31 * PerSecond < LinkBytesPerSecond / 4);
}

// VMs of releases without reporters ignore the scope of a query.
BOOST_AUTO_TEST_CASE(aRegionOfAnEarlierReleaseIsAskedDirectly) {
  TwoRegionsWorld World;
  World.doubt({"g"}, 1s, [&] {
    for (const PrimaryQuery &Each : World.Peer.received<PrimaryQuery>())
      if (World.Reported.insert(Each.Number).second)
        for (const std::string &Vm : World.ownReporters())
          World.Peer.send(PrimaryReport{
              .From = Vm, .Number = Each.Number, .Group = Each.Group});
    World.Loop.restart();
    World.Loop.poll();
  });
  std::set<EvidenceScope> Scopes;
  for (const PrimaryQuery &Each : World.RemotePeer.received<PrimaryQuery>())
    Scopes.insert(Each.Scope);
  BOOST_TEST(Scopes.count(EvidenceScope::Own) == 1U);
}

// Reports count for 400 ms, so a primary that is lost is replaced no later.
BOOST_AUTO_TEST_CASE(queriesAboutAPrimaryAreFrequentUntilItCountsAsLost) {
  PeerExchangeWorld World;
  BOOST_TEST(World.makePeerLive());
  TimePoint Start = BootClock::now();
  for (TimePoint Now = Start; Now < Start + 1s; Now += 25ms)
    World.Peers.queryPrimary("g", "b", Now);
  World.runFor(50ms);
  BOOST_TEST(World.Peer.received<PrimaryQuery>().size() >= 6U);
}

BOOST_AUTO_TEST_CASE(ageOfPeerProofIsCountedBackFromQuery) {
  PeerExchangeWorld World;
  BOOST_TEST(World.makePeerLive());
  // Lets this VM's own proof become older than the peer's, which is reported
  // with an age of 1 ms.
  World.runFor(std::chrono::milliseconds(50));
  World.Peers.queryPrimary("g", "b", BootClock::now());
  std::vector<PrimaryQuery> Queries;
  BOOST_TEST(World.runUntil([&] {
    Queries = World.Peer.received<PrimaryQuery>();
    return !Queries.empty();
  }));
  GroupDispatcher &Group = *World.Service->findGroup("g");
  LogPosition End{.WrittenIn = Group.tracker().term() + 1, .Index = 900};
  TimePoint Before = BootClock::now();
  World.Peer.send(PrimaryReport{.From = "vm-2",
                                .Number = Queries.front().Number,
                                .Group = "g",
                                .Primary = "b",
                                .LogEnd = End,
                                .ProofAge = Millis(1)});
  BOOST_TEST(World.runUntil([&] { return Group.tracker().primary() == "b"; }));
  BOOST_TEST((Group.tracker().newest()->RequestedAt <= Before));
}

// While a new primary is not confirmed, the newest proof is the earlier one's.
// Under the new name, peers would take it for a proof of the new primary.
BOOST_AUTO_TEST_CASE(proofIsNotReportedUnderTheNameOfAnUnconfirmedPrimary) {
  PeerExchangeWorld World;
  BOOST_TEST(World.makePeerLive());
  World.instance("b").Faults.Silent = true;
  GroupDispatcher &Group = *World.Service->findGroup("g");
  Group.recordPrimaryClaim("b");
  World.Peer.send(PrimaryQuery{.From = "vm-2", .Number = 1, .Group = "g"});
  std::vector<PrimaryReport> Reports;
  BOOST_TEST(World.runUntil([&] {
    Reports = World.Peer.received<PrimaryReport>();
    return !Reports.empty();
  }));
  BOOST_TEST(!Group.tracker().isConfirmed());
  BOOST_TEST(Reports.front().Primary == "");
}

namespace {

/// A large fleet whose targets are in another region.
struct RemoteTargetsWorld : PeerExchangeWorld {
  RemoteTargetsWorld()
      : RemotePort(static_cast<std::uint16_t>(Ports.next())),
        RemotePeer(*this, RemotePort, OwnPort) {
    introduceFleet(*this, RemotePort, "d9");
    std::vector<TargetEntry> Targets = listedTargets();
    for (TargetEntry &Each : Targets)
      Each.FailureDomain = "d9";
    Service->applyTargets(Targets, Service->targetsRevision() + 1);
    BOOST_REQUIRE(
        runUntil([&] { return !Service->relaysToPrimary("g").empty(); }));
    // Longer than a proof is passed on without asking for a newer one.
    runFor(std::chrono::milliseconds(500));
  }
  std::size_t queriesToRegion() { return Peer.received<PrimaryQuery>().size(); }
  std::size_t queriesToOtherRegion() {
    return RemotePeer.received<PrimaryQuery>().size();
  }

  std::uint16_t RemotePort;
  PeerVm RemotePeer;
};

} // namespace

// If each VM asked the other region for itself, the queries between regions
// would grow with the fleet.
BOOST_AUTO_TEST_CASE(oneVmOfTheRegionIsAskedForTheProofOfARemotePrimary) {
  RemoteTargetsWorld World;
  std::size_t RegionBefore = World.queriesToRegion();
  std::size_t RemoteBefore = World.queriesToOtherRegion();
  World.Peers.queryPrimary("g", "", BootClock::now());
  World.runFor(std::chrono::milliseconds(50));
  BOOST_TEST(World.queriesToRegion() - RegionBefore == 1);
  BOOST_TEST(World.queriesToOtherRegion() == RemoteBefore);
  // It does not report, so this VM asks the other region itself.
  World.runFor(std::chrono::milliseconds(200));
  World.Peers.queryPrimary("g", "", BootClock::now());
  World.runFor(std::chrono::milliseconds(50));
  BOOST_TEST(World.queriesToRegion() - RegionBefore == 1);
  BOOST_TEST(World.queriesToOtherRegion() - RemoteBefore == 1);
}

// A VM that is asked for the region must not pass on an outdated proof, with
// which the reads would wait for another one.
BOOST_AUTO_TEST_CASE(aReportWaitsForAFreshProofFromTheOtherRegion) {
  RemoteTargetsWorld World;
  PrimaryQuery Query;
  Query.From = "fleet-1";
  Query.Number = 77;
  Query.Group = "g";
  World.Peer.send(Query);
  World.runFor(std::chrono::milliseconds(50));
  BOOST_TEST(World.Peer.received<PrimaryReport>().empty());
  std::vector<PrimaryQuery> Asked = World.Peer.received<PrimaryQuery>();
  BOOST_REQUIRE(!Asked.empty());
  PrimaryReport Report;
  Report.From = "fleet-2";
  Report.Number = Asked.back().Number;
  Report.Group = "g";
  Report.Primary = "a";
  Report.LogEnd = {.WrittenIn = 1, .Index = 5};
  Report.ProofAge = Millis(20);
  World.Peer.send(Report);
  BOOST_TEST(World.runUntil(
      [&] { return !World.Peer.received<PrimaryReport>().empty(); }));
  PrimaryReport Passed = World.Peer.received<PrimaryReport>().back();
  BOOST_TEST(Passed.Number == 77U);
  BOOST_TEST(Passed.Primary == "a");
  // The age covers the time that the report took to arrive.
  BOOST_TEST((Passed.ProofAge >= Millis(70)));
}
