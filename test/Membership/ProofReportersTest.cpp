#define BOOST_TEST_MODULE ProofReporters
#include <boost/test/unit_test.hpp>

#include "Membership/ProofReporters.h"

#include <set>

using namespace cicadawind;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t Version = 1;
const TimePoint Start{std::chrono::seconds(1000)};

VmEntry vm(std::size_t I) {
  VmEntry Out;
  Out.Vm = "vm-" + std::to_string(I);
  Out.Region = I % 2 == 0 ? "r0" : "r1";
  return Out;
}

/// Returns the other VMs of a fleet of \p Count, as the VM \p Own sees it.
std::vector<VmEntry> peersOf(std::size_t Own, std::size_t Count) {
  std::vector<VmEntry> Out;
  for (std::size_t I = 0; I < Count; ++I)
    if (I != Own)
      Out.push_back(vm(I));
  return Out;
}

/// Returns a VM of "r0" that is not its own reporter for the group "g".
std::size_t findAsker(std::size_t Count) {
  for (std::size_t I = 0; I < Count; I += 2) {
    ProofReporters Each({.OwnVm = vm(I).Vm, .Region = "r0"});
    if (Each.reporterFor("g", peersOf(I, Count), Version, Start))
      return I;
  }
  return Count;
}

} // namespace

// The queries to the other region must depend on the groups, not on the VMs.
BOOST_AUTO_TEST_CASE(oneVmOfARegionAsksForAGroup) {
  for (std::size_t Count : {30, 95, 300, 936}) {
    std::size_t AskThemselves = 0;
    std::set<std::string> Asked;
    for (std::size_t I = 0; I < Count; I += 2) {
      ProofReporters Each({.OwnVm = vm(I).Vm, .Region = "r0"});
      auto Vm = Each.reporterFor("g", peersOf(I, Count), Version, Start);
      AskThemselves += Vm ? 0 : 1;
      if (Vm)
        Asked.insert(*Vm);
    }
    BOOST_TEST(AskThemselves == 1, Count << " VMs");
    BOOST_TEST(Asked.size() == 1, Count << " VMs");
  }
}

// Otherwise one VM would ask for all groups.
BOOST_AUTO_TEST_CASE(groupsHaveDifferentReporters) {
  std::set<std::string> Asked;
  ProofReporters Own({.OwnVm = vm(0).Vm, .Region = "r0"});
  for (int G = 0; G < 60; ++G)
    if (auto Vm = Own.reporterFor("g" + std::to_string(G), peersOf(0, 95),
                                  Version, Start))
      Asked.insert(*Vm);
  BOOST_TEST(Asked.size() > 20);
}

BOOST_AUTO_TEST_CASE(aSilentReporterIsPassedOverForAWhile) {
  std::size_t Own = findAsker(30);
  ProofReporters Reporters({.OwnVm = vm(Own).Vm, .Region = "r0"});
  auto Ask = [&](Duration At) {
    return Reporters.reporterFor("g", peersOf(Own, 30), Version, Start + At);
  };
  auto First = Ask(milliseconds(0));
  BOOST_REQUIRE(First.has_value());
  BOOST_TEST(Ask(milliseconds(150)).has_value());
  BOOST_TEST(!Ask(milliseconds(151)).has_value());
  BOOST_TEST(!Ask(milliseconds(3150)).has_value());
  BOOST_TEST(Ask(milliseconds(3152)).has_value());
  Reporters.recordReport("g", *First);
  BOOST_TEST(Ask(milliseconds(9000)).has_value());
}

// A VM that takes the place of a lost reporter has not been silent.
BOOST_AUTO_TEST_CASE(aNewReporterIsAskedAtOnce) {
  std::size_t Own = findAsker(30);
  ProofReporters Reporters({.OwnVm = vm(Own).Vm, .Region = "r0"});
  std::vector<VmEntry> Peers = peersOf(Own, 30);
  auto First = Reporters.reporterFor("g", Peers, Version, Start);
  BOOST_REQUIRE(First.has_value());
  TimePoint Later = Start + milliseconds(200);
  BOOST_TEST(!Reporters.reporterFor("g", Peers, Version, Later).has_value());
  std::erase_if(Peers, [&](const VmEntry &E) { return E.Vm == *First; });
  auto Next = Reporters.reporterFor("g", Peers, Version + 1, Later);
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST(*Next != *First);
}
