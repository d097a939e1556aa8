#define BOOST_TEST_MODULE UnansweredRollback
#include <boost/test/unit_test.hpp>

#include "Proxy/ProxyWorld.h"

#include <string>

using namespace cicadawind;
using namespace cicadawind::test;
using namespace std::chrono_literals;

namespace {

/// More than the connections that the primary accepts.
constexpr int LostReplies = 30;

std::size_t openConnections(ProxyWorld &World) {
  return World.Service->findGroup("g")->connectionCount().Open;
}

} // namespace

// Guards against review/13: connections whose rollback is never answered stay
// counted for good, until none may be opened to the primary any more.
BOOST_AUTO_TEST_CASE(lostRepliesToRollbacksOfReadsUseUpNoConnections) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  BOOST_REQUIRE(Caller.ask("WRITE i1 x").starts_with("COMPLETE"));
  World.instance("a").Faults.MuteRollbacks = LostReplies;
  for (int I = 0; I < 10 * LostReplies; ++I) {
    Caller.ask("READ i1");
    if (World.instance("a").Faults.MuteRollbacks == 0)
      break;
  }
  BOOST_TEST(World.instance("a").Faults.MuteRollbacks == 0);
  World.runFor(1s);
  BOOST_TEST(Caller.ask("READ i1").starts_with("ROW x"));
}

// The same after transactions that callers leave open.
BOOST_AUTO_TEST_CASE(lostRepliesToRollbacksOfTransactionsUseUpNoConnections) {
  ProxyWorld World;
  World.instance("a").Faults.MuteRollbacks = LostReplies;
  for (int I = 0; I < 10 * LostReplies; ++I) {
    ProxyCaller Caller(World, "latest");
    Caller.ask("BEGIN");
    Caller.ask("WRITE i1 x");
    Caller.close();
    World.runFor(20ms);
    if (World.instance("a").Faults.MuteRollbacks == 0)
      break;
  }
  BOOST_TEST(World.instance("a").Faults.MuteRollbacks == 0);
  World.runFor(1s);
  ProxyCaller Caller(World, "latest");
  BOOST_TEST(Caller.ask("WRITE i1 y").starts_with("COMPLETE"));
}

// Guards against a connection that is closed under the session which has it
// after the rollback was answered.
BOOST_AUTO_TEST_CASE(connectionThatWasReleasedInTimeIsKept) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  BOOST_REQUIRE(Caller.ask("WRITE i1 x").starts_with("COMPLETE"));
  for (int I = 0; I < 5; ++I)
    BOOST_TEST(Caller.ask("READ i1").starts_with("ROW x"));
  Caller.ask("BEGIN");
  Caller.ask("WRITE i1 z");
  std::size_t Before = openConnections(World);
  World.runFor(1s);
  BOOST_TEST(openConnections(World) == Before);
  BOOST_TEST(Caller.ask("COMMIT").starts_with("COMPLETE"));
}
