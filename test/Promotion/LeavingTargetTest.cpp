// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE LeavingTarget
#include <boost/test/unit_test.hpp>

#include "Promotion/PromotionWorld.h"
#include "Succession/SuccessionRule.h"

using namespace cicadawind;
using namespace cicadawind::test;
using namespace std::chrono_literals;

namespace {

/// Lists the targets of \p World; \p Instance said \p Age ago that it leaves.
void listLeaving(ProxyWorld &World, const std::string &Instance, Duration Age) {
  std::vector<TargetEntry> Entries = World.listedTargets();
  for (TargetEntry &Entry : Entries) {
    Entry.Leaving = Entry.Instance == Instance;
    if (Entry.Leaving)
      Entry.LeavingSince = BootClock::now() - Age;
  }
  World.Service->applyTargets(Entries, World.Service->targetsRevision() + 1);
}

/// Returns the proxy of another VM, which knows all VMs and no targets yet.
std::unique_ptr<ProxyService> startProxy(ProxyWorld &World) {
  ProxyService::Options Opts;
  Opts.Codec = &World.Codec;
  Opts.Vm = "vm-9";
  Opts.FailureDomain = "d1";
  Opts.Region = "r1";
  Opts.Regions = {{"d1", "r1"}};
  Opts.Random = [] { return 4; };
  auto Out = std::make_unique<ProxyService>(World.Loop, Opts, World.Meter);
  Out->applyConfig(World.Config);
  Out->setPeers({});
  return Out;
}

/// A PromotionWorld whose primary "a" crashes while "c" does not reply and "b"
/// leaves.
struct LastReplicaWorld : PromotionWorld {
  explicit LastReplicaWorld(Duration Age) {
    instance("c").Faults.Silent = true;
    instance("a").crash();
    listLeaving(*this, "b", Age);
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(leavingTargetNearTheEndOfItsBoundIsNotPromoted) {
  LastReplicaWorld World(6s);
  World.runFor(2500ms);
  BOOST_TEST(World.Promotions.Instances.empty());
  World.instance("c").Faults.Silent = false;
  BOOST_TEST(World.waitForPrimary("c"));
}

BOOST_AUTO_TEST_CASE(leavingTargetIsPromotedWhileItsBoundLasts) {
  LastReplicaWorld World(1s);
  BOOST_TEST(World.waitForPrimary("b"));
}

BOOST_AUTO_TEST_CASE(targetOfAnOlderTermDoesNotReplaceALeavingOne) {
  PromotionEvidence Evidence;
  Evidence.Candidates = {
      {.Instance = "b", .Follows = 2, .IsLeaving = true, .MayLead = false},
      {.Instance = "c", .Follows = 1, .Received = {1, 9}}};
  BOOST_TEST(std::holds_alternative<NoSuccessor>(
      decideSuccession(Evidence, PromotionRecord())));
  Evidence.Candidates[1].Follows = 2;
  auto Verdict = decideSuccession(Evidence, PromotionRecord());
  BOOST_REQUIRE(std::holds_alternative<SuccessionChoice>(Verdict));
  BOOST_TEST(std::get<SuccessionChoice>(Verdict).Successor.Instance == "c");
}

BOOST_AUTO_TEST_CASE(leavingPrimaryReceivesNoRequestAfterItsBound) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  listLeaving(World, "a", 4s);
  BOOST_TEST(Caller.ask("WRITE i1 x").starts_with("COMPLETE"));
  listLeaving(World, "a", 8s);
  for (const char *Text : {"WRITE i1 y", "READ i1"}) {
    TimePoint Start = BootClock::now();
    BOOST_TEST(Caller.ask(Text).starts_with("ERROR"));
    BOOST_TEST((BootClock::now() - Start < 100ms));
    BOOST_TEST(World.recordsOf(Caller.lastId()).empty());
  }
  BOOST_TEST(Caller.ask("BEGIN").starts_with("COMPLETE"));
  BOOST_TEST(Caller.ask("WRITE i1 z").starts_with("ERROR"));
  BOOST_TEST(World.recordsOf(Caller.lastId()).empty());
}

// review/10: a VM that had just started sent requests to it for another bound.
BOOST_AUTO_TEST_CASE(leavingTargetOfUnknownAgeReceivesNoRequestUntilItIsKnown) {
  ProxyWorld World;
  std::unique_ptr<ProxyService> Started = startProxy(World);
  std::vector<TargetEntry> Entries = World.listedTargets();
  for (TargetEntry &Entry : Entries)
    Entry.Leaving = Entry.Instance == "a";
  Started->applyTargets(Entries, 1);
  World.onSweep([&](TimePoint Now) { Started->sweep(Now); });
  BOOST_TEST(Started->lacksDeparture());
  ProxyCaller Caller(World, *Started, "latest");
  BOOST_TEST(Caller.ask("WRITE i1 y").starts_with("ERROR"));
  BOOST_TEST(World.recordsOf(Caller.lastId()).empty());
  Started->recordDepartures(
      {{.Instance = "a", .Since = BootClock::now() - 2s}});
  BOOST_TEST(Caller.ask("WRITE i1 z").starts_with("COMPLETE"));
  Started->recordDepartures(
      {{.Instance = "a", .Since = BootClock::now() - 6s}});
  BOOST_TEST(Caller.ask("WRITE i1 z").starts_with("ERROR"));
  World.onSweep(nullptr);
}

BOOST_AUTO_TEST_CASE(openTransactionGoesOnAfterTheBoundOfItsTarget) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  Caller.ask("BEGIN");
  BOOST_TEST(Caller.ask("WRITE i1 x").starts_with("COMPLETE"));
  listLeaving(World, "a", 8s);
  BOOST_TEST(Caller.ask("WRITE i2 x").starts_with("COMPLETE"));
  BOOST_TEST(Caller.ask("COMMIT").starts_with("COMPLETE"));
}

BOOST_AUTO_TEST_CASE(queuedRequestIsRefusedOnceTheBoundOfItsTargetIsOver) {
  ProxyWorld World;
  listLeaving(World, "a", 4s);
  World.instance("a").Faults.Work = 2s;
  std::vector<std::unique_ptr<ProxyCaller>> Callers;
  constexpr int CallerCount = 30;
  for (int I = 0; I < CallerCount; ++I) {
    Callers.push_back(std::make_unique<ProxyCaller>(World, "latest"));
    Callers.back()->send("QUERY q" + std::to_string(I) + " WRITE i1 x");
  }
  GroupDispatcher &Dispatcher = *World.Service->findGroup("g");
  BOOST_REQUIRE(World.runUntil([&] { return Dispatcher.waiting() > 0; }));
  listLeaving(World, "a", 8s);
  World.runFor(20ms);
  BOOST_TEST(Dispatcher.waiting() == 0);
}

BOOST_AUTO_TEST_CASE(relayedRequestIsRefusedAfterTheBoundOfItsTarget) {
  ProxyWorld World;
  listLeaving(World, "a", 8s);
  bool IsGranted = false;
  std::string Reason;
  LinkRequest Request;
  Request.RequiredTarget = "a";
  Request.GiveUpAt = BootClock::now() + 1s;
  Request.Granted = [&](const LinkGrant &) { IsGranted = true; };
  Request.Refused = [&](const Error &Failure) { Reason = Failure.Message; };
  World.Service->findGroup("g")->submit(std::move(Request));
  World.runFor(100ms);
  BOOST_TEST(!IsGranted);
  BOOST_TEST(Reason == "the target leaves and receives no new requests");
}
