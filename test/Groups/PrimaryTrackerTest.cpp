#define BOOST_TEST_MODULE PrimaryTracker
#include <boost/test/unit_test.hpp>

#include "Groups/PrimaryTracker.h"

using namespace cicadawind;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};

LogPosition position(Term WrittenIn, LogIndex Index) {
  return {.WrittenIn = WrittenIn, .Index = Index};
}

} // namespace

BOOST_AUTO_TEST_CASE(ReadRequiresTheEarliestProofThatIsRecentEnough) {
  PrimaryTracker Tracker;
  Tracker.recordLeadershipProof("a", position(1, 10), Start);
  Tracker.recordLeadershipProof("a", position(1, 20), Start + 1s);
  Tracker.recordLeadershipProof("a", position(1, 30), Start + 2s);
  BOOST_TEST(Tracker.requiredPosition(Start + 500ms, {})->Index == 20);
  BOOST_TEST(Tracker.requiredPosition(Start + 1s, {})->Index == 20);
  BOOST_TEST(Tracker.requiredPosition(Start + 1001ms, {})->Index == 30);
  BOOST_TEST(!Tracker.requiredPosition(Start + 2001ms, {}));
}

BOOST_AUTO_TEST_CASE(SessionWriteRaisesTheRequiredPosition) {
  PrimaryTracker Tracker;
  Tracker.recordLeadershipProof("a", position(1, 10), Start);
  SessionWrite LastWrite{.Position = position(1, 15),
                         .AcknowledgedAt = Start + 1ms,
                         .Epoch = Tracker.epoch()};
  BOOST_TEST(Tracker.requiredPosition(Start, LastWrite)->Index == 15);
}

BOOST_AUTO_TEST_CASE(WriteUnderAnEarlierPrimaryRequiresALaterProof) {
  PrimaryTracker Tracker;
  Tracker.recordLeadershipProof("a", position(1, 10), Start);
  SessionWrite LastWrite{.Position = position(1, 15),
                         .AcknowledgedAt = Start + 100ms,
                         .Epoch = Tracker.epoch()};
  Tracker.recordLeadershipProof("b", position(2, 12), Start + 50ms);
  BOOST_TEST(!Tracker.requiredPosition(Start, LastWrite));
  Tracker.recordLeadershipProof("b", position(2, 13), Start + 200ms);
  std::optional<LogPosition> Position =
      Tracker.requiredPosition(Start, LastWrite);
  BOOST_REQUIRE(Position.has_value());
  BOOST_TEST(Position->Index == 13);
  BOOST_TEST(Position->WrittenIn == 2);
}

BOOST_AUTO_TEST_CASE(ChangeOfPrimaryDiscardsEarlierProofs) {
  PrimaryTracker Tracker;
  Tracker.recordLeadershipProof("a", position(1, 99), Start);
  Tracker.recordLeadershipProof("b", position(1, 90), Start + 1s);
  BOOST_TEST(Tracker.requiredPosition(Start, {})->Index == 90);
  BOOST_TEST(Tracker.primary() == "b");
}

BOOST_AUTO_TEST_CASE(LateReplyOfTheOldPrimaryIsIgnored) {
  PrimaryTracker Tracker;
  Tracker.recordLeadershipProof("b", position(2, 10), Start + 1s);
  Tracker.recordLeadershipProof("a", position(1, 50), Start);
  BOOST_TEST(Tracker.primary() == "b");
  BOOST_TEST(Tracker.requiredPosition(Start, {})->Index == 10);
}

BOOST_AUTO_TEST_CASE(RefusalInvalidatesOnlyEarlierProofs) {
  PrimaryTracker Tracker;
  Tracker.recordLeadershipProof("a", position(1, 10), Start + 1s);
  Tracker.recordNotPrimary("a", Start);
  BOOST_TEST(Tracker.primary() == "a");
  Tracker.recordNotPrimary("a", Start + 2s);
  BOOST_TEST(Tracker.primary() == "");
}

BOOST_AUTO_TEST_CASE(EarlierRefusalThatArrivesLateDoesNotAdmitAnOutdatedProof) {
  PrimaryTracker Tracker;
  Tracker.recordNotPrimary("a", Start + 2s);
  Tracker.recordNotPrimary("a", Start);
  Tracker.recordLeadershipProof("a", position(1, 10), Start + 1s);
  BOOST_TEST(Tracker.primary() == "");
}

// A peer that has not polled the old primary again still reports its earlier
// proof. That proof must not make the old primary the primary again.
BOOST_AUTO_TEST_CASE(OlderProofDoesNotRestoreARefusingPrimary) {
  PrimaryTracker Tracker;
  Tracker.recordLeadershipProof("a", position(1, 10), Start);
  Tracker.recordNotPrimary("a", Start + 100ms);
  Tracker.recordLeadershipProof("a", position(1, 12), Start + 90ms);
  BOOST_TEST(Tracker.primary() == "");
  Tracker.recordLeadershipProof("a", position(1, 14), Start + 110ms);
  BOOST_TEST(Tracker.primary() == "a");
}

BOOST_AUTO_TEST_CASE(RegistryEntryIsOnlyAHint) {
  PrimaryTracker Tracker;
  Tracker.recordPrimaryClaim("a", true);
  BOOST_TEST(Tracker.primary() == "a");
  BOOST_TEST(!Tracker.isConfirmed());
  BOOST_TEST(!Tracker.requiredPosition(Start, {}));
  Tracker.recordLeadershipProof("a", position(1, 1), Start);
  Tracker.recordPrimaryClaim("a", false);
  BOOST_TEST(Tracker.primary() == "a");
}
