#define BOOST_TEST_MODULE PermitBucket
#include <boost/test/unit_test.hpp>

#include "Quotas/PermitBucket.h"

using namespace cicadawind;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration Time) { return TimePoint(1000s) + Time; }

/// A bucket of 10 permits a second, at most 5.
PermitBucket bucket() {
  return PermitBucket({.PerSecond = 10, .Capacity = 5}, at(0s));
}

} // namespace

BOOST_AUTO_TEST_CASE(aBucketBeginsEmptyAndFillsToItsCapacity) {
  PermitBucket Bucket = bucket();
  BOOST_TEST(Bucket.take(3, at(0s)) == 0);
  BOOST_TEST(Bucket.take(3, at(250ms)) == 2);
  BOOST_TEST(Bucket.take(100, at(10s)) == 5);
  BOOST_TEST(Bucket.take(1, at(10s)) == 0);
}

BOOST_AUTO_TEST_CASE(aDenialSaysWhenThereIsAPermit) {
  PermitBucket Bucket = bucket();
  Duration Wait = Bucket.reserveRetry(at(60ms));
  BOOST_TEST((Wait >= 39ms && Wait <= 41ms));
  BOOST_TEST(Bucket.take(1, at(101ms)) == 1);
}

BOOST_AUTO_TEST_CASE(callersThatAreDeniedComeBackOneAfterAnother) {
  PermitBucket Bucket = bucket();
  Duration First = Bucket.reserveRetry(at(0s));
  Duration Second = Bucket.reserveRetry(at(0s));
  BOOST_TEST((Second >= First + 99ms));
  for (int I = 0; I < 100; ++I)
    BOOST_TEST((Bucket.reserveRetry(at(0s)) <= 1s));
  // The callers have come back or have given up.
  BOOST_TEST(Bucket.take(5, at(3s)) == 5);
  BOOST_TEST((Bucket.reserveRetry(at(3s)) <= 101ms));
}

BOOST_AUTO_TEST_CASE(aLowerShareBindsAtOnce) {
  PermitBucket Bucket = bucket();
  Bucket.setShare({.PerSecond = 1, .Capacity = 2}, at(10s));
  BOOST_TEST(Bucket.take(5, at(10s)) == 2);
  BOOST_TEST(Bucket.take(5, at(11100ms)) == 1);
}

BOOST_AUTO_TEST_CASE(aHigherShareDoesNotFillTheBucket) {
  PermitBucket Bucket = bucket();
  Bucket.setShare({.PerSecond = 10, .Capacity = 50}, at(10s));
  BOOST_TEST(Bucket.take(50, at(10s)) == 5);
}

BOOST_AUTO_TEST_CASE(aBucketThatNeverFillsIssuesNothing) {
  PermitBucket Bucket({}, at(0s));
  BOOST_TEST(Bucket.take(1, at(1h)) == 0);
  BOOST_TEST((Bucket.reserveRetry(at(1h)) == 1s));
}
