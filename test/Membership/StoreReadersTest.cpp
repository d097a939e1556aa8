#define BOOST_TEST_MODULE StoreReaders
#include <boost/test/unit_test.hpp>

#include "Core/Random.h"
#include "Membership/StoreReaders.h"

#include <algorithm>
#include <iostream>
#include <memory>
#include <random>

using namespace cicadawind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t Domains = 6;
const TimePoint Start{seconds(1000)};

std::string nameOf(std::size_t Vm) { return "vm-" + std::to_string(Vm); }
std::uint32_t hashOf(std::size_t Vm) {
  return static_cast<std::uint32_t>(hashText(nameOf(Vm)));
}

/// The StoreReaders of a fleet in virtual time. Hellos arrive at once. A VM
/// that may read the store has read it by the next step if the store works.
class ReaderFleet {
public:
  explicit ReaderFleet(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      VmEntry Entry;
      Entry.Vm = nameOf(I);
      Entry.FailureDomain = "d" + std::to_string(I % Domains);
      Entries.push_back(Entry);
      start(I);
    }
  }

  void start(std::size_t I) {
    StoreReaders::Options Opts;
    Opts.OwnVm = nameOf(I);
    Opts.FailureDomain = Entries[I].FailureDomain;
    Vms.resize(std::max(Vms.size(), I + 1));
    Vms[I] = std::make_unique<StoreReaders>(Opts, Now);
  }
  /// Tells all VMs that exactly the VMs for which \p IsLive holds are live.
  void setLive(const std::function<bool(std::size_t)> &IsLive) {
    std::vector<VmEntry> Live;
    for (std::size_t I = 0; I < Vms.size(); ++I)
      if (IsLive(I))
        Live.push_back(Entries[I]);
    for (std::size_t I = 0; I < Vms.size(); ++I)
      Vms[I]->setPeers(Live, Now);
  }
  /// Runs one step of \p Length: those that may read do, and each VM sends a
  /// hello to \p Fanout random VMs.
  void step(Duration Length, std::size_t Fanout = 8) {
    Now += Length;
    Reading.assign(Vms.size(), false);
    for (std::size_t I = 0; I < Vms.size(); ++I)
      Reading[I] = !IsDown(I) && Vms[I]->mayRead(Now);
    for (std::size_t I = 0; I < Vms.size(); ++I) {
      if (Reading[I] && !StoreWorks)
        Vms[I]->recordFailure(Now);
      if (!IsDown(I))
        sendHellos(I, Fanout);
    }
  }
  void sendHellos(std::size_t From, std::size_t Fanout) {
    std::vector<ContactAge> Reads = Vms[From]->latestReads(Now);
    if (Reading[From] && StoreWorks)
      Reads.push_back({.VmHash = hashOf(From)});
    for (std::size_t N = 0; N < Fanout; ++N) {
      std::size_t To = Random() % Vms.size();
      for (const ContactAge &Each : Reads)
        if (To != From)
          Vms[To]->recordRead(Each.VmHash, Now - Each.Age);
    }
  }
  std::size_t readers() const {
    return std::count(Reading.begin(), Reading.end(), true);
  }

  TimePoint Now = Start;
  std::vector<VmEntry> Entries;
  std::vector<std::unique_ptr<StoreReaders>> Vms;
  std::vector<bool> Reading;
  std::function<bool(std::size_t)> IsDown = [](std::size_t) { return false; };
  bool StoreWorks = true;
  std::mt19937_64 Random{7};
};

bool always(std::size_t) { return true; }

} // namespace

// The number of VMs that read the store depends on the number of failure
// domains, not on that of VMs.
BOOST_AUTO_TEST_CASE(threeVmsOfADomainReadTheStore) {
  for (std::size_t Count : {30, 101, 300, 936}) {
    ReaderFleet Fleet(Count);
    Fleet.setLive(always);
    std::size_t Most = 0;
    for (int Second = 0; Second < 30; ++Second) {
      Fleet.step(seconds(1));
      Most = std::max(Most, Fleet.readers());
    }
    BOOST_TEST(Most == 3 * Domains, Count << " VMs");
  }
}

// With at most three VMs a domain, each reads the store itself, so that no
// change reaches it later than from there.
BOOST_AUTO_TEST_CASE(allVmsOfASmallFleetReadTheStore) {
  ReaderFleet Fleet(7);
  Fleet.setLive(always);
  Fleet.step(milliseconds(25));
  BOOST_TEST(Fleet.readers() == 7);
}

// After a restart of all VMs, most wait for the list of VMs and then for their
// peers. Even if neither arrives, they do not all read at the same time.
BOOST_AUTO_TEST_CASE(vmsThatKnowNoPeersStartToReadOneAfterTheOther) {
  ReaderFleet Fleet(300);
  Fleet.step(milliseconds(200));
  BOOST_TEST(Fleet.readers() < 10);
  std::size_t Before = Fleet.readers();
  for (int Step = 0; Step < 8; ++Step) {
    Fleet.step(milliseconds(100));
    BOOST_TEST(Fleet.readers() - Before < 60);
    Before = Fleet.readers();
  }
  BOOST_TEST(Before == 300);
}

// All readers are lost together and still count as live. Another VM must take
// over within the time that a change of the configuration may take, and the
// others must not follow it.
BOOST_AUTO_TEST_CASE(fewOtherVmsTakeOverWhenAllReadersAreLost) {
  for (std::size_t Count : {101, 300, 936}) {
    ReaderFleet Fleet(Count);
    Fleet.setLive(always);
    for (int Step = 0; Step < 20; ++Step)
      Fleet.step(milliseconds(250), 2);
    std::vector<bool> Lost = Fleet.Reading;
    Fleet.IsDown = [&](std::size_t I) { return Lost[I]; };
    TimePoint LostAt = Fleet.Now;
    while (Fleet.readers() == 0 || Fleet.Now == LostAt)
      Fleet.step(milliseconds(250), 2);
    BOOST_TEST((Fleet.Now - LostAt <= milliseconds(6000)), Count << " VMs");
    std::size_t Most = 0;
    for (int Step = 0; Step < 40; ++Step) {
      Fleet.step(milliseconds(250), 2);
      Most = std::max(Most, Fleet.readers());
    }
    BOOST_TEST(Most <= 3 * Domains, Count << " VMs: " << Most);
  }
}

// While nobody can read the store, each VM tries again only after its whole
// wait, so the tries do not grow into a load that keeps the store down.
BOOST_AUTO_TEST_CASE(aVmThatFailsWaitsAgain) {
  ReaderFleet Fleet(300);
  Fleet.setLive(always);
  Fleet.step(milliseconds(250), 2);
  Fleet.StoreWorks = false;
  std::size_t Tries = 0;
  constexpr int Steps = 80; // 20 s
  for (int Step = 0; Step < Steps; ++Step) {
    Fleet.step(milliseconds(250), 2);
    Tries += Fleet.readers();
  }
  std::size_t OfReaders = 3 * Domains * Steps;
  BOOST_TEST(Tries - OfReaders <= 300U * 4);
  BOOST_TEST(Tries > OfReaders);
}

// A VM that cannot reach any peer reads the store itself.
BOOST_AUTO_TEST_CASE(aVmWithoutPeersReadsTheStore) {
  ReaderFleet Fleet(30);
  Fleet.setLive([](std::size_t I) { return I == 29; });
  Fleet.step(milliseconds(25));
  BOOST_TEST(Fleet.Vms[29]->mayRead(Fleet.Now));
}
