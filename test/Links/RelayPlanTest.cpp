#define BOOST_TEST_MODULE RelayPlan
#include <boost/test/unit_test.hpp>

#include "Links/RelayPlan.h"

#include <algorithm>

using namespace cicadawind;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};
constexpr unsigned MaxConnections = 30;

std::string domainOf(std::size_t Vm) { return "d" + std::to_string(Vm % 6); }
std::string regionOf(const std::string &Domain) {
  return Domain < "d3" ? "r1" : "r2";
}
std::string nameOf(std::size_t Vm) { return "vm-" + std::to_string(Vm); }

/// A fleet of VMs in six failure domains, and the RelayPlan of each VM.
struct Fleet {
  explicit Fleet(std::size_t Count, bool PoolsScarceConnections = false) {
    for (std::size_t I = 0; I < Count; ++I) {
      VmEntry Entry;
      Entry.Vm = nameOf(I);
      Entry.FailureDomain = domainOf(I);
      Entry.Region = regionOf(Entry.FailureDomain);
      All.push_back(Entry);
    }
    for (std::size_t I = 0; I < Count; ++I) {
      RelayPlan::Options Opts;
      Opts.Vm = nameOf(I);
      Opts.FailureDomain = domainOf(I);
      Opts.Region = regionOf(domainOf(I));
      Opts.PoolsScarceConnections = PoolsScarceConnections;
      for (std::size_t D = 0; D < 6; ++D)
        Opts.Regions[domainOf(D)] = regionOf(domainOf(D));
      Plans.emplace_back(Opts);
      std::vector<VmEntry> Others = All;
      Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(I));
      Plans.back().setPeers(Others);
    }
  }
  /// Removes \p LostVms from the views of all other VMs.
  void removeVms(const std::set<std::string> &LostVms) {
    for (std::size_t I = 0; I < Plans.size(); ++I) {
      std::vector<VmEntry> Others;
      for (const VmEntry &Each : All)
        if (Each.Vm != nameOf(I) && !LostVms.count(Each.Vm))
          Others.push_back(Each);
      Plans[I].setPeers(Others);
    }
  }

  std::vector<VmEntry> All;
  std::vector<RelayPlan> Plans;
};

TargetEntry targetIn(const std::string &Name, const std::string &Domain) {
  return TargetEntry{.Instance = Name, .Group = "g", .FailureDomain = Domain};
}

TargetEntry targetWithSlots(unsigned Slots) {
  TargetEntry Out = targetIn("a", "d4");
  Out.Slots = Slots;
  return Out;
}

/// Returns the number of VMs that connect to \p Target themselves.
std::size_t directVms(const Fleet &F, const TargetEntry &Target,
                      unsigned Connections) {
  return static_cast<std::size_t>(
      std::count_if(F.Plans.begin(), F.Plans.end(), [&](const RelayPlan &Plan) {
        return Plan.pathTo(Target, Connections).Direct;
      }));
}

} // namespace

BOOST_AUTO_TEST_CASE(vmsOfASmallFleetConnectDirectly) {
  Fleet Small(7);
  for (const RelayPlan &Plan : Small.Plans) {
    TargetPath Path = Plan.pathTo(targetIn("a", "d1"), 16);
    BOOST_TEST(Path.Direct);
    BOOST_TEST(Path.Share == 2);
    BOOST_TEST(Plan.relaysOf(targetIn("a", "d1"), 16).empty());
  }
}

BOOST_AUTO_TEST_CASE(allVmsChooseTheSameRelaysInTheTargetsDomain) {
  Fleet Big(72);
  TargetEntry Target = targetIn("a", "d4");
  std::set<std::string> Chosen = Big.Plans[0].relaysOf(Target, MaxConnections);
  BOOST_TEST(Chosen.size() == 3);
  std::size_t Direct = 0;
  for (std::size_t I = 0; I < Big.Plans.size(); ++I) {
    BOOST_TEST(Big.Plans[I].relaysOf(Target, MaxConnections) == Chosen);
    TargetPath Path = Big.Plans[I].pathTo(Target, MaxConnections);
    BOOST_TEST(Path.Direct == (Chosen.count(nameOf(I)) != 0));
    Direct += Path.Direct ? 1 : 0;
  }
  BOOST_TEST(Direct == 3);
  for (const std::string &Name : Chosen)
    BOOST_TEST(domainOf(std::stoul(Name.substr(3))) == "d4");
}

BOOST_AUTO_TEST_CASE(sharesNeverExceedTheTargetsConnections) {
  for (std::size_t Count : {2, 3, 9, 24, 72, 300}) {
    Fleet F(Count);
    unsigned Sum = 0;
    for (const RelayPlan &Plan : F.Plans) {
      TargetPath Path = Plan.pathTo(targetIn("a", "d1"), MaxConnections);
      Sum += Path.Direct ? Path.Share : 0;
    }
    BOOST_TEST_CONTEXT(Count << " VMs") { BOOST_TEST(Sum <= MaxConnections); }
  }
}

BOOST_AUTO_TEST_CASE(relayingIsSpreadOverTheVms) {
  Fleet Big(72);
  std::map<std::string, int> Load;
  for (int I = 0; I < 240; ++I)
    for (const std::string &Vm : Big.Plans[0].relaysOf(
             targetIn("t" + std::to_string(I), domainOf(I % 6)),
             MaxConnections))
      ++Load[Vm];
  int MaxLoad = 0;
  for (const auto &[Vm, Count] : Load)
    MaxLoad = std::max(MaxLoad, Count);
  // The average is ten targets per VM.
  BOOST_TEST(Load.size() == 72U);
  BOOST_TEST(MaxLoad <= 25);
}

BOOST_AUTO_TEST_CASE(relaysShareTheLoadOfTheOtherVms) {
  Fleet Big(72);
  TargetEntry Target = targetIn("a", "d4");
  std::map<std::string, int> LoadByRelay;
  for (const RelayPlan &Plan : Big.Plans) {
    TargetPath Path = Plan.pathTo(Target, MaxConnections);
    if (!Path.Direct)
      ++LoadByRelay[Path.Relays.front().Vm];
  }
  BOOST_TEST(LoadByRelay.size() == 3);
  for (const auto &[Vm, Count] : LoadByRelay)
    BOOST_TEST(Count >= 10);
}

BOOST_AUTO_TEST_CASE(lostRelaysAreReplacedAndTheOthersAreKept) {
  Fleet Big(72);
  TargetEntry Target = targetIn("a", "d4");
  std::set<std::string> Before = Big.Plans[0].relaysOf(Target, MaxConnections);
  std::string Lost = *Before.begin();
  Big.removeVms({Lost});
  std::set<std::string> After = Big.Plans[0].relaysOf(Target, MaxConnections);
  BOOST_TEST(After.size() == 3);
  BOOST_TEST(After.count(Lost) == 0);
  for (const std::string &Name : Before)
    if (Name != Lost)
      BOOST_TEST(After.count(Name) == 1);
}

BOOST_AUTO_TEST_CASE(relaysAreChosenInTheRegionOrElsewhereIfTheDomainIsLost) {
  Fleet Big(72);
  TargetEntry Target = targetIn("a", "d4");
  std::set<std::string> LostVms;
  for (const VmEntry &Vm : Big.All)
    if (Vm.FailureDomain == "d4")
      LostVms.insert(Vm.Vm);
  Big.removeVms(LostVms);
  for (const std::string &Name : Big.Plans[0].relaysOf(Target, MaxConnections))
    BOOST_TEST(regionOf(domainOf(std::stoul(Name.substr(3)))) == "r2");
  for (const VmEntry &Vm : Big.All)
    if (Vm.Region == "r2")
      LostVms.insert(Vm.Vm);
  Big.removeVms(LostVms);
  BOOST_TEST(Big.Plans[0].relaysOf(Target, MaxConnections).size() == 3);
}

BOOST_AUTO_TEST_CASE(anUnreachableVmIsExcludedForALimitedTime) {
  Fleet Big(72);
  TargetEntry Target = targetIn("a", "d4");
  RelayPlan &Plan = Big.Plans[0];
  Plan.sweep(Start);
  std::string Unreachable =
      Plan.pathTo(Target, MaxConnections).Relays.front().Vm;
  Plan.markUnreachable(Unreachable, Start);
  BOOST_TEST(Plan.sweep(Start));
  BOOST_TEST(Plan.relaysOf(Target, MaxConnections).count(Unreachable) == 0);
  BOOST_TEST(!Plan.sweep(Start + 2s));
  BOOST_TEST(Plan.sweep(Start + 3s));
  BOOST_TEST(Plan.relaysOf(Target, MaxConnections).count(Unreachable) == 1);
}

// Guards against statements that wait for a lost VM again and again: each
// attempt to reach it delays them, so attempts must become rare.
BOOST_AUTO_TEST_CASE(exclusionsOfAnUnreachableVmGrowLonger) {
  Fleet Big(72);
  TargetEntry Target = targetIn("a", "d4");
  RelayPlan &Plan = Big.Plans[0];
  std::string Unreachable =
      Plan.pathTo(Target, MaxConnections).Relays.front().Vm;
  TimePoint Now = Start;
  int Attempts = 0;
  for (; Now < Start + 60s; Now += 100ms) {
    Plan.sweep(Now);
    if (Plan.relaysOf(Target, MaxConnections).count(Unreachable) == 0)
      continue;
    ++Attempts;
    Plan.markUnreachable(Unreachable, Now);
  }
  BOOST_TEST(Attempts <= 5);
  // After a long time without failures, the exclusion is short again.
  Plan.sweep(Now + 200s);
  Plan.markUnreachable(Unreachable, Now + 200s);
  Plan.sweep(Now + 203s);
  BOOST_TEST(Plan.relaysOf(Target, MaxConnections).count(Unreachable) == 1);
}

// Guards against refused relay requests while VMs have different views of the
// fleet: the VM that asks may have a newer or an older view.
BOOST_AUTO_TEST_CASE(aVmThatIsAskedToRelayConnectsDirectly) {
  Fleet Big(72);
  TargetEntry Target = targetIn("a", "d4");
  RelayPlan &Plan = Big.Plans[0];
  BOOST_TEST(!Plan.pathTo(Target, MaxConnections).Direct);
  Plan.recordRelayRequest("a", Start);
  BOOST_TEST(Plan.pathTo(Target, MaxConnections).Direct);
  BOOST_TEST(!Plan.pathTo(targetIn("b", "d4"), MaxConnections).Direct);
  Plan.sweep(Start + 11s);
  BOOST_TEST(!Plan.pathTo(Target, MaxConnections).Direct);
}

// Connections of an account are kept while they are not in use, so all relays
// and those that stand in for them must stay below the target's limit.
BOOST_AUTO_TEST_CASE(standbyRelaysTakeAPartOfWhatRelaysLeaveFree) {
  Fleet Vms(60);
  TargetEntry Target = targetIn("a", "d1");
  for (RelayPlan &Plan : Vms.Plans) {
    Plan.setServesAccounts(true);
    Plan.recordRelayRequest("a", Start);
  }
  unsigned OfRelays = 0;
  unsigned OfStandby = 0;
  for (const RelayPlan &Plan : Vms.Plans) {
    TargetPath Path = Plan.pathTo(Target, MaxConnections);
    BOOST_TEST(Path.Direct);
    if (Path.Standby)
      OfStandby = Path.Share;
    else
      OfRelays += Path.Share;
  }
  BOOST_TEST(OfRelays == 24U);
  BOOST_TEST(OfRelays + 3 * OfStandby <= MaxConnections);
  BOOST_TEST(OfStandby == 2U);
}

BOOST_AUTO_TEST_CASE(aLeavingVmIsNoRelayWhereConnectionsServeAccounts) {
  for (bool ServesAccounts : {false, true}) {
    Fleet Vms(60);
    TargetEntry Target = targetIn("a", "d1");
    std::size_t RelaysBefore = 0;
    std::size_t RelaysAfter = 0;
    for (RelayPlan &Plan : Vms.Plans) {
      Plan.setServesAccounts(ServesAccounts);
      RelaysBefore += Plan.pathTo(Target, MaxConnections).Direct;
      Plan.setLeaving();
      RelaysAfter += Plan.pathTo(Target, MaxConnections).Direct;
    }
    BOOST_TEST(RelaysBefore == 3U);
    BOOST_TEST(RelaysAfter == (ServesAccounts ? 0U : 3U));
  }
}

// The load that this answers: 33 VMs share 51 connections to a target with
// 5 slots, and the callers of a few VMs ask for most of what it can do. With
// one connection each, these VMs queue while slots are free.
BOOST_AUTO_TEST_CASE(aShareBelowTheTargetsSlotsIsPooled) {
  Fleet Pooling(33, true);
  TargetEntry Target = targetWithSlots(5);
  BOOST_TEST(directVms(Pooling, Target, 51) == 3U);
  BOOST_TEST(Pooling.Plans[0].relaysOf(Target, 51).size() == 3U);
  unsigned Sum = 0;
  for (const RelayPlan &Plan : Pooling.Plans) {
    TargetPath Path = Plan.pathTo(Target, 51);
    Sum += Path.Direct ? Path.Share : 0;
    BOOST_TEST((Path.Direct || Path.Share >= Target.Slots));
  }
  BOOST_TEST(Sum <= 51U);
}

BOOST_AUTO_TEST_CASE(aShareOfAsManyConnectionsAsSlotsIsNotPooled) {
  Fleet Pooling(7, true);
  BOOST_TEST(directVms(Pooling, targetWithSlots(2), 16) == 7U);
  BOOST_TEST(directVms(Pooling, targetWithSlots(3), 16) == 3U);
}

BOOST_AUTO_TEST_CASE(scarceConnectionsAreNotPooledUnlessTheOptionsSaySo) {
  Fleet Sharing(33);
  BOOST_TEST(directVms(Sharing, targetWithSlots(5), 51) == 33U);
  BOOST_TEST(Sharing.Plans[0].relaysOf(targetWithSlots(5), 51).empty());
}

// Guards against connections beyond the target's limit while VMs are lost one
// after the other and the rest passes from relays to direct connections.
BOOST_AUTO_TEST_CASE(pooledSharesStayWithinTheLimitAsTheFleetShrinks) {
  for (std::size_t Count = 33; Count >= 2; --Count) {
    Fleet Pooling(Count, true);
    unsigned Sum = 0;
    for (const RelayPlan &Plan : Pooling.Plans) {
      TargetPath Path = Plan.pathTo(targetWithSlots(5), 51);
      Sum += Path.Direct ? Path.Share : 0;
    }
    BOOST_TEST_CONTEXT(Count << " VMs") { BOOST_TEST(Sum <= 51U); }
  }
}
