// Measures how long writes are unavailable after a primary is lost while the
// store is away, is restored from an older copy, or while other VMs are gone;
// one VM with real code before an emulated group, in real time.
// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_NO_MAIN
#include <boost/test/included/unit_test.hpp>

#include "BenchReport.h"
#include "Promotion/PromotionWorld.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

DEFINE_int32(rounds, 7, "number of losses of each kind");
DEFINE_int32(synchronous_replicas, 0,
             "number of replicas that commits are promised to wait for");
DEFINE_string(only, "", "name of the only case to run; empty for all");

using namespace cicadawind;
using namespace cicadawind::bench;
using namespace cicadawind::test;
using std::chrono::milliseconds;

namespace {

/// Time from the loss of a target to the end of its entry in the registry.
constexpr Duration UnlistedAfter = milliseconds(3600);
/// Time after which a gap counts as endless.
constexpr Duration GiveUpAfter = milliseconds(12000);
/// Time in which the VM reserves a token.
constexpr Duration ReservationTime = milliseconds(400);

/// A PromotionWorld in whose store \p Stored is the object of the group, unless
/// it is empty.
struct StoredWorld : PromotionWorld {
  explicit StoredWorld(const std::string &Stored)
      : PromotionWorld(milliseconds(500)) {
    if (!Stored.empty())
      Store.put("cicadawind-promotions", "g", Stored);
  }
};

struct GapWorld : StoredWorld {
  explicit GapWorld(const std::string &Stored = "")
      : StoredWorld(Stored), Caller(*this, "latest") {
    if (FLAGS_synchronous_replicas > 0)
      setSynchronousReplicas(static_cast<unsigned>(FLAGS_synchronous_replicas));
    Caller.ask("WRITE i1 x");
    runFor(ReservationTime);
  }
  /// Lists \p Count VMs that do not respond.
  void listGoneVms(int Count) {
    std::vector<VmEntry> Entries;
    Entries.reserve(static_cast<std::size_t>(Count));
    for (int I = 0; I < Count; ++I)
      Entries.push_back({.Vm = "gone-" + std::to_string(I),
                         .FailureDomain = "d1",
                         .Region = "r1",
                         .RouterPeer = "127.0.0.1:9",
                         .Incarnation = 1});
    Peers.start();
    Peers.contactListed(Entries);
  }
  std::string storedObject() {
    std::string Out;
    spawn(Loop, readObject(Out));
    runFor(milliseconds(20));
    return Out;
  }
  boost::asio::awaitable<void> readObject(std::string &Out) {
    auto Read =
        co_await Store.read("cicadawind-promotions", "g", milliseconds(100));
    if (!errorOf(Read))
      Out = valueOf(Read).Value;
  }
  /// Crashes "a" and returns the time until a write is acknowledged again.
  double gapAfterLoss() {
    TimePoint Start = BootClock::now();
    instance("a").crash();
    bool IsUnlisted = false;
    onSweep([&](TimePoint Now) {
      Peers.sweep(Now);
      Driver.sweep(Now);
      if (IsUnlisted || Now - Start < UnlistedAfter)
        return;
      IsUnlisted = true;
      applyListedTargets();
    });
    bool IsServed = false;
    while (!IsServed && BootClock::now() - Start < GiveUpAfter)
      IsServed = Caller.ask("WRITE i1 y").starts_with("COMPLETE");
    Duration Gap = BootClock::now() - Start;
    onSweep(nullptr);
    return std::chrono::duration<double, std::milli>(Gap).count();
  }

  ProxyCaller Caller;
};

double storeUp() {
  GapWorld World;
  return World.gapAfterLoss();
}

double storeAway() {
  GapWorld World;
  World.Store.Outage = true;
  return World.gapAfterLoss();
}

double storeAwayOneReplicaBehind() {
  GapWorld World;
  World.Group.at("b").ReplicationPaused = true;
  World.Caller.ask("WRITE i1 z");
  World.Store.Outage = true;
  return World.gapAfterLoss();
}

double storeAwayOneReplicaSilent() {
  GapWorld World;
  World.Store.Outage = true;
  World.instance("b").Faults.Silent = true;
  return World.gapAfterLoss();
}

/// Returns the group's object in the store after a VM reserved a token.
std::string objectAfterReservation() {
  GapWorld World;
  return World.storedObject();
}

/// The VM starts anew with what it had reserved in the store.
double allVmsKilledWithATokenReserved() {
  GapWorld After(objectAfterReservation());
  return After.gapAfterLoss();
}

/// The same; the replica that was named is lost with the primary.
double namedReplicaLostAfterAllVmsWereKilled() {
  GapWorld After(objectAfterReservation());
  After.instance("b").crash();
  return After.gapAfterLoss();
}

double oneVmLeft() {
  GapWorld World;
  World.listGoneVms(6);
  World.runFor(milliseconds(1000));
  return World.gapAfterLoss();
}

double oneVmLeftOfAThousand() {
  GapWorld World;
  World.listGoneVms(1000);
  World.runFor(milliseconds(1000));
  return World.gapAfterLoss();
}

double storeRestoredFromAnOlderCopy() {
  GapWorld World;
  World.Store.keepCopy();
  World.runFor(milliseconds(2500));
  World.Store.restoreCopy();
  return World.gapAfterLoss();
}

/// A failure domain with the primary is alone: no other VM, replica or store.
double domainAloneWithThePrimary() {
  GapWorld World;
  World.listGoneVms(2);
  World.Store.Outage = true;
  for (const char *Id : {"b", "c"})
    World.instance(Id).Faults.Silent = true;
  TimePoint End = BootClock::now() + milliseconds(4000);
  TimePoint Last = BootClock::now();
  Duration Longest = Duration::zero();
  while (BootClock::now() < End) {
    if (!World.Caller.ask("WRITE i1 y").starts_with("COMPLETE"))
      continue;
    Longest = std::max(Longest, BootClock::now() - Last);
    Last = BootClock::now();
  }
  return std::chrono::duration<double, std::milli>(Longest).count();
}

void run(const char *Name, const std::function<double()> &Round) {
  if (!FLAGS_only.empty() && FLAGS_only != Name)
    return;
  std::vector<double> Gaps;
  Gaps.reserve(static_cast<std::size_t>(FLAGS_rounds));
  for (int I = 0; I < FLAGS_rounds; ++I)
    Gaps.push_back(Round());
  print({.Bench = "promotion_gap",
         .Case = Name,
         .Policy = "product",
         .Figures = {{"gap_p50_ms", quantile(Gaps, 0.5)},
                     {"gap_worst_ms", quantile(Gaps, 1)},
                     {"rounds", static_cast<double>(Gaps.size())}},
         .Verdict = "reported"});
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  run("store_up", storeUp);
  run("store_away", storeAway);
  run("store_away_one_replica_behind", storeAwayOneReplicaBehind);
  run("store_away_one_replica_silent", storeAwayOneReplicaSilent);
  run("all_vms_killed_with_a_token_reserved", allVmsKilledWithATokenReserved);
  run("named_replica_lost_after_all_vms_were_killed",
      namedReplicaLostAfterAllVmsWereKilled);
  run("one_vm_left", oneVmLeft);
  run("one_vm_left_of_a_thousand", oneVmLeftOfAThousand);
  run("store_restored_from_an_older_copy", storeRestoredFromAnOlderCopy);
  run("domain_alone_with_the_primary", domainAloneWithThePrimary);
}
