#define BOOST_TEST_MODULE EvidenceReporters
#include <boost/test/unit_test.hpp>

#include "Membership/EvidenceReporters.h"

#include <algorithm>
#include <set>

using namespace cicadawind;
using std::chrono::milliseconds;

namespace {

const TimePoint Start{std::chrono::seconds(1000)};

/// Returns \p Count VMs of one region in \p Domains failure domains.
std::vector<VmEntry> regionOf(std::size_t Count, std::size_t Domains) {
  std::vector<VmEntry> Out;
  for (std::size_t I = 0; I < Count; ++I) {
    VmEntry Each;
    Each.Vm = "vm-" + std::to_string(I);
    Each.FailureDomain = "d" + std::to_string(I % Domains);
    Out.push_back(std::move(Each));
  }
  return Out;
}

/// Lets a VM ask the reporters of "g" from \p From to \p To, each 80 ms,
/// without a report. Returns the last choice.
EvidenceReporters::Choice askInVain(EvidenceReporters &Reporters,
                                    const std::vector<VmEntry> &Vms,
                                    Duration From, Duration To) {
  EvidenceReporters::Choice Last;
  for (Duration At = From; At <= To; At += milliseconds(80)) {
    Last = Reporters.choose("g", Vms, Start + At);
    for (const std::string &Vm : Last.Vms)
      Reporters.recordAsked("g", Vm, Start + At);
  }
  return Last;
}

} // namespace

// The queries to the other regions must depend on the groups, not on the VMs.
BOOST_AUTO_TEST_CASE(allVmsOfARegionHaveTheSameTwoReporters) {
  std::vector<VmEntry> Vms = regionOf(300, 3);
  std::set<std::string> Chosen;
  for (const VmEntry &Own : Vms) {
    EvidenceReporters Each({.OwnVm = Own.Vm});
    // The order in which VMs know each other differs.
    std::rotate(Vms.begin(), Vms.begin() + 7, Vms.end());
    for (const std::string &Vm : Each.choose("g", Vms, Start).Vms)
      Chosen.insert(Vm);
  }
  BOOST_TEST(Chosen.size() == 2U);
}

// The loss of a failure domain must leave one of them.
BOOST_AUTO_TEST_CASE(reportersAreInDifferentFailureDomains) {
  std::vector<VmEntry> Vms = regionOf(46, 2);
  EvidenceReporters Reporters({.OwnVm = "vm-0"});
  for (int G = 0; G < 50; ++G) {
    auto Chosen = Reporters.choose("g" + std::to_string(G), Vms, Start).Vms;
    BOOST_REQUIRE(Chosen.size() == 2U);
    auto DomainOf = [&](const std::string &Vm) {
      return std::find_if(Vms.begin(), Vms.end(),
                          [&](const VmEntry &E) { return E.Vm == Vm; })
          ->FailureDomain;
    };
    BOOST_TEST(DomainOf(Chosen[0]) != DomainOf(Chosen[1]));
  }
}

BOOST_AUTO_TEST_CASE(aRegionOfOneDomainOrOneVmHasReportersToo) {
  EvidenceReporters Reporters({.OwnVm = "x"});
  BOOST_TEST(Reporters.choose("g", regionOf(5, 1), Start).Vms.size() == 2U);
  BOOST_TEST(Reporters.choose("g", regionOf(1, 1), Start).Vms.size() == 1U);
  BOOST_TEST(Reporters.choose("g", {}, Start).Vms.empty());
}

BOOST_AUTO_TEST_CASE(silentReportersArePassedOverForAWhile) {
  std::vector<VmEntry> Vms = regionOf(46, 2);
  EvidenceReporters Reporters({.OwnVm = "x"});
  auto First = Reporters.choose("g", Vms, Start);
  BOOST_TEST(!First.AreFirstSilent);
  // 160 ms after the first query, no report has arrived for 150 ms.
  auto Next = askInVain(Reporters, Vms, milliseconds(0), milliseconds(160));
  BOOST_TEST(Next.AreFirstSilent);
  BOOST_REQUIRE(Next.Vms.size() == 2U);
  for (const std::string &Vm : Next.Vms)
    BOOST_TEST(std::count(First.Vms.begin(), First.Vms.end(), Vm) == 0);
  auto Later = Reporters.choose("g", Vms, Start + milliseconds(3161));
  BOOST_TEST(!Later.AreFirstSilent);
  BOOST_TEST(Later.Vms == First.Vms);
}

BOOST_AUTO_TEST_CASE(theOtherReporterIsKeptWhenOneIsSilent) {
  std::vector<VmEntry> Vms = regionOf(46, 2);
  EvidenceReporters Reporters({.OwnVm = "x"});
  auto First = Reporters.choose("g", Vms, Start);
  EvidenceReporters::Choice Next;
  for (int I = 0; I <= 2; ++I) {
    TimePoint Now = Start + I * milliseconds(80);
    Next = Reporters.choose("g", Vms, Now);
    for (const std::string &Vm : Next.Vms)
      Reporters.recordAsked("g", Vm, Now);
    Reporters.recordReport("g", First.Vms[1]);
  }
  BOOST_TEST(!Next.AreFirstSilent);
  BOOST_TEST(std::count(Next.Vms.begin(), Next.Vms.end(), First.Vms[0]) == 0);
  BOOST_TEST(std::count(Next.Vms.begin(), Next.Vms.end(), First.Vms[1]) == 1);
}

// A report that was lost in an earlier doubt must not matter in the next one.
BOOST_AUTO_TEST_CASE(aReporterThatIsNoLongerAskedIsNotSilent) {
  std::vector<VmEntry> Vms = regionOf(46, 2);
  EvidenceReporters Reporters({.OwnVm = "x"});
  askInVain(Reporters, Vms, milliseconds(0), milliseconds(80));
  auto Later =
      askInVain(Reporters, Vms, milliseconds(5000), milliseconds(5080));
  BOOST_TEST(!Later.AreFirstSilent);
}
