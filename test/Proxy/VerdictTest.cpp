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

/// Codes that promise that nothing of the attempt is kept.
const std::set<std::string> Promises{"BUSY",     "ABORTED",   "LAGGING",
                                     "READONLY", "MISROUTED", "TOOMANY"};

/// Code of an error answer; empty when it is none.
std::string codeOf(const std::string &Answer) {
  if (!Answer.starts_with("ERROR "))
    return {};
  return Answer.substr(6, Answer.find(' ', 6) - 6);
}

std::size_t timesInLog(const ProxyWorld &World, const std::string &Id) {
  std::size_t Count = 0;
  for (const emulator::LogEntry &Entry :
       World.Group.instances().at(World.Group.primary()).Log)
    Count += Entry.RequestId == Id ? 1 : 0;
  return Count;
}

} // namespace

BOOST_AUTO_TEST_CASE(aWriteWhoseAnswerIsLostIsInDoubtAndNotSentAgain) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  World.instance("a").Faults.LoseAnswers = 1;
  BOOST_TEST(codeOf(Caller.ask("WRITE i1 x")) == "INDOUBT");
  BOOST_TEST(World.recordsOf(Caller.lastId()).size() == 1);
  BOOST_TEST(timesInLog(World, Caller.lastId()) == 1);
}

BOOST_AUTO_TEST_CASE(aCommitWhoseAnswerIsLostIsInDoubt) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  Caller.ask("BEGIN");
  Caller.ask("WRITE i1 x");
  World.instance("a").Faults.LoseAnswers = 1;
  BOOST_TEST(codeOf(Caller.ask("COMMIT")) == "INDOUBT");
  BOOST_TEST(timesInLog(World, Caller.lastId()) == 1);
}

BOOST_AUTO_TEST_CASE(aCommitThatWroteNothingNeedsNoDoubt) {
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

BOOST_AUTO_TEST_CASE(aReadMovesToAnotherTargetWhenItsTargetIsLost) {
  ProxyWorld World;
  ProxyCaller Caller(World, "bounded");
  for (const char *Id : {"b", "c"})
    World.instance(Id).crash();
  std::string Answer = Caller.ask("READ i1");
  BOOST_TEST(Answer.starts_with("ROW"));
}

BOOST_AUTO_TEST_CASE(aReadLeavesASilentTargetBeforeItsTimeIsOver) {
  ProxyWorld World;
  ProxyCaller Caller(World, "bounded");
  for (const char *Id : {"b", "c"})
    World.instance(Id).Faults.Silent = true;
  TimePoint Start = BootClock::now();
  std::string Answer = Caller.ask("READ i1");
  BOOST_TEST(Answer.starts_with("ROW"));
  BOOST_TEST((BootClock::now() - Start < std::chrono::milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(aWriteAtASilentPrimaryEndsInDoubtAtItsTimeLimit) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  Caller.ask("WRITE i1 x");
  World.instance("a").Faults.Silent = true;
  TimePoint Start = BootClock::now();
  std::string Code = codeOf(Caller.ask("WRITE i1 y"));
  Duration Took = BootClock::now() - Start;
  BOOST_TEST(Code == "INDOUBT");
  BOOST_TEST((Took >= std::chrono::milliseconds(750)));
  BOOST_TEST((Took < std::chrono::milliseconds(1200)));
}

BOOST_AUTO_TEST_CASE(whatABusyTargetRefusedIsTriedAgainAndRunsOnce) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  World.instance("a").Faults.Busy = 1;
  BOOST_TEST(codeOf(Caller.ask("WRITE i1 x")) == "");
  BOOST_TEST(timesInLog(World, Caller.lastId()) == 1);
}

BOOST_AUTO_TEST_CASE(withoutAPrimaryAWriteIsRefusedWithAPromiseThatHolds) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  World.instance("a").crash();
  World.runFor(std::chrono::milliseconds(50));
  std::string Code = codeOf(Caller.ask("WRITE i1 x"));
  BOOST_TEST(Promises.count(Code) == 1);
  BOOST_TEST(World.recordsOf(Caller.lastId()).empty());
}

BOOST_AUTO_TEST_CASE(aConnectionWithAnUnreadAnswerIsNeverLentAgain) {
  ProxyWorld World;
  World.instance("b").Faults.Work = std::chrono::milliseconds(200);
  World.instance("c").Faults.Work = std::chrono::milliseconds(200);
  World.instance("a").Faults.Work = std::chrono::milliseconds(200);
  std::set<std::uint64_t> Left;
  {
    ProxyCaller Caller(World, "latest");
    Caller.send("QUERY gone1 READ i1");
    World.runFor(std::chrono::milliseconds(100));
    Caller.close();
  }
  World.runFor(std::chrono::milliseconds(400));
  for (const RunRecord &Run : World.recordsOf("gone1"))
    Left.insert(Run.Connection);
  for (const char *Id : {"a", "b", "c"})
    World.instance(Id).Faults.Work = Duration::zero();
  ProxyCaller Other(World, "latest");
  for (int I = 0; I < 20; ++I) {
    Other.ask("READ i1");
    for (const RunRecord &Run : World.recordsOf(Other.lastId()))
      BOOST_TEST(Left.count(Run.Connection) == 0);
  }
}

// Trying again at once would only keep a busy target busy.
BOOST_AUTO_TEST_CASE(aBusyTargetIsNotPressed) {
  ProxyWorld World;
  ProxyCaller Caller(World, "latest");
  World.instance("a").Faults.Busy = 1000;
  TimePoint Start = BootClock::now();
  BOOST_TEST(codeOf(Caller.ask("WRITE i1 x")) == "BUSY");
  Duration Took = BootClock::now() - Start;
  std::size_t Attempts = World.recordsOf(Caller.lastId()).size();
  BOOST_TEST(Attempts >= 2);
  BOOST_TEST((Took >= (Attempts - 1) * std::chrono::milliseconds(10)));
}

// Other VMs share the target, so this one sends it less at once.
BOOST_AUTO_TEST_CASE(aBusyTargetGetsLessAtOnce) {
  constexpr std::size_t Many = 6;
  ProxyWorld World;
  std::vector<std::unique_ptr<ProxyCaller>> Callers;
  Callers.reserve(Many);
  for (std::size_t I = 0; I < Many; ++I)
    Callers.push_back(std::make_unique<ProxyCaller>(World, "latest"));
  World.instance("a").Faults.Work = std::chrono::milliseconds(30);
  std::size_t Most = 0;
  World.onSweep(
      [&](TimePoint) { Most = std::max(Most, World.instance("a").running()); });
  auto MostAtOnce = [&] {
    Most = 0;
    for (auto &Caller : Callers)
      Caller->send("QUERY many WRITE i1 x");
    for (auto &Caller : Callers)
      Caller->receive();
    return Most;
  };
  // Connections are opened one after the other.
  constexpr int Rounds = 20;
  for (int Round = 0; Round < Rounds && MostAtOnce() < Many; ++Round)
    continue;
  BOOST_TEST(MostAtOnce() == Many);
  World.instance("a").Faults.Busy = 2 * Many;
  MostAtOnce();
  BOOST_TEST(MostAtOnce() <= Many / 2);
}
