#ifndef CICADAWIND_TEST_PROMOTION_LEASEDFLEET_H
#define CICADAWIND_TEST_PROMOTION_LEASEDFLEET_H

#include "Emulator/EmulatedGroup.h"
#include "Emulator/EmulatedInstance.h"
#include "Exchange/PeerExchange.h"
#include "Fakes/MemoryStore.h"
#include "Http/HttpClient.h"
#include "LineProtocol.h"
#include "Observability/Metrics.h"
#include "Platform/PromotionService.h"
#include "Promotion/PromotionDriver.h"
#include "Proxy/ProxyService.h"
#include "System/PortBlock.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cicadawind::test {

/// \class UnfencedPromotionService
/// \brief Promotes instances of an emulated group, and answers or carries out
/// some orders late or not at all.
class UnfencedPromotionService : public PromotionService {
public:
  struct Order {
    std::string Instance;
    std::string Holder;
    std::uint64_t Token = 0;
  };

  UnfencedPromotionService(boost::asio::io_context &Loop,
                           emulator::EmulatedGroup &Group)
      : Loop(Loop), Group(Group) {}

  boost::asio::awaitable<PromotionOutcome>
  promote(std::string, std::string Instance, std::string Holder,
          std::uint64_t Token, Duration Timeout) override;

  std::vector<Order> Orders;
  /// Number of upcoming orders that get no answer and are carried out after
  /// LateBy.
  int Late = 0;
  Duration LateBy = std::chrono::milliseconds(500);

private:
  boost::asio::awaitable<void> carryOutLater(std::string Instance);

  boost::asio::io_context &Loop;
  emulator::EmulatedGroup &Group;
};

/// \class LeasedFleet
/// \brief Three VMs in front of one group of a platform that does not fence
/// promotions, on one event loop.
///
/// Each VM reaches each instance over an address of its own, so that a test can
/// cut a VM from an instance. Runs in real time; tests wait for states.
class LeasedFleet {
public:
  /// One VM.
  struct Vm {
    Vm(LeasedFleet &Fleet, unsigned Number);

    /// Returns whether this VM uses \p Instance under a valid lease.
    bool leases(const std::string &Instance);
    GroupDispatcher &group() { return *Service->findGroup("g"); }

    std::string Name;
    Metrics Meter;
    std::map<std::string, std::unique_ptr<emulator::EmulatedInstance>> Paths;
    std::unique_ptr<ProxyService> Service;
    std::unique_ptr<PeerExchange> Peers;
    std::unique_ptr<PromotionDriver> Driver;
    /// While true, the VM does not run its periodic work.
    bool IsFrozen = false;
  };

  LeasedFleet();
  ~LeasedFleet();

  /// Runs the loop and the VMs' periodic work until \p Condition holds; false
  /// if it does not within 8 s.
  bool runUntil(const std::function<bool()> &Condition);
  void runFor(Duration Time);
  /// Waits until all VMs use \p Instance under a lease.
  bool waitForLeases(const std::string &Instance);
  /// Makes all VMs grant a proposal of \p Holder that opens \p NewTerm.
  void openProposal(const std::string &Holder, Term NewTerm);
  /// Makes \p Instance silent towards all VMs, or towards the VM \p OnlyVm.
  void cut(const std::string &Instance, int OnlyVm = -1);
  void heal(const std::string &Instance);
  /// Sends one request to \p Database through the VM and returns the lines of
  /// its response, joined by " | "; empty if there is none within 5 s.
  std::string ask(unsigned VmNumber, const std::string &Database,
                  const std::string &Text);
  /// Returns the number of requests with the id \p Id at \p Instance.
  std::size_t runsOf(const std::string &Instance, const std::string &Id);
  const std::string &lastId() const { return LastId; }

  boost::asio::io_context Loop;
  platform::LineProtocol Codec;
  emulator::EmulatedGroup Group{
      "g", {"a", "b", "c"}, emulator::EmulatedGroup::Fencing::None};
  fakes::MemoryStore Store{Loop};
  UnfencedPromotionService Promotions{Loop, Group};
  HttpClient Http{Loop, HttpClient::Options{}};
  PortBlock Ports;
  std::uint16_t PeerPort = 0;
  std::vector<std::unique_ptr<Vm>> Vms;

private:
  TimePoint LastSweep;
  std::string LastId;
};

} // namespace cicadawind::test

#endif
