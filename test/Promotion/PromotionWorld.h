#ifndef CICADAWIND_TEST_PROMOTION_PROMOTIONWORLD_H
#define CICADAWIND_TEST_PROMOTION_PROMOTIONWORLD_H

#include "Exchange/PeerExchange.h"
#include "Exchange/PeerVm.h"
#include "Fakes/MemoryStore.h"
#include "Http/HttpClient.h"
#include "Promotion/EmulatedPromotionService.h"
#include "Promotion/PromotionDriver.h"
#include "Proxy/ProxyWorld.h"
#include "System/PortBlock.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace cicadawind::test {

/// \class PromotionWorld
/// \brief A ProxyWorld whose VM runs a PromotionDriver, without peers until
/// addPeer().
struct PromotionWorld : ProxyWorld {
  explicit PromotionWorld(Duration PeerTimeout = std::chrono::seconds(8))
      : Store(Loop), Promotions(Group), Http(Loop, HttpClient::Options{}),
        OwnPort(static_cast<std::uint16_t>(Ports.next())),
        Peers(Loop, peerOptions(OwnPort, PeerTimeout), Http, *Service),
        Driver(Loop,
               {.Vm = "vm-1", .Tokens = {.ReservationDelay = Duration::zero()}},
               *Service, Peers, Store, Promotions, Meter) {
    onSweep([this](TimePoint Now) { Driver.sweep(Now); });
  }
  ~PromotionWorld() { onSweep(nullptr); }

  static PeerExchange::Options peerOptions(std::uint16_t Port,
                                           Duration PeerTimeout) {
    PeerExchange::Options Out;
    Out.Vm = "vm-1";
    Out.Address = "127.0.0.1";
    Out.Port = Port;
    Out.PeerTimeout = PeerTimeout;
    Out.Random = [] { return 4; };
    return Out;
  }
  /// Lets the store list \p Count other VMs, none of which responds.
  void listSilentVms(int Count) {
    std::vector<VmEntry> Entries;
    Entries.reserve(static_cast<std::size_t>(Count));
    for (int I = 0; I < Count; ++I)
      Entries.push_back(
          {.Vm = "silent-" + std::to_string(I),
           .FailureDomain = "d1",
           .Region = "r1",
           .RouterPeer = "127.0.0.1:" + std::to_string(Ports.next()),
           .Incarnation = 1});
    Peers.start();
    Peers.contactListed(Entries);
  }
  /// Adds a live peer that reports no contact with any primary.
  void addPeer() {
    Peer = std::make_unique<PeerVm>(
        *this, static_cast<std::uint16_t>(Ports.next()), OwnPort);
    Peers.start();
    onSweep([this](TimePoint Now) {
      Peers.sweep(Now);
      Driver.sweep(Now);
      Peer->reportNoContact();
    });
    Peer->sendHello(1);
    BOOST_REQUIRE(runUntil(
        [this] { return Peers.livePeers(BootClock::now()).size() == 1; }));
  }
  /// Stores that another VM claimed token number \p Token to promote
  /// \p Instance, which opens the second term. Its list of targets is
  /// \p NewerBy revisions newer than this VM's.
  void recordDecision(std::uint64_t Token, const std::string &Instance,
                      std::uint64_t NewerBy = 0) {
    std::uint64_t Revision = Service->targetsRevision() + NewerBy;
    std::string Value =
        R"({"holder":"vm-2","received_term":1,)"
        R"("received_index":0,"opens_term":2,"list_revision":)" +
        std::to_string(Revision) + R"(,"token":)" + std::to_string(Token) +
        R"(,"decided":)" + std::to_string(Token) + R"(,"target":")" + Instance +
        "\"}";
    Store.put("cicadawind-promotions", "g", Value);
  }
  /// Stores that another VM reserved token number \p Token while \p Primary led
  /// term 1, and named \p Instance as the only target that it promotes without
  /// the store.
  void prepareDecision(std::uint64_t Token, const std::string &Primary,
                       const std::string &Instance) {
    auto Record = [&](const std::string &Target, int Opens) {
      return R"("target":")" + Target + R"(","decided":)" +
             std::to_string(Token) + R"(,"received_term":0,)" +
             R"("received_index":0,"opens_term":)" + std::to_string(Opens) +
             R"(,"list_revision":)" +
             std::to_string(Service->targetsRevision());
    };
    Store.put("cicadawind-promotions", "g",
              R"({"holder":"vm-2","token":)" + std::to_string(Token) + "," +
                  Record(Primary, 1) + R"(,"prepared":{)" +
                  Record(Instance, 2) + "}}");
  }
  /// Returns the target that the store names to be promoted without it; empty
  /// if there is none.
  std::string storedPreparedTarget() {
    std::string Value = Store.valueOf("cicadawind-promotions", "g");
    nlohmann::json Json = nlohmann::json::parse(Value, nullptr, false);
    if (!Json.is_object() || !Json.contains("prepared"))
      return "";
    return Json["prepared"]["target"];
  }
  /// Waits until \p Id is the primary and the proxy has confirmed it; false if
  /// that does not happen in time.
  bool waitForPrimary(const std::string &Id) {
    return runUntil([&] {
      return Group.primary() == Id &&
             Service->findGroup("g")->tracker().primary() == Id &&
             Service->findGroup("g")->tracker().isConfirmed();
    });
  }

  fakes::MemoryStore Store;
  EmulatedPromotionService Promotions;
  HttpClient Http;
  PortBlock Ports;
  std::uint16_t OwnPort;
  PeerExchange Peers;
  PromotionDriver Driver;
  std::unique_ptr<PeerVm> Peer;
};

} // namespace cicadawind::test

#endif
