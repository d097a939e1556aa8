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
