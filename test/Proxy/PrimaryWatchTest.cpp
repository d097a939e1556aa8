#define BOOST_TEST_MODULE PrimaryWatch
#include <boost/test/unit_test.hpp>

#include "Proxy/PrimaryWatch.h"

using namespace cicadawind;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};

struct WatchOfSeven {
  WatchOfSeven() { Watch.setPrimary("a"); }

  /// Peers "p1" to "pN" say at \p Now that they heard the primary \p Heard ago.
  void peersSay(int Count, std::optional<Duration> Heard, TimePoint Now) {
    for (int I = 1; I <= Count; ++I)
      Watch.notePeer("p" + std::to_string(I), "a", Heard, true, Now);
  }

  PrimaryWatch Watch{PrimaryWatch::Options{}};
};

} // namespace

BOOST_AUTO_TEST_CASE(aMajorityThatHeardNothingReplacesThePrimary) {
  WatchOfSeven W;
  W.Watch.noteContact("a", Start);
  W.Watch.noteFailure("a", Start + 100ms);
  W.peersSay(3, 2s, Start + 900ms);
  BOOST_TEST(W.Watch.isLost(6, Start + 900ms));
}

BOOST_AUTO_TEST_CASE(oneFailureIsNotEnough) {
  WatchOfSeven W;
  W.Watch.noteFailure("a", Start);
  W.peersSay(6, std::nullopt, Start + 300ms);
  BOOST_TEST(W.Watch.isSuspect(Start + 300ms));
  BOOST_TEST(!W.Watch.isLost(6, Start + 300ms));
}

BOOST_AUTO_TEST_CASE(anAnswerEndsTheDoubt) {
  WatchOfSeven W;
  W.Watch.noteFailure("a", Start);
  W.Watch.noteContact("a", Start + 500ms);
  W.peersSay(6, std::nullopt, Start + 1s);
  BOOST_TEST(!W.Watch.isLost(6, Start + 1s));
}

// A VM that is cut off from the primary alone must not replace it.
BOOST_AUTO_TEST_CASE(onePeerThatHearsThePrimaryVetoes) {
  WatchOfSeven W;
  W.Watch.noteFailure("a", Start);
  W.peersSay(6, std::nullopt, Start + 1s);
  W.Watch.notePeer("p2", "a", 50ms, true, Start + 1s);
  BOOST_TEST(!W.Watch.isLost(6, Start + 1s));
}

// A VM that is cut off from everything must not replace it either.
BOOST_AUTO_TEST_CASE(withoutAMajorityNothingIsReplaced) {
  WatchOfSeven W;
  W.Watch.noteFailure("a", Start);
  W.peersSay(2, std::nullopt, Start + 1s);
  BOOST_TEST(!W.Watch.isLost(6, Start + 1s));
}

// A VM that was frozen finds old answers only.
BOOST_AUTO_TEST_CASE(oldAnswersOfPeersDoNotCount) {
  WatchOfSeven W;
  W.Watch.noteFailure("a", Start);
  W.peersSay(6, std::nullopt, Start + 100ms);
  BOOST_TEST(!W.Watch.isLost(6, Start + 5s));
}

BOOST_AUTO_TEST_CASE(evidenceOnOnePrimaryDoesNotCountForTheNext) {
  WatchOfSeven W;
  W.Watch.noteFailure("a", Start);
  W.peersSay(6, std::nullopt, Start + 1s);
  W.Watch.setPrimary("b");
  BOOST_TEST(!W.Watch.isSuspect(Start + 1s));
  BOOST_TEST(!W.Watch.isLost(6, Start + 1s));
}

BOOST_AUTO_TEST_CASE(aVmAloneDecidesAlone) {
  WatchOfSeven W;
  W.Watch.noteFailure("a", Start);
  BOOST_TEST(W.Watch.isLost(0, Start + 1s));
}

// Silence counts from the request that found it, not from when it was noticed.
BOOST_AUTO_TEST_CASE(failuresMayBeNotedForAnEarlierTime) {
  WatchOfSeven W;
  W.Watch.noteContact("a", Start);
  W.Watch.noteFailure("a", Start + 10ms);
  W.peersSay(6, 600ms, Start + 600ms);
  BOOST_TEST(W.Watch.isLost(6, Start + 610ms));
}

BOOST_AUTO_TEST_CASE(thePeerThatReachesThePrimaryItselfIsTheWayToIt) {
  WatchOfSeven W;
  W.Watch.noteFailure("a", Start);
  W.Watch.notePeer("p1", "a", 10ms, false, Start + 1s);
  W.Watch.notePeer("p2", "a", 90ms, true, Start + 1s);
  W.Watch.notePeer("p3", "a", 50ms, true, Start + 1s);
  W.Watch.notePeer("p4", "a", std::nullopt, true, Start + 1s);
  BOOST_TEST(W.Watch.relayPeer(Start + 1s).value() == "p3");
  BOOST_TEST(!W.Watch.relayPeer(Start + 3s));
}
