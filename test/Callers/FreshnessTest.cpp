// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE ProxyFreshness
#include <boost/test/unit_test.hpp>

#include "Proxy/ProxyWorld.h"

using namespace cicadawind;
using namespace cicadawind::test;

namespace {

/// Returns the row in the response to a read, or a text that contains the
/// response if it has none.
std::string rowOf(const std::string &Response) {
  if (!Response.starts_with("ROW "))
    return "no row: " + Response;
  return Response.substr(4, Response.find(" | ") - 4);
}

/// Sets the replication lag of all instances.
void setLag(ProxyWorld &World, Duration Lag) {
  for (const char *Id : {"a", "b", "c"})
    World.Group.at(Id).Lag = Lag;
}

/// Returns the number of reads that \p Instance has run for callers.
std::size_t readsAt(ProxyWorld &World, const std::string &Instance) {
  std::size_t Count = 0;
  for (const auto &Record : World.callersRecords())
    Count += Record.Instance == Instance &&
                     Record.Text.find("READ") != std::string::npos
                 ? 1
                 : 0;
  return Count;
}

} // namespace

BOOST_AUTO_TEST_CASE(boundedStalenessReadsRunOnReplicas) {
  ProxyWorld World;
  ProxyCaller Caller(World, "bounded");
  for (int I = 0; I < 20; ++I)
    Caller.ask("READ i1");
  BOOST_TEST(readsAt(World, "a") == 0);
}

BOOST_AUTO_TEST_CASE(sessionReadsItsWritesDespiteReplicationLag) {
  ProxyWorld World;
  setLag(World, std::chrono::milliseconds(300));
  ProxyCaller Caller(World, "own");
  for (int I = 0; I < 30; ++I) {
    std::string Value = "v" + std::to_string(I);
    Caller.ask("WRITE i1 " + Value);
    BOOST_TEST(rowOf(Caller.ask("READ i1")) == Value);
  }
}

BOOST_AUTO_TEST_CASE(latestReadSeesWritesOfOtherSessionsDespiteReplicationLag) {
  ProxyWorld World;
  setLag(World, std::chrono::milliseconds(300));
  ProxyCaller Writer(World, "latest");
  ProxyCaller Reader(World, "latest");
  for (int I = 0; I < 30; ++I) {
    std::string Value = "v" + std::to_string(I);
    Writer.ask("WRITE i1 " + Value);
    BOOST_TEST(rowOf(Reader.ask("READ i1")) == Value);
  }
}

BOOST_AUTO_TEST_CASE(replicaThatReceivesNoLogServesNoReadBeyondMaxStaleness) {
  ProxyWorld World;
  ProxyCaller Writer(World, "latest");
  ProxyCaller Reader(World, "bounded");
  Writer.ask("WRITE i1 old");
  World.Group.at("b").ReplicationPaused = true;
  World.Group.at("c").ReplicationPaused = true;
  TimePoint ChangedAt = BootClock::now();
  Writer.ask("WRITE i1 new");
  while (BootClock::now() - ChangedAt < std::chrono::milliseconds(1900)) {
    TimePoint SentAt = BootClock::now();
    std::string Row = rowOf(Reader.ask("READ i1"));
    if (SentAt - ChangedAt > std::chrono::milliseconds(1500))
      BOOST_TEST(Row == "new");
    World.runFor(std::chrono::milliseconds(20));
  }
}

// The registry still lists the former primary as primary after a promotion that
// bypassed the proxy. A read that the former primary served without checking
// its leadership would return outdated data.
BOOST_AUTO_TEST_CASE(formerPrimaryServesNoLatestReadAfterPromotion) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  Caller.ask("WRITE i1 old");
  World.Group.at("a").ReplicationPaused = true;
  World.Group.promote("b", BootClock::now());
  World.Group.commit("b", "i1", "new", "elsewhere", BootClock::now());
  BOOST_TEST(rowOf(Caller.ask("READ i1")) == "new");
  for (const auto &Record : World.recordsOf(Caller.lastId()))
    BOOST_TEST((Record.Instance == "b" ||
                Record.Answer.find("COMPLETE") == std::string::npos));
}

// No replica can ever reach the log position of a write that a promotion
// discarded. If reads of its session still required that position, all of them
// would time out.
BOOST_AUTO_TEST_CASE(readsDoNotWaitForWriteThatPromotionDiscarded) {
  ProxyWorld World;
  ProxyCaller Caller(World, "own");
  Caller.ask("WRITE i1 kept");
  World.Group.at("b").ReplicationPaused = true;
  World.Group.at("c").ReplicationPaused = true;
  Caller.ask("WRITE i1 cut");
  World.Group.at("b").ReplicationPaused = false;
  World.Group.at("c").ReplicationPaused = false;
  World.Group.promote("b", BootClock::now());
  World.applyListedTargets();
  TimePoint Start = BootClock::now();
  std::string Row;
  for (int I = 0; I < 10 && Row != "kept"; ++I)
    Row = rowOf(Caller.ask("READ i1"));
  BOOST_TEST(Row == "kept");
  BOOST_TEST((BootClock::now() - Start < std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_CASE(readOnlyTransactionSeesWritesOfItsSession) {
  ProxyWorld World;
  ProxyCaller Caller(World, "own");
  Caller.ask("WRITE i1 x");
  World.runFor(std::chrono::milliseconds(20));
  Caller.ask("BEGIN READ");
  BOOST_TEST(rowOf(Caller.ask("READ i1")) == "x");
  std::string Id = Caller.lastId();
  Caller.ask("COMMIT");
  BOOST_REQUIRE(World.recordsOf(Id).size() == 1);
  BOOST_TEST(World.recordsOf(Id)[0].InTransaction);
}

BOOST_AUTO_TEST_CASE(leavingTargetServesNoNewReads) {
  ProxyWorld World;
  ProxyCaller Caller(World, "bounded");
  World.Leaving = {"b"};
  World.applyListedTargets();
  std::size_t Before = readsAt(World, "b");
  for (int I = 0; I < 20; ++I)
    Caller.ask("READ i1");
  BOOST_TEST(readsAt(World, "b") == Before);
}
