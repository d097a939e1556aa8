// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE VmRegistration
#include <boost/test/unit_test.hpp>

#include "Async/AsyncSignal.h"
#include "Emulator/EmulatedStore.h"
#include "Exchange/PeerExchange.h"
#include "Exchange/VmRegistration.h"
#include "Http/HttpClient.h"
#include "HttpObjectStore.h"
#include "Membership/VmEntryCodec.h"
#include "Platform/StoreRevision.h"
#include "Proxy/ProxyWorld.h"

using namespace cicadawind;
using namespace cicadawind::test;

namespace {

/// A VM that registers in an emulated store.
struct RegistrationWorld : ProxyWorld {
  RegistrationWorld()
      : Store(Loop, "127.0.0.1", 0), Http(Loop, HttpClient::Options{}),
        Client(Loop, Http,
               {.Address = "127.0.0.1:" + std::to_string(Store.port())}, Meter),
        Peers(Loop, peerOptions(), Http, *Service),
        Registration({.GoneDelay = std::chrono::milliseconds(50),
                      .Random = [] { return 4; }},
                     Client, Client, Peers) {}

  static PeerExchange::Options peerOptions() {
    PeerExchange::Options Out;
    Out.Vm = "vm-1";
    Out.Address = "127.0.0.1";
    Out.Random = [] { return 4; };
    return Out;
  }
  bool isRegistered() const { return Store.contains("cicadawind-vms", "vm-1"); }

  emulator::EmulatedStore Store;
  HttpClient Http;
  platform::HttpObjectStore Client;
  PeerExchange Peers;
  VmRegistration Registration;
};

} // namespace

BOOST_AUTO_TEST_CASE(aVmIsListedAgainAfterTheStoreLostItsEntry) {
  RegistrationWorld World;
  World.Store.keepCopy();
  spawn(World.Loop, World.Registration.run());
  BOOST_TEST(World.runUntil([&] { return World.isRegistered(); }));
  World.Store.restoreCopy();
  BOOST_TEST(!World.isRegistered());
  std::uint64_t Restored = StoreRevision{.Era = 2, .Number = 90}.pack();
  BOOST_TEST(World.runUntil([&] {
    World.Registration.renewIfRestored(World.Loop, Restored);
    return World.isRegistered();
  }));
}

BOOST_AUTO_TEST_CASE(anEntryIsNotWrittenAgainInTheSameEra) {
  RegistrationWorld World;
  spawn(World.Loop, World.Registration.run());
  BOOST_TEST(World.runUntil([&] { return World.isRegistered(); }));
  World.runFor(std::chrono::milliseconds(50));
  std::uint64_t Writes = World.Store.Calls["write"];
  World.Registration.renewIfRestored(
      World.Loop, StoreRevision{.Era = 1, .Number = 5000}.pack());
  World.runFor(std::chrono::milliseconds(50));
  BOOST_TEST(World.Store.Calls["write"] == Writes);
}

// review/8: VMs that start later waited for one that had left.
BOOST_AUTO_TEST_CASE(aPlannedStopRemovesTheEntry) {
  RegistrationWorld World;
  spawn(World.Loop, World.Registration.run());
  BOOST_TEST(World.runUntil([&] { return World.isRegistered(); }));
  spawn(World.Loop, World.Registration.withdraw());
  BOOST_TEST(World.runUntil([&] { return World.Registration.isWithdrawn(); }));
  BOOST_TEST(!World.isRegistered());
  World.Registration.renewIfRestored(
      World.Loop, StoreRevision{.Era = 2, .Number = 90}.pack());
  World.runFor(std::chrono::milliseconds(50));
  BOOST_TEST(!World.isRegistered());
}

BOOST_AUTO_TEST_CASE(aPlannedStopKeepsTheEntryOfALaterProcess) {
  RegistrationWorld World;
  spawn(World.Loop, World.Registration.run());
  BOOST_TEST(World.runUntil([&] { return World.isRegistered(); }));
  World.runFor(std::chrono::milliseconds(50));
  World.Store.put("cicadawind-vms", "vm-1", {{"incarnation", 9}});
  spawn(World.Loop, World.Registration.withdraw());
  BOOST_TEST(World.runUntil([&] { return World.Registration.isWithdrawn(); }));
  BOOST_TEST(World.isRegistered());
}

BOOST_AUTO_TEST_CASE(aPlannedStopDoesNotWaitForAStoreThatIsAway) {
  RegistrationWorld World;
  spawn(World.Loop, World.Registration.run());
  BOOST_TEST(World.runUntil([&] { return World.isRegistered(); }));
  World.runFor(std::chrono::milliseconds(50));
  World.Store.Faults.Refusal = 503;
  spawn(World.Loop, World.Registration.withdraw());
  BOOST_TEST(World.runUntil([&] { return World.Registration.isWithdrawn(); }));
  BOOST_TEST(World.isRegistered());
}

// Otherwise VMs that start later would count it as a voter.
BOOST_AUTO_TEST_CASE(theEntryOfAVmThatIsGoneIsRemoved) {
  RegistrationWorld World;
  VmEntry Gone{.Vm = "vm-7", .FailureDomain = "d1", .Incarnation = 5};
  World.Peers.contactListed({Gone});
  World.Store.put("cicadawind-vms", "vm-7", toJson(Gone));
  TimePoint End = BootClock::now() + std::chrono::milliseconds(40);
  while (BootClock::now() < End) {
    World.Registration.removeGone(World.Loop, {"vm-7"}, BootClock::now());
    World.runFor(std::chrono::milliseconds(10));
  }
  BOOST_TEST(World.Store.contains("cicadawind-vms", "vm-7"));
  BOOST_TEST(World.runUntil([&] {
    World.Registration.removeGone(World.Loop, {"vm-7"}, BootClock::now());
    return !World.Store.contains("cicadawind-vms", "vm-7");
  }));
  World.runFor(std::chrono::milliseconds(600));
  std::uint64_t Reads = World.Store.Calls["read"];
  World.Registration.removeGone(World.Loop, {"vm-7"}, BootClock::now());
  World.runFor(std::chrono::milliseconds(50));
  BOOST_TEST(World.Store.Calls["read"] == Reads);
}

BOOST_AUTO_TEST_CASE(theEntryOfAVmThatHasStartedAgainIsNotRemoved) {
  RegistrationWorld World;
  VmEntry Gone{.Vm = "vm-7", .FailureDomain = "d1", .Incarnation = 5};
  World.Peers.contactListed({Gone});
  Gone.Incarnation = 6;
  World.Store.put("cicadawind-vms", "vm-7", toJson(Gone));
  BOOST_TEST(World.runUntil([&] {
    World.Registration.removeGone(World.Loop, {"vm-7"}, BootClock::now());
    return World.Store.Calls["read"] == 1;
  }));
  World.runFor(std::chrono::milliseconds(50));
  BOOST_TEST(World.Store.contains("cicadawind-vms", "vm-7"));
}

BOOST_AUTO_TEST_CASE(aVmWhoseEntryWasRemovedWritesItAgain) {
  RegistrationWorld World;
  spawn(World.Loop, World.Registration.run());
  BOOST_TEST(World.runUntil([&] { return World.isRegistered(); }));
  World.runFor(std::chrono::milliseconds(50));
  World.Store.remove("cicadawind-vms", "vm-1");
  TimePoint Now = BootClock::now();
  World.Registration.checkIfDue(World.Loop, true, Now);
  World.Registration.checkIfDue(World.Loop, true,
                                Now + std::chrono::minutes(10));
  BOOST_TEST(World.runUntil([&] { return World.isRegistered(); }));
}
