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
#include "LoopRunner.h"
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
                      .ProvisionalTime = std::chrono::milliseconds(100),
                      .RelistTime = std::chrono::milliseconds(200),
                      .MinSpread = std::chrono::milliseconds(10),
                      .Random = [] { return 4; }},
                     Client, Client, Peers) {}

  static PeerExchange::Options peerOptions() {
    PeerExchange::Options Out;
    Out.Vm = "vm-1";
    Out.Address = "127.0.0.1";
    Out.Random = [] { return 4; };
    return Out;
  }
  /// Runs the registration until \p Condition holds.
  bool registerUntil(const std::function<bool()> &Condition) {
    return runUntil([&] {
      Registration.confirmIfDue(Loop, BootClock::now());
      return Condition();
    });
  }
  /// Returns whether the entry of \p Vm in the store is provisional.
  bool isProvisional(const char *Vm = "vm-1") {
    Result<StoredObject> Stored =
        runOn(Loop, Client.read("cicadawind-vms", Vm, std::chrono::seconds(1)));
    return valueOf(Stored).Value.find("provisional") != std::string::npos;
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

// review/9: VMs that are lost right after their start are no voters.
BOOST_AUTO_TEST_CASE(anEntryIsProvisionalUntilItsVmHasStayed) {
  RegistrationWorld World;
  spawn(World.Loop, World.Registration.run());
  BOOST_TEST(World.runUntil([&] { return World.isRegistered(); }));
  BOOST_TEST(World.isProvisional());
  World.Store.Faults.Refusal = 503;
  World.registerUntil([&] { return World.Store.Calls["write"] == 2; });
  World.Store.Faults.Refusal = 0;
  std::uint64_t Writes = World.Store.Calls["write"];
  BOOST_TEST(
      World.registerUntil([&] { return World.Store.Calls["write"] > Writes; }));
  World.runFor(std::chrono::milliseconds(50));
  BOOST_TEST(!World.isProvisional());
}

BOOST_AUTO_TEST_CASE(aVmThatStartsAgainIsNotProvisional) {
  RegistrationWorld World;
  World.Store.put("cicadawind-vms", "vm-1", toJson(VmEntry{.Vm = "vm-1"}));
  spawn(World.Loop, World.Registration.run());
  BOOST_TEST(World.runUntil([&] { return World.Store.Calls["write"] == 2; }));
  World.runFor(std::chrono::milliseconds(50));
  BOOST_TEST(!World.isProvisional());
}

// It may have been confirmed since, and count as a voter.
BOOST_AUTO_TEST_CASE(vmsAreListedAgainIfAProvisionalOneWasNotHeardOf) {
  for (bool Listed : {true, false}) {
    RegistrationWorld World;
    if (Listed)
      World.Store.put("cicadawind-vms", "vm-7",
                      toJson(VmEntry{.Vm = "vm-7", .Provisional = true}));
    auto Voters = [&] {
      return World.Peers.voters(BootClock::now(), {.CountsProvisional = false})
          .size();
    };
    spawn(World.Loop, World.Registration.run());
    BOOST_TEST(World.runUntil([&] { return World.Store.Calls["list"] == 1; }));
    World.runFor(std::chrono::milliseconds(50));
    BOOST_TEST(Voters() == 1U);
    if (Listed)
      World.Store.put("cicadawind-vms", "vm-7", toJson(VmEntry{.Vm = "vm-7"}));
    TimePoint End = BootClock::now() + std::chrono::milliseconds(600);
    World.registerUntil([&] { return BootClock::now() > End; });
    BOOST_TEST(World.Store.Calls["list"] == (Listed ? 2U : 1U));
    BOOST_TEST(Voters() == (Listed ? 2U : 1U));
  }
}
