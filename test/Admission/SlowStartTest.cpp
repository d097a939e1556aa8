#define BOOST_TEST_MODULE SlowStart
#include <boost/test/unit_test.hpp>

#include "Admission/ConcurrencyLimit.h"
#include "Admission/SlowStart.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

using namespace cicadawind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Targets = 3;
/// Target 0 starts, the others have settled.
constexpr int Starting = 0;
constexpr int MaxAttempts = 3;
constexpr unsigned Slots = 5;
constexpr std::size_t QueueLength = 40;
constexpr double ServiceMs = 20;
/// Time within which a caller wants the reply.
constexpr double ObjectiveMs = 400;
/// Part of it that a statement may wait for a connection.
constexpr int MaxWaitMs = 200;
/// Statements a second at which the targets are as busy as at the new
/// deployments' peak, and with a burst of 2.2.
constexpr double UsualLoad = 190;
constexpr double BurstLoad = 2.2 * UsualLoad;

struct Statement {
  int Vm = 0;
  double ArrivedAt = 0;
  int Attempts = 0;
  int Avoid = -1;
  double SentAt = 0;
  double EndsAt = 0;
};

/// What is played; times in ms.
struct Scenario {
  int Vms = 33;
  std::size_t Connections = 1;
  double PerSecond = BurstLoad;
  /// Factor of the service time of the starting target until SlowUntil.
  double Slowness = 8;
  double SlowUntil = 4000;
  /// The starting target is down for the first half of each period; 0 if it
  /// stays up.
  double FlapPeriod = 0;
  double Length = 8000;
  bool UsesSlowStart = true;
  /// Whether the starting target says how long it is slow.
  bool Announced = false;
  std::uint64_t Seed = 1;
};

struct Outcome {
  int Arrived = 0;
  int Served = 0;
  int InTime = 0;
  /// Refusals by the starting target.
  int Refused = 0;
  /// Greatest number of statements at the starting target in its first 200 ms.
  std::size_t FirstPeak = 0;
  /// End of the first 200 ms in which the starting target served 0.8 of an
  /// equal share.
  double FullShareAt = 0;
  int ServedByStarting = 0;

  double inTime() const { return double(InTime) / Arrived; }
};

/// VMs and targets on a clock of 1 ms.
class Fleet {
public:
  explicit Fleet(Scenario S) : S(S), Random(S.Seed), Vms(S.Vms) {
    for (Vm &Each : Vms)
      begin(Each, 0);
  }

  Outcome play() {
    for (double Now = 0; Now < S.Length; ++Now) {
      flap(Now);
      arrive(Now);
      for (int Target = 0; Target < Targets; ++Target)
        run(Target, Now);
      for (Vm &Each : Vms)
        dispatch(Each, Now);
      if (Now < 200)
        Out.FirstPeak = std::max(Out.FirstPeak, At[Starting].size());
    }
    return Out;
  }

  const SlowStart &slowStart(int Vm) const { return Vms[Vm].Pace[Starting]; }

private:
  struct Vm {
    std::deque<Statement> Queue;
    std::array<std::size_t, Targets> Running{};
    std::array<ConcurrencyLimit, Targets> Limit;
    std::array<SlowStart, Targets> Pace;
  };

  static TimePoint time(double Ms) {
    return TimePoint(seconds(1000) + milliseconds(static_cast<int>(Ms)));
  }
  double unit() { return std::uniform_real_distribution<>()(Random); }

  void begin(Vm &Each, double Now) {
    if (S.UsesSlowStart)
      Each.Pace[Starting].begin(
          {.Slots = Slots, .Vms = static_cast<unsigned>(S.Vms)}, hint(Now),
          unit(), time(Now));
  }

  std::optional<Duration> hint(double Now) const {
    if (!S.Announced || Now >= S.SlowUntil)
      return std::nullopt;
    return milliseconds(static_cast<int>(S.SlowUntil - Now));
  }

  bool isDown(double Now) const {
    return S.FlapPeriod > 0 && int(Now / S.FlapPeriod * 2) % 2 == 1;
  }

  void flap(double Now) {
    bool Down = isDown(Now);
    if (Down && !WasDown)
      for (Statement &Each : std::exchange(At[Starting], {}))
        fail(Each, Now);
    if (!Down && WasDown)
      for (Vm &Each : Vms)
        begin(Each, Now);
    WasDown = Down;
  }

  void fail(Statement &Each, double Now) {
    Vm &Sender = Vms[Each.Vm];
    --Sender.Running[Starting];
    Sender.Pace[Starting].recordFailed(time(Now));
    retry(Each, Starting);
  }

  void retry(Statement Each, int Target) {
    Each.Avoid = Target;
    if (++Each.Attempts < MaxAttempts)
      Vms[Each.Vm].Queue.push_front(Each);
  }

  void arrive(double Now) {
    int Count = std::poisson_distribution<>(S.PerSecond / 1000)(Random);
    for (; Count > 0; --Count) {
      Statement New{.Vm = int(Random() % Vms.size()), .ArrivedAt = Now};
      Vms[New.Vm].Queue.push_back(New);
      ++Out.Arrived;
    }
  }

  bool mayRun(const Vm &Each, int Target, double Waited, double Now) const {
    std::size_t Running = Each.Running[Target];
    const SlowStart &Pace = Each.Pace[Target];
    bool Overdue = Pace.isOverdue(milliseconds(static_cast<int>(Waited)),
                                  milliseconds(MaxWaitMs));
    bool Paced = Overdue ? Pace.allowsWithoutAlternative(Running, time(Now))
                         : Pace.allows(Running, time(Now));
    return Running < S.Connections && Each.Limit[Target].allows(Running) &&
           Paced && !(Target == Starting && isDown(Now));
  }

  /// Returns the first target in a random order that may run \p Next, or -1.
  int choose(const Vm &Each, const Statement &Next, double Now) {
    std::array<int, Targets> Order{0, 1, 2};
    std::shuffle(Order.begin(), Order.end(), Random);
    for (int Target : Order)
      if (Target != Next.Avoid &&
          mayRun(Each, Target, Now - Next.ArrivedAt, Now))
        return Target;
    return -1;
  }

  void dispatch(Vm &Each, double Now) {
    for (std::size_t Left = Each.Queue.size(); Left > 0; --Left) {
      Statement First = Each.Queue.front();
      int Chosen = choose(Each, First, Now);
      if (Chosen < 0)
        return;
      Each.Queue.pop_front();
      send(First, Chosen, Now);
    }
  }

  void send(Statement Each, int Target, double Now) {
    Vm &Sender = Vms[Each.Vm];
    if (At[Target].size() >= Slots + QueueLength) {
      Sender.Limit[Target].onRefused(Sender.Running[Target] + 1);
      Sender.Pace[Target].recordRefused(time(Now));
      Out.Refused += Target == Starting;
      return retry(Each, Target);
    }
    ++Sender.Running[Target];
    Each.SentAt = Now;
    Each.EndsAt = 0;
    At[Target].push_back(Each);
  }

  double serviceTime(int Target, double Now) {
    double Factor = Target == Starting && Now < S.SlowUntil ? S.Slowness : 1;
    return Factor * ServiceMs *
           std::lognormal_distribution<>(-0.125, 0.5)(Random);
  }

  /// Runs the first statements of a target, in order, and ends those that are
  /// ready.
  void run(int Target, double Now) {
    std::deque<Statement> &Here = At[Target];
    std::size_t Running = std::min<std::size_t>(Slots, Here.size());
    for (std::size_t I = 0; I < Running; ++I)
      if (Here[I].EndsAt == 0)
        Here[I].EndsAt = Now + serviceTime(Target, Now);
    std::deque<Statement> Ready;
    for (std::size_t I = Running; I > 0; --I)
      if (Here[I - 1].EndsAt <= Now) {
        Ready.push_back(Here[I - 1]);
        Here.erase(Here.begin() + static_cast<std::ptrdiff_t>(I) - 1);
      }
    for (const Statement &Each : Ready)
      reply(Each, Target, Now);
  }

  void reply(const Statement &Each, int Target, double Now) {
    Vm &Sender = Vms[Each.Vm];
    --Sender.Running[Target];
    Sender.Limit[Target].onServed();
    Sender.Pace[Target].recordServed(
        milliseconds(static_cast<int>(Now - Each.SentAt)),
        Sender.Pace[Target == 1 ? 2 : 1].usualReplyTime(), time(Now));
    ++Out.Served;
    Out.InTime += Now - Each.ArrivedAt <= ObjectiveMs;
    if (Target != Starting)
      return;
    ++Out.ServedByStarting;
    ++Recent;
    if (Now - RecentSince >= 200) {
      double FullShare = S.PerSecond / Targets * 0.2;
      if (Out.FullShareAt == 0 && Recent >= 0.8 * FullShare)
        Out.FullShareAt = Now;
      Recent = 0;
      RecentSince = Now;
    }
  }

  Scenario S;
  std::mt19937_64 Random;
  std::vector<Vm> Vms;
  std::array<std::deque<Statement>, Targets> At;
  Outcome Out;
  bool WasDown = false;
  int Recent = 0;
  double RecentSince = 0;
};

Outcome play(Scenario S, bool UsesSlowStart) {
  S.UsesSlowStart = UsesSlowStart;
  Outcome Out = Fleet(S).play();
  BOOST_TEST_MESSAGE(
      "vms " << S.Vms << " slowness " << S.Slowness << " slow start "
             << UsesSlowStart << ": in time " << Out.inTime() << " served "
             << double(Out.Served) / Out.Arrived << " refused " << Out.Refused
             << " first peak " << Out.FirstPeak << " by starting "
             << Out.ServedByStarting << " full share at " << Out.FullShareAt);
  return Out;
}

/// 3 VMs share many connections, 33 have one each; 84 stand for VMs whose
/// statements reach a target through relays.
constexpr std::array<std::pair<int, std::size_t>, 3> Sizes = {
    {{3, 17}, {33, 1}, {84, 1}}};

TimePoint at(milliseconds Since) { return TimePoint(seconds(1000)) + Since; }

constexpr SlowStart::Usage ManyVms{.Slots = 5, .Vms = 33};

} // namespace

BOOST_AUTO_TEST_CASE(LimitsNothingUntilItBegins) {
  SlowStart Pace;
  BOOST_TEST(Pace.allows(1000, at({})));
  Pace.recordRefused(at({}));
  Pace.recordFailed(at({}));
  BOOST_TEST(Pace.allows(1000, at({})));
}

BOOST_AUTO_TEST_CASE(AllVmsTogetherBeginWithAPartOfTheSlots) {
  constexpr int Vms = 84;
  int Sent = 0;
  for (int I = 0; I < Vms; ++I) {
    SlowStart Pace;
    Pace.begin({.Slots = 4, .Vms = Vms}, std::nullopt, I / double(Vms), at({}));
    // A statement takes about 50 ms until its reply.
    Sent += Pace.allows(0, at(milliseconds(50)));
  }
  BOOST_TEST(Sent <= 4);
  BOOST_TEST(Sent >= 1);
}

BOOST_AUTO_TEST_CASE(AStatementWithoutAlternativeIsNotDelayed) {
  SlowStart Pace;
  Pace.begin(ManyVms, std::nullopt, 0.9, at({}));
  BOOST_TEST(!Pace.allows(0, at({})));
  BOOST_TEST(Pace.allowsWithoutAlternative(0, at({})));
  BOOST_TEST(!Pace.allowsWithoutAlternative(1, at({})));
  for (int I = 0; I < 20; ++I)
    Pace.recordRefused(at({}));
  BOOST_TEST(Pace.allowsWithoutAlternative(0, at({})));
}

BOOST_AUTO_TEST_CASE(QuickRepliesEndIt) {
  SlowStart Pace;
  Pace.begin(ManyVms, std::nullopt, 0, at({}));
  int Replies = 0;
  for (; Pace.isActive() && Replies < 20; ++Replies)
    Pace.recordServed(milliseconds(20), milliseconds(20), at(milliseconds(20)));
  BOOST_TEST((Pace.state() == SlowStart::State::Settled));
  BOOST_TEST(Replies <= 5);
  BOOST_TEST(Pace.allows(1000, at(milliseconds(20))));
}

BOOST_AUTO_TEST_CASE(SlowRepliesDoNotRaiseThePaceWhileThePeersAreQuick) {
  SlowStart Pace;
  Pace.begin(ManyVms, std::nullopt, 0, at({}));
  double First = Pace.pace();
  for (int I = 0; I < 10; ++I)
    Pace.recordServed(milliseconds(160), milliseconds(20),
                      at(milliseconds(160)));
  BOOST_TEST(Pace.pace() <= First);
  BOOST_TEST(Pace.isActive());
}

// Each reply is as slow as the one before, so the target has settled.
BOOST_AUTO_TEST_CASE(ATargetThatStaysSlowIsUsedForWhatItCanDo) {
  SlowStart Pace;
  Pace.begin(ManyVms, std::nullopt, 0, at({}));
  milliseconds Now{};
  while (Pace.isActive() && Now < seconds(20)) {
    Now += milliseconds(160);
    Pace.recordServed(milliseconds(160), milliseconds(20), at(Now));
  }
  BOOST_TEST((Pace.state() == SlowStart::State::Settled));
  BOOST_TEST(Now.count() < 7000);
}

BOOST_AUTO_TEST_CASE(TheTargetsOwnRepliesBeforeAreAReference) {
  SlowStart Pace;
  for (int I = 0; I < 20; ++I)
    Pace.recordServed(milliseconds(100), std::nullopt, at({}));
  Pace.begin(ManyVms, std::nullopt, 0, at({}));
  double First = Pace.pace();
  Pace.recordServed(milliseconds(100), milliseconds(20), at(milliseconds(1)));
  BOOST_TEST(Pace.pace() > First);
}

BOOST_AUTO_TEST_CASE(ItEndsInAnyCase) {
  SlowStart Quiet;
  Quiet.begin(ManyVms, std::nullopt, 0.9, at({}));
  Quiet.expire(at(milliseconds(9999)));
  BOOST_TEST(Quiet.isActive());
  BOOST_TEST(Quiet.allows(1000, at(seconds(10))));
  Quiet.expire(at(seconds(10)));
  BOOST_TEST((Quiet.state() == SlowStart::State::TimedOut));
}

// A VM that sends the target nothing learns nothing from replies.
BOOST_AUTO_TEST_CASE(TimeRaisesThePaceUnlessRepliesSpeakAgainstIt) {
  SlowStart Quiet;
  Quiet.begin(ManyVms, std::nullopt, 0, at({}));
  SlowStart Doubtful = Quiet;
  for (int Second = 0; Second < 5; ++Second)
    Doubtful.recordServed(milliseconds(300), milliseconds(20),
                          at(seconds(Second)));
  BOOST_TEST(Doubtful.pace() < 0.1);
  BOOST_TEST(!Doubtful.allows(0, at(milliseconds(4010))));
  // One reply after a longer time ends it.
  BOOST_TEST(Quiet.pace() < 0.1);
  Quiet.recordServed(milliseconds(20), milliseconds(20), at(seconds(9)));
  BOOST_TEST(!Quiet.isActive());
}

// The hint is bounded, and does not keep a target slow whose replies are quick.
BOOST_AUTO_TEST_CASE(AHintOnlyMovesTheBound) {
  SlowStart Pace;
  Pace.begin(ManyVms, seconds(3600), 0, at({}));
  Pace.expire(at(milliseconds(29999)));
  BOOST_TEST(Pace.isActive());
  Pace.expire(at(seconds(30)));
  BOOST_TEST(!Pace.isActive());
  Pace.begin(ManyVms, seconds(20), 0, at({}));
  for (int I = 0; I < 7; ++I)
    Pace.recordServed(milliseconds(20), milliseconds(20), at({}));
  BOOST_TEST(!Pace.isActive());
}

BOOST_AUTO_TEST_CASE(RefusalsLowerThePaceAndRepliesRaiseItAgain) {
  SlowStart Pace;
  Pace.begin({.Slots = 40, .Vms = 2}, std::nullopt, 0, at({}));
  double First = Pace.pace();
  Pace.recordRefused(at({}));
  BOOST_TEST(Pace.pace() == First / 2);
  for (int I = 0; I < 100; ++I)
    Pace.recordRefused(at({}));
  BOOST_TEST(Pace.pace() > 0);
  for (int I = 0; I < 200; ++I)
    Pace.recordServed(milliseconds(20), std::nullopt, at({}));
  BOOST_TEST(!Pace.isActive());
}

BOOST_AUTO_TEST_CASE(AFailureTakesThePaceBackToItsBegin) {
  SlowStart Pace;
  Pace.begin(ManyVms, std::nullopt, 0, at({}));
  double First = Pace.pace();
  Pace.recordServed(milliseconds(20), milliseconds(20), at({}));
  BOOST_TEST(Pace.pace() > First);
  Pace.recordFailed(at({}));
  BOOST_TEST(Pace.pace() == First);
  BOOST_TEST(!Pace.allows(0, at({})));
}

// A target that is slow at first returns beside a burst of 2.2.
BOOST_AUTO_TEST_CASE(CallersAreServedInTimeBesideABurst) {
  for (auto [Vms, Connections] : Sizes) {
    Scenario S{.Vms = Vms, .Connections = Connections};
    Outcome Without = play(S, false);
    Outcome With = play(S, true);
    BOOST_TEST(With.inTime() >= 0.95);
    BOOST_TEST(With.inTime() > Without.inTime() + 0.02);
    BOOST_TEST(With.FirstPeak <= 2 * Slots);
    BOOST_TEST(With.Refused == 0);
    S.Announced = true;
    BOOST_TEST(play(S, true).inTime() >= 0.99);
  }
}

// A target that is quick from the start has its share within 3 s, and callers
// notice nothing.
BOOST_AUTO_TEST_CASE(AQuickTargetIsNotLeftIdle) {
  for (auto [Vms, Connections] : Sizes) {
    Scenario S{.Vms = Vms, .Connections = Connections, .Slowness = 1};
    Outcome Without = play(S, false);
    Outcome With = play(S, true);
    BOOST_TEST(With.FullShareAt > 0);
    BOOST_TEST(With.FullShareAt <= 3000);
    BOOST_TEST(With.inTime() >= Without.inTime() - 0.005);
  }
}

BOOST_AUTO_TEST_CASE(AFlappingTargetCostsNoMoreThanWithout) {
  for (auto [Vms, Connections] : Sizes) {
    Scenario S{.Vms = Vms, .Connections = Connections};
    S.FlapPeriod = 2000;
    S.SlowUntil = S.Length;
    Outcome Without = play(S, false);
    Outcome With = play(S, true);
    BOOST_TEST(With.inTime() >= Without.inTime());
  }
}

// It can serve 3.3 times less than the others. Together they are then busy, and
// the slow one must serve a good part of what it can.
BOOST_AUTO_TEST_CASE(ATargetThatIsSlowForGoodIsUsed) {
  for (auto [Vms, Connections] : Sizes) {
    Scenario S{.Vms = Vms, .Connections = Connections};
    S.Slowness = 3;
    S.SlowUntil = S.Length = 30000;
    Outcome Without = play(S, false);
    Outcome With = play(S, true);
    BOOST_TEST(With.ServedByStarting >= 0.6 * Without.ServedByStarting);
    BOOST_TEST(With.inTime() >= Without.inTime() - 0.005);
    Fleet After(S);
    After.play();
    for (int Vm = 0; Vm < Vms; ++Vm)
      BOOST_TEST(!After.slowStart(Vm).isActive());
  }
}

// The others cannot serve the whole load, so the starting target has to help.
BOOST_AUTO_TEST_CASE(TheStartingTargetHelpsWhenTheOthersAreFull) {
  for (auto [Vms, Connections] : Sizes) {
    Scenario S{.Vms = Vms, .Connections = Connections, .PerSecond = 540};
    S.Slowness = 3;
    Outcome Without = play(S, false);
    Outcome With = play(S, true);
    BOOST_TEST(With.inTime() >= Without.inTime() - 0.005);
  }
}
