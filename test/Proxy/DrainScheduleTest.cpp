#define BOOST_TEST_MODULE DrainSchedule
#include <boost/test/unit_test.hpp>

#include "Proxy/DrainSchedule.h"

using namespace cicadawind;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start = TimePoint(100s);
constexpr Duration Grace = 6s;

} // namespace

// A request that is still at a target when the process ends is lost.
BOOST_AUTO_TEST_CASE(
    aRequestOfTheSecondHalfRunsOnlyIfItsTimeoutEndsBeforeTheDrain) {
  struct Case {
    Duration At;
    Duration Timeout;
    bool MayRun;
  };
  DrainSchedule Schedule(Start, Grace);
  for (const Case &Each :
       {Case{0s, 800ms, true}, Case{0s, 30s, true}, Case{2999ms, 30s, true},
        Case{3000ms, 30s, false}, Case{3000ms, 2500ms, true},
        Case{4700ms, 800ms, true}, Case{4701ms, 800ms, false},
        Case{5500ms, 0s, true}, Case{5600ms, 0s, false}})
    BOOST_TEST_CONTEXT(toMillis(Each.At).count()
                       << " ms, timeout " << toMillis(Each.Timeout).count()) {
      TimePoint Now = Start + Each.At;
      BOOST_TEST(Schedule.mayRun(Now, Now + Each.Timeout) == Each.MayRun);
    }
}

BOOST_AUTO_TEST_CASE(theDrainEndsBeforeTheGraceTime) {
  for (Duration Each : {Duration(1s), Duration(6s), Duration(60s)}) {
    DrainSchedule Schedule(Start, Each);
    BOOST_TEST((Schedule.end() < Start + Each));
    BOOST_TEST((Schedule.end() > Start + Each * 5 / 6));
  }
}

BOOST_AUTO_TEST_CASE(theProcessStopsWithoutSessionsOnceTheBalancerHasNoticed) {
  DrainSchedule Schedule(Start, Grace);
  BOOST_TEST(!Schedule.isOver(Start + 2499ms, false));
  BOOST_TEST(Schedule.isOver(Start + 2500ms, false));
  BOOST_TEST(!Schedule.isOver(Start + 5499ms, true));
  BOOST_TEST(Schedule.isOver(Start + 5500ms, true));
}

// A grace time shorter than the balancer's check ended with a SIGKILL.
BOOST_AUTO_TEST_CASE(aShortGraceTimeIsNotExceeded) {
  for (bool HasSessions : {false, true})
    BOOST_TEST(DrainSchedule(Start, 1s).isOver(Start + 1s, HasSessions));
}
