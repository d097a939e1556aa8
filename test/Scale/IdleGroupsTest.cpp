// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE IdleGroups
#include <boost/test/unit_test.hpp>

#include "Scale/LargeFleet.h"

#include <iostream>

using namespace cicadawind;
using namespace cicadawind::test;
using std::chrono::milliseconds;

namespace {

/// Part of a core that control may take on a VM of the size to design for, see
/// docs/DEVELOPERS.md.
constexpr double MaxControlShare = 0.047;

struct Size {
  std::size_t Vms;
  std::size_t Groups;
};

} // namespace

/// The work that no caller asked for, on a VM of fleets that grow to the size
/// to design for.
BOOST_AUTO_TEST_CASE(upkeepOfIdleGroupsStaysWithinItsShare) {
  for (Size Each :
       {Size{30, 35}, Size{101, 120}, Size{300, 350}, Size{940, 1100}}) {
    LargeFleet Fleet({.Vms = Each.Vms, .Groups = Each.Groups});
    Fleet.introducePeers();
    Fleet.runFor(milliseconds(2500));
    constexpr milliseconds Measured{1000};
    Duration Used = Fleet.processorTimeFor(Measured);
    double Share = std::chrono::duration<double>(Used) /
                   std::chrono::duration<double>(Measured);
    std::cout << Each.Vms << " VMs, " << Each.Groups << " groups: " << Share
              << " of a core, " << Fleet.Target.open() << " connections, "
              << Fleet.Target.accepted() << " opened\n";
    BOOST_TEST(Share < MaxControlShare, Each.Vms << " VMs: " << Share);
  }
}
