// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE GroupDispatcher
#include <boost/test/unit_test.hpp>

#include "Links/TargetLink.h"
#include "Proxy/ProxyWorld.h"

using namespace cicadawind;
using namespace cicadawind::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A ProxyWorld whose group of targets a test changes directly.
struct DispatcherWorld : ProxyWorld {
  DispatcherWorld() : Dispatcher(*Service->findGroup("g")) {}

  /// Returns a connection to the primary.
  std::shared_ptr<TargetLink> acquire() {
    std::shared_ptr<TargetLink> Link;
    LinkRequest Request;
    Request.NeedsPrimary = true;
    Request.GiveUpAt = BootClock::now() + seconds(1);
    Request.Granted = [&Link](LinkGrant Grant) { Link = Grant.Link; };
    Request.Refused = [](const Error &) {};
    Dispatcher.submit(std::move(Request));
    BOOST_REQUIRE(runUntil([&] { return Link != nullptr; }));
    return Link;
  }

  GroupDispatcher &Dispatcher;
};

} // namespace

// A target that was dropped and listed again is another process, and the
// connection leads to the earlier one.
BOOST_AUTO_TEST_CASE(aConnectionToADroppedTargetIsNotReused) {
  DispatcherWorld World;
  std::shared_ptr<TargetLink> Link = World.acquire();
  std::vector<TargetEntry> Restarted = World.listedTargets();
  for (TargetEntry &Each : Restarted)
    ++Each.Incarnation;
  World.Dispatcher.setTargets(Restarted);
  World.Dispatcher.release(Link);
  BOOST_TEST(Link->isClosed());
}

// The primary is removed while a request for a leadership proof to it is
// outstanding. Its successor must still be asked.
BOOST_AUTO_TEST_CASE(aProofIsRequestedAfterThePrimaryWasDropped) {
  DispatcherWorld World;
  World.instance("a").Faults.Silent = true;
  World.Dispatcher.probePrimary();
  World.runFor(milliseconds(30));
  World.Group.promote("b", BootClock::now());
  World.Group.at("a").Down = true;
  World.Dispatcher.setTargets(World.listedTargets());
  BOOST_TEST(World.runUntil([&] {
    return World.Dispatcher.tracker().primary() == "b" &&
           World.Dispatcher.tracker().isConfirmed();
  }));
}
