// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE ProxyVerdict
#include <boost/test/unit_test.hpp>

#include "Proxy/ProxyWorld.h"

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

using namespace cicadawind;
using namespace cicadawind::test;
using cicadawind::emulator::RunRecord;

namespace {

/// Codes that promise that nothing of the request was kept.
const std::set<std::string> NotKeptCodes{"BUSY",     "ABORTED",   "LAGGING",
                                         "READONLY", "MISROUTED", "TOOMANY"};

/// Returns the code of an error response; empty if \p Response is no error.
std::string codeOf(const std::string &Response) {
  if (!Response.starts_with("ERROR "))
    return {};
  return Response.substr(6, Response.find(' ', 6) - 6);
}

std::size_t timesInLog(const ProxyWorld &World, const std::string &Id) {
  std::size_t Count = 0;
  for (const emulator::LogEntry &Entry :
       World.Group.instances().at(World.Group.primary()).Log)
    Count += Entry.RequestId == Id ? 1 : 0;
  return Count;
}

} // namespace

BOOST_AUTO_TEST_CASE(aWriteWhoseReplyIsLostIsInDoubtAndNotSentAgain) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  World.instance("a").Faults.LoseAnswers = 1;
  BOOST_TEST(codeOf(Caller.ask("WRITE i1 x")) == "INDOUBT");
  BOOST_TEST(World.recordsOf(Caller.lastId()).size() == 1);
  BOOST_TEST(timesInLog(World, Caller.lastId()) == 1);
}

BOOST_AUTO_TEST_CASE(aCommitWhoseReplyIsLostIsInDoubt) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  Caller.ask("BEGIN");
  Caller.ask("WRITE i1 x");
  World.instance("a").Faults.LoseAnswers = 1;
  BOOST_TEST(codeOf(Caller.ask("COMMIT")) == "INDOUBT");
  BOOST_TEST(timesInLog(World, Caller.lastId()) == 1);
}

BOOST_AUTO_TEST_CASE(aCommitWithoutWritesIsNeverInDoubt) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  Caller.ask("BEGIN");
  Caller.ask("READ i1");
  World.instance("a").Faults.LoseAnswers = 1;
  BOOST_TEST(codeOf(Caller.ask("COMMIT")) == "ABORTED");
}

BOOST_AUTO_TEST_CASE(aTransactionWhoseConnectionIsLostIsAborted) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  Caller.ask("BEGIN");
  Caller.ask("WRITE i1 x");
  World.instance("a").resetConnections();
  World.runFor(std::chrono::milliseconds(20));
  BOOST_TEST(codeOf(Caller.ask("WRITE i2 y")) == "ABORTED");
  Caller.ask("ROLLBACK");
  BOOST_TEST(World.Group.read("a", "i1") == "");
}

BOOST_AUTO_TEST_CASE(aReadIsRetriedAtAnotherTargetWhenItsTargetIsLost) {
  ProxyWorld World;
  ProxyCaller Caller(World, "bounded");
  for (const char *Id : {"b", "c"})
    World.instance(Id).crash();
  std::string Response = Caller.ask("READ i1");
  BOOST_TEST(Response.starts_with("ROW"));
}

BOOST_AUTO_TEST_CASE(aReadIsRetriedInTimeIfItsTargetIsUnresponsive) {
  ProxyWorld World;
  ProxyCaller Caller(World, "bounded");
  for (const char *Id : {"b", "c"})
    World.instance(Id).Faults.Silent = true;
  TimePoint Start = BootClock::now();
  std::string Response = Caller.ask("READ i1");
  BOOST_TEST(Response.starts_with("ROW"));
  BOOST_TEST((BootClock::now() - Start < std::chrono::milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(aWriteAtAnUnresponsivePrimaryIsInDoubtAfterItsTimeout) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  Caller.ask("WRITE i1 x");
  World.instance("a").Faults.Silent = true;
  TimePoint Start = BootClock::now();
  std::string Code = codeOf(Caller.ask("WRITE i1 y"));
  Duration Elapsed = BootClock::now() - Start;
  BOOST_TEST(Code == "INDOUBT");
  BOOST_TEST((Elapsed >= std::chrono::milliseconds(750)));
  BOOST_TEST((Elapsed < std::chrono::milliseconds(1200)));
}

BOOST_AUTO_TEST_CASE(aRequestRefusedByABusyTargetIsRetriedAndRunsOnce) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  World.instance("a").Faults.Busy = 1;
  BOOST_TEST(codeOf(Caller.ask("WRITE i1 x")) == "");
  BOOST_TEST(timesInLog(World, Caller.lastId()) == 1);
}

BOOST_AUTO_TEST_CASE(withoutAPrimaryAWriteIsRefusedAndNotRun) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  World.instance("a").crash();
  World.runFor(std::chrono::milliseconds(50));
  std::string Code = codeOf(Caller.ask("WRITE i1 x"));
  BOOST_TEST(NotKeptCodes.count(Code) == 1);
  BOOST_TEST(World.recordsOf(Caller.lastId()).empty());
}

BOOST_AUTO_TEST_CASE(aConnectionWithAnOutstandingReplyIsNotReused) {
  ProxyWorld World;
  World.instance("b").Faults.Work = std::chrono::milliseconds(200);
  World.instance("c").Faults.Work = std::chrono::milliseconds(200);
  World.instance("a").Faults.Work = std::chrono::milliseconds(200);
  std::set<std::uint64_t> AbandonedConnections;
  {
    ProxyCaller Caller(World, "latest");
    Caller.send("QUERY gone1 READ i1");
    World.runFor(std::chrono::milliseconds(100));
    Caller.close();
  }
  World.runFor(std::chrono::milliseconds(400));
  for (const RunRecord &Run : World.recordsOf("gone1"))
    AbandonedConnections.insert(Run.Connection);
  for (const char *Id : {"a", "b", "c"})
    World.instance(Id).Faults.Work = Duration::zero();
  ProxyCaller Other(World, "latest");
  for (int I = 0; I < 20; ++I) {
    Other.ask("READ i1");
    for (const RunRecord &Run : World.recordsOf(Other.lastId()))
      BOOST_TEST(AbandonedConnections.count(Run.Connection) == 0);
  }
}

// Guards against immediate retries, which keep a busy target busy.
BOOST_AUTO_TEST_CASE(retriesAtABusyTargetBackOff) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  World.instance("a").Faults.Busy = 1000;
  TimePoint Start = BootClock::now();
  BOOST_TEST(codeOf(Caller.ask("WRITE i1 x")) == "BUSY");
  Duration Elapsed = BootClock::now() - Start;
  std::size_t Attempts = World.recordsOf(Caller.lastId()).size();
  BOOST_TEST(Attempts >= 2);
  BOOST_TEST((Elapsed >= (Attempts - 1) * std::chrono::milliseconds(10)));
}

// Guards against one VM that overloads a target: other VMs use it too, so each
// VM must reduce its simultaneous requests after refusals because of overload.
BOOST_AUTO_TEST_CASE(aBusyTargetGetsFewerSimultaneousRequests) {
  constexpr std::size_t CallerCount = 6;
  ProxyWorld World;
  std::vector<std::unique_ptr<ProxyCaller>> Callers;
  Callers.reserve(CallerCount);
  for (std::size_t I = 0; I < CallerCount; ++I)
    Callers.push_back(std::make_unique<ProxyCaller>(World, "latest"));
  World.instance("a").Faults.Work = std::chrono::milliseconds(30);
  std::size_t MaxRunning = 0;
  World.onSweep([&](TimePoint) {
    MaxRunning = std::max(MaxRunning, World.instance("a").running());
  });
  auto MaxRunningInRound = [&] {
    MaxRunning = 0;
    for (auto &Caller : Callers)
      Caller->send("QUERY many WRITE i1 x");
    for (auto &Caller : Callers)
      Caller->receive();
    return MaxRunning;
  };
  // Connections are opened one at a time, so it takes several rounds until all
  // requests run at the same time.
  constexpr int Rounds = 20;
  for (int Round = 0; Round < Rounds && MaxRunningInRound() < CallerCount;
       ++Round)
    continue;
  BOOST_TEST(MaxRunningInRound() == CallerCount);
  World.instance("a").Faults.Busy = 2 * CallerCount;
  MaxRunningInRound();
  BOOST_TEST(MaxRunningInRound() <= CallerCount / 2);
}
