// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE SlowStartOfTargets
#include <boost/test/unit_test.hpp>

#include "Proxy/ProxyWorld.h"

#include <memory>
#include <string>
#include <vector>

using namespace cicadawind;
using namespace cicadawind::test;
using std::chrono::milliseconds;

namespace {

/// A ProxyWorld with several callers that read at the same time.
struct ReadingWorld : ProxyWorld {
  explicit ReadingWorld(bool UsesSlowStart) : ProxyWorld(UsesSlowStart) {
    for (int I = 0; I < Callers; ++I)
      Readers.push_back(std::make_unique<ProxyCaller>(*this, "bounded"));
    for (auto &[Name, Each] : Instances)
      Each->Faults.Work = milliseconds(5);
    readAll(Rounds);
  }

  /// Lists "c" as if it had started again.
  void restartC() {
    std::vector<TargetEntry> Entries = listedTargets();
    for (TargetEntry &Each : Entries)
      if (Each.Instance == "c")
        ++Each.Incarnation;
    Service->applyTargets(Entries, Service->targetsRevision() + 1);
  }

  /// Lets each caller read \p Count times, all at the same time.
  void readAll(int Count) {
    for (int Round = 0; Round < Count; ++Round) {
      for (const std::unique_ptr<ProxyCaller> &Each : Readers)
        Each->send("QUERY " + std::to_string(++LastId) + " READ x");
      for (const std::unique_ptr<ProxyCaller> &Each : Readers)
        for (const std::string &Line : Each->receive())
          Served += Line.rfind("COMPLETE", 0) == 0;
    }
  }

  /// Returns how many requests slow start affected in the way \p Effect.
  int affected(const std::string &Effect) const {
    std::string Series =
        "cicadawind_slow_start_statements_total{effect=\"" + Effect + "\"} ";
    std::string Text = Meter.text();
    std::size_t At = Text.find(Series);
    return At == std::string::npos ? 0
                                   : std::stoi(Text.substr(At + Series.size()));
  }

  static constexpr int Callers = 4;
  static constexpr int Rounds = 10;
  std::vector<std::unique_ptr<ProxyCaller>> Readers;
  int Served = 0;
  int LastId = 1000;
};

} // namespace

BOOST_AUTO_TEST_CASE(ReadsGoToOtherTargetsWhileOneStartsSlowly) {
  ReadingWorld World(true);
  BOOST_TEST(World.affected("diverted") == 0);
  World.Served = 0;
  // It takes longer than the others, as if it had just started.
  World.instance("c").Faults.Work = milliseconds(60);
  World.restartC();
  World.readAll(ReadingWorld::Rounds);
  BOOST_TEST(World.Served == ReadingWorld::Callers * ReadingWorld::Rounds);
  BOOST_TEST(World.affected("diverted") > 0);
  BOOST_TEST(World.affected("expired") == 0);
}

// Its replies are as quick as those of the others, so nothing is diverted after
// a few of them.
BOOST_AUTO_TEST_CASE(AQuickTargetSoonHasItsShareAgain) {
  ReadingWorld World(true);
  World.restartC();
  World.readAll(3 * ReadingWorld::Rounds);
  int Diverted = World.affected("diverted");
  World.readAll(ReadingWorld::Rounds);
  BOOST_TEST(World.affected("diverted") == Diverted);
}

BOOST_AUTO_TEST_CASE(WithoutTheSettingNothingIsDiverted) {
  ReadingWorld World(false);
  World.instance("c").Faults.Work = milliseconds(60);
  World.restartC();
  World.readAll(ReadingWorld::Rounds);
  BOOST_TEST(World.affected("diverted") == 0);
  BOOST_TEST(World.affected("delayed") == 0);
}

// Only the primary may serve a write, so slow start must not refuse it.
BOOST_AUTO_TEST_CASE(WritesToARestartedPrimaryAreServed) {
  ReadingWorld World(true);
  std::vector<TargetEntry> Entries = World.listedTargets();
  for (TargetEntry &Each : Entries)
    if (Each.ClaimsPrimary)
      ++Each.Incarnation;
  World.Service->applyTargets(Entries, World.Service->targetsRevision() + 1);
  ProxyCaller Writer(World, "latest");
  for (int I = 0; I < 5; ++I)
    BOOST_TEST(
        Writer.ask("WRITE x " + std::to_string(I)).rfind("COMPLETE", 0) == 0);
}
