#define BOOST_TEST_MODULE IssuerDirectory
#include <boost/test/unit_test.hpp>

#include "Quotas/IssuerDirectory.h"
#include "Quotas/IssuerOrder.h"

using namespace cicadawind;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration Time) { return TimePoint(1000s) + Time; }

const std::vector<std::string> Names = {"v1", "v2", "v3"};

/// A directory of the domain "d" with the VMs above.
struct KnownDirectory : IssuerDirectory {
  KnownDirectory() : IssuerDirectory(IssuerDirectory::Options{}) {
    setVms({{"d", Names}});
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(theFirstOfTheOrderIsAskedUnlessAnotherIsNamed) {
  KnownDirectory Directory;
  std::vector<std::string> Order = inIssuerOrder(Names, 1);
  BOOST_TEST(Directory.choose("d", 1, {}, at(0s)) == Order[0]);
  BOOST_TEST(Directory.choose("d", 1, {Order[0]}, at(0s)) == Order[1]);
  Directory.recordIssuer("d", 1, Order[2]);
  BOOST_TEST(Directory.choose("d", 1, {}, at(0s)) == Order[2]);
  Directory.recordIssuer("d", 1, "");
  BOOST_TEST(Directory.choose("d", 1, {}, at(0s)) == Order[0]);
  BOOST_TEST(Directory.choose("e", 1, {}, at(0s)) == "");
}

BOOST_AUTO_TEST_CASE(aVmThatIsGoneIsNotAskedAnyMore) {
  KnownDirectory Directory;
  Directory.recordIssuer("d", 1, "v2");
  Directory.setVms({{"d", {"v1"}}});
  BOOST_TEST(Directory.choose("d", 1, {}, at(0s)) == "v1");
}

BOOST_AUTO_TEST_CASE(aSilentVmIsPassedOverLongerEachTime) {
  KnownDirectory Directory;
  Directory.recordSilence("v1", at(0s));
  BOOST_TEST(Directory.isSuspected("v1", at(99ms)));
  BOOST_TEST(!Directory.isSuspected("v1", at(100ms)));
  Directory.recordSilence("v1", at(100ms));
  BOOST_TEST(Directory.isSuspected("v1", at(299ms)));
  for (int I = 0; I < 9; ++I)
    Directory.recordSilence("v1", at(1s));
  BOOST_TEST(Directory.isSuspected("v1", at(1999ms)));
  BOOST_TEST(!Directory.isSuspected("v1", at(2s)));
  Directory.recordReply("v1");
  Directory.recordSilence("v1", at(3s));
  BOOST_TEST(!Directory.isSuspected("v1", at(3100ms)));
}

BOOST_AUTO_TEST_CASE(withoutAVmThatIsNotSuspectedNoneIsAsked) {
  KnownDirectory Directory;
  for (const std::string &Vm : Names)
    Directory.recordSilence(Vm, at(0s));
  BOOST_TEST(Directory.choose("d", 1, {}, at(0s)) == "");
}
