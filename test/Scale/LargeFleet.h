#ifndef CICADAWIND_TEST_SCALE_LARGEFLEET_H
#define CICADAWIND_TEST_SCALE_LARGEFLEET_H

#include "Exchange/PeerExchange.h"
#include "Fakes/MemoryStore.h"
#include "Http/HttpClient.h"
#include "LineProtocol.h"
#include "Observability/Metrics.h"
#include "Platform/PromotionService.h"
#include "Promotion/PromotionDriver.h"
#include "Proxy/ProxyService.h"
#include "Scale/AnyTarget.h"
#include "System/PortBlock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicadawind::test {

/// \class LargeFleet
/// \brief One VM of a large fleet, whose other VMs exist only as entries, in
/// front of many groups.
///
/// The VM knows all other VMs and all targets. All targets are AnyTarget;
/// relays are not reached. Runs in real time.
class LargeFleet {
public:
  struct Options {
    std::size_t Vms = 100;
    std::size_t Groups = 100;
    /// Connections that a target accepts.
    unsigned MaxConnections = 46;
    bool PlatformFences = true;
  };

  explicit LargeFleet(Options Opts);
  ~LargeFleet();

  /// Makes the other VMs known by a hello of each of them.
  void introducePeers();
  /// Runs the loop and the VM's periodic work for \p Time, as its daemon does.
  void runFor(Duration Time);
  /// The same; returns the processor time that it took.
  Duration processorTimeFor(Duration Time);

  boost::asio::io_context Loop;
  platform::LineProtocol Codec;
  Metrics Meter;
  AnyTarget Target{Loop};
  fakes::MemoryStore Store{Loop};
  std::unique_ptr<PromotionService> Promotions;
  HttpClient Http{Loop, HttpClient::Options{}};
  PortBlock Ports;
  std::unique_ptr<ProxyService> Service;
  std::unique_ptr<PeerExchange> Peers;
  std::unique_ptr<PromotionDriver> Driver;

private:
  void addTargets();
  VmEntry entryOf(std::size_t Number) const;

  Options Opts;
  std::uint16_t Port = 0;
  /// Receives what the VM sends to its peers; nothing answers.
  boost::asio::ip::udp::socket Sink;
};

} // namespace cicadawind::test

#endif
