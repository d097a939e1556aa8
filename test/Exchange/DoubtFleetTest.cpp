// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE DoubtFleet
#include <boost/test/unit_test.hpp>

#include "Exchange/PeerExchange.h"
#include "Http/HttpClient.h"
#include "LineProtocol.h"
#include "Observability/Log.h"
#include "Observability/Metrics.h"
#include "Proxy/ProxyService.h"
#include "System/PortBlock.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <random>

using namespace cicadawind;
using namespace cicadawind::test;
using namespace std::chrono_literals;

namespace {

constexpr unsigned VmCount = 12;
constexpr Duration SweepInterval = std::chrono::milliseconds(25);
constexpr Duration VetoWindow = std::chrono::milliseconds(500);
/// The window on platforms that do not fence.
constexpr Duration LeasedVetoWindow = std::chrono::milliseconds(350);
/// What a report within a region leaves out: a part of a millisecond, and the
/// time on the way.
constexpr Duration RoundedOff = std::chrono::milliseconds(3);
const std::string Primary = "a";

/// \class DoubtFleet
/// \brief VMs in two regions of two failure domains each that exchange real
/// datagrams about a primary which none of them reaches.
///
/// A test records contacts with the primary at the VMs that it chooses. Each VM
/// queries its peers while the primary is suspect, as PromotionDriver does.
class DoubtFleet {
public:
  struct Vm {
    std::string Name;
    Metrics Meter;
    std::unique_ptr<ProxyService> Service;
    std::unique_ptr<PeerExchange> Peers;

    GroupDispatcher &group() { return *Service->findGroup("g"); }
    PrimaryFailureDetector &detector() { return group().failureDetector(); }
  };

  explicit DoubtFleet(std::size_t MaxDirectPairs, Duration Window = VetoWindow)
      : Http(Loop, {}) {
    Log::start("test", LogLevel::Error);
    Port = static_cast<std::uint16_t>(Ports.next());
    for (unsigned Number = 0; Number < VmCount; ++Number)
      add(Number, MaxDirectPairs, Window);
    for (auto &Each : Vms)
      Each->Peers->start();
    BOOST_REQUIRE(runUntil([&] { return isComplete(); }, 10s));
  }
  ~DoubtFleet() {
    for (auto &Each : Vms)
      Each->Peers.reset();
    Vms.clear();
  }

  /// Lets all VMs fail to reach the primary from now on.
  void fail() {
    FailedAt = BootClock::now();
    IsFailed = true;
  }
  /// Lets the VM \p Number have contact with the primary until reset.
  void setInContact(std::optional<unsigned> Number) { InContact = Number; }
  /// Ends the VM \p Number without a word to the others.
  void end(const std::string &Name) {
    std::erase_if(Vms, [&](const auto &Each) { return Each->Name == Name; });
  }
  bool isLost(Vm &Each) {
    TimePoint Now = BootClock::now();
    return Each.detector().isLost(Each.Peers->livePeers(Now).size(), Now);
  }
  /// Runs until the primary counts as lost at all VMs, and returns the time
  /// since it failed.
  Duration runUntilLost() {
    BOOST_TEST(runUntil(
        [&] {
          return std::all_of(Vms.begin(), Vms.end(),
                             [&](const auto &Each) { return isLost(*Each); });
        },
        5s));
    return BootClock::now() - FailedAt;
  }
  bool runUntil(const std::function<bool()> &Condition, Duration Timeout) {
    TimePoint End = BootClock::now() + Timeout;
    while (!Condition()) {
      TimePoint Now = BootClock::now();
      if (Now > End)
        return false;
      if (Now - SweptAt >= SweepInterval)
        sweep(Now);
      Loop.restart();
      Loop.run_one_for(1ms);
    }
    return true;
  }
  /// Returns the reporters of "g" in \p Region.
  std::vector<std::string> reportersOf(const std::string &Region) {
    std::vector<VmEntry> Entries;
    for (auto &Each : Vms)
      if (Each->Peers->region() == Region)
        Entries.push_back(Each->Peers->self());
    EvidenceReporters Reporters({.OwnVm = ""});
    return Reporters.choose("g", Entries, BootClock::now()).Vms;
  }
  static std::string regionOf(unsigned Number) {
    return Number < VmCount / 2 ? "r1" : "r2";
  }

  boost::asio::io_context Loop;
  std::vector<std::unique_ptr<Vm>> Vms;

private:
  void add(unsigned Number, std::size_t MaxDirectPairs, Duration Window);
  void sweep(TimePoint Now);
  bool isComplete() {
    return std::all_of(Vms.begin(), Vms.end(), [&](const auto &Each) {
      return std::all_of(Vms.begin(), Vms.end(), [&](const auto &Other) {
        return Other == Each || Each->Service->findPeer(Other->Name);
      });
    });
  }

  platform::LineProtocol Codec;
  PortBlock Ports;
  std::uint16_t Port = 0;
  HttpClient Http;
  TimePoint SweptAt;
  TimePoint FailedAt;
  bool IsFailed = false;
  std::optional<unsigned> InContact;
};

void DoubtFleet::add(unsigned Number, std::size_t MaxDirectPairs,
                     Duration Window) {
  auto New = std::make_unique<Vm>();
  New->Name = "vm-" + std::to_string(Number);
  std::string Domain = regionOf(Number) + (Number % 2 == 0 ? "a" : "b");
  auto Engine = std::make_shared<std::mt19937_64>(Number);
  ProxyService::Options Opts;
  Opts.Codec = &Codec;
  Opts.Vm = New->Name;
  Opts.FailureDomain = Domain;
  Opts.Region = regionOf(Number);
  Opts.Group.FailureDetector.VetoWindow = Window;
  Opts.Random = [Engine] { return (*Engine)(); };
  New->Service = std::make_unique<ProxyService>(Loop, Opts, New->Meter);
  PeerExchange::Options PeerOpts;
  PeerOpts.Vm = New->Name;
  PeerOpts.FailureDomain = Domain;
  PeerOpts.Region = Opts.Region;
  PeerOpts.Address = "127.0.0." + std::to_string(30 + Number);
  PeerOpts.Port = Port;
  PeerOpts.SeedAddresses = {"127.0.0.30", "127.0.0.31"};
  PeerOpts.HelloInterval = 100ms;
  PeerOpts.MaxDirectPairs = MaxDirectPairs;
  PeerOpts.Random = Opts.Random;
  New->Peers =
      std::make_unique<PeerExchange>(Loop, PeerOpts, Http, *New->Service);
  auto Config = std::make_shared<ProxyConfig>();
  Config->Version = 1;
  Config->Groups["g"].MaxConnections = 2 * VmCount;
  New->Service->applyConfig(Config);
  // No target listens there.
  New->Service->applyTargets({TargetEntry{.Instance = Primary,
                                          .Group = "g",
                                          .Address = "127.0.0.1:1",
                                          .FailureDomain = Domain,
                                          .Slots = 2,
                                          .ClaimsPrimary = true}},
                             1);
  Vms.push_back(std::move(New));
}

void DoubtFleet::sweep(TimePoint Now) {
  SweptAt = Now;
  for (auto &Each : Vms) {
    PrimaryFailureDetector &Detector = Each->detector();
    Detector.setPrimary(Primary);
    bool IsInContact =
        !IsFailed ||
        (InContact && Each->Name == "vm-" + std::to_string(*InContact));
    if (IsInContact)
      Detector.recordContact(Primary, Now);
    else
      Detector.recordFailure(Primary, FailedAt);
    if (Detector.isSuspect(Now))
      Each->Peers->queryPrimary("g", Primary, Now);
    Each->Peers->sweep(Now);
  }
}

constexpr std::size_t AllDirect = 1000;
constexpr std::size_t ThroughReporters = 0;

} // namespace

// A VM that has contact with the primary keeps every VM of both regions from
// replacing it, at any moment.
BOOST_AUTO_TEST_CASE(aVetoReachesAllVmsThroughReporters) {
  for (unsigned Holder : {0U, 5U, 6U, VmCount - 1}) {
    DoubtFleet Fleet(ThroughReporters);
    Fleet.setInContact(Holder);
    Fleet.fail();
    bool WasLost = Fleet.runUntil(
        [&] {
          return std::any_of(Fleet.Vms.begin(), Fleet.Vms.end(),
                             [&](auto &Each) { return Fleet.isLost(*Each); });
        },
        2s);
    BOOST_TEST(!WasLost, "contact at VM " << Holder);
    for (auto &Each : Fleet.Vms) {
      bool IsHolder = Each->Name == "vm-" + std::to_string(Holder);
      bool IsVetoed = Each->detector().hasRecentPeerContact(BootClock::now());
      BOOST_TEST((IsHolder || IsVetoed), Each->Name);
    }
  }
}

// A veto that is passed on must end when the contact is VetoWindow old: its age
// adds up along the way.
BOOST_AUTO_TEST_CASE(aVetoThatIsPassedOnKeepsItsAge) {
  DoubtFleet Fleet(ThroughReporters);
  Fleet.setInContact(VmCount - 1);
  Fleet.fail();
  Fleet.runUntil([] { return false; }, 1s);
  Fleet.setInContact(std::nullopt);
  TimePoint LastContact = BootClock::now();
  Fleet.runUntil(
      [&] { return BootClock::now() - LastContact > VetoWindow + RoundedOff; },
      1s);
  for (auto &Each : Fleet.Vms)
    BOOST_TEST(!Each->detector().hasRecentPeerContact(BootClock::now()),
               Each->Name);
}

// The detection through reporters takes as long as if each VM asked each other.
BOOST_AUTO_TEST_CASE(aLostPrimaryIsDetectedAsSoonThroughReporters) {
  constexpr Duration LostAfter = 600ms;
  for (std::size_t Pairs : {AllDirect, ThroughReporters}) {
    DoubtFleet Fleet(Pairs);
    Fleet.fail();
    Duration Took = Fleet.runUntilLost();
    BOOST_TEST_MESSAGE("lost after " << toMillis(Took).count() << " ms");
    BOOST_TEST((Took < LostAfter + 50ms));
  }
}

// While a primary is lost, a majority of reports must be recent at any moment,
// on platforms that do not fence, too, where reports count for 200 ms.
BOOST_AUTO_TEST_CASE(evidenceThroughReportersStaysRecent) {
  DoubtFleet Fleet(ThroughReporters, LeasedVetoWindow);
  Fleet.fail();
  Fleet.runUntilLost();
  bool WasNotLost = Fleet.runUntil(
      [&] {
        return std::any_of(Fleet.Vms.begin(), Fleet.Vms.end(),
                           [&](auto &Each) { return !Fleet.isLost(*Each); });
      },
      2s);
  BOOST_TEST(!WasNotLost);
}

// The VMs that ask for all of a region may be lost together with the primary.
BOOST_AUTO_TEST_CASE(theLossOfReportersDelaysNothing) {
  constexpr Duration LostAfter = 600ms;
  DoubtFleet Fleet(ThroughReporters);
  std::vector<std::string> Near = Fleet.reportersOf("r1");
  std::vector<std::string> Far = Fleet.reportersOf("r2");
  BOOST_REQUIRE(Near.size() == 2U);
  BOOST_REQUIRE(Far.size() == 2U);
  Fleet.end(Near[0]);
  Fleet.end(Far[1]);
  Fleet.end(Near[1]);
  Fleet.fail();
  Duration Took = Fleet.runUntilLost();
  BOOST_TEST_MESSAGE("lost after " << toMillis(Took).count() << " ms");
  BOOST_TEST((Took < LostAfter + 50ms));
}
