#ifndef CICADAWIND_TEST_EXCHANGE_PEERVM_H
#define CICADAWIND_TEST_EXCHANGE_PEERVM_H

#include "Exchange/PeerMessage.h"
#include "Http/HttpServer.h"
#include "Proxy/ProxyState.h"
#include "Proxy/ProxyWorld.h"

#include <boost/asio.hpp>

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace cicadawind::test {

/// \class PeerVm
/// \brief A fake peer, "vm-2", of the VM under test.
///
/// Sends the datagrams that a test asks for, collects those that it receives,
/// and serves State over HTTP.
class PeerVm {
public:
  /// Listens on \p Port of the loopback address and sends to \p ToPort.
  PeerVm(ProxyWorld &World, std::uint16_t Port, std::uint16_t ToPort)
      : Port(Port), To(boost::asio::ip::address_v4::loopback(), ToPort),
        Socket(World.Loop,
               Udp::endpoint(boost::asio::ip::address_v4::loopback(), Port)),
        Server(
            World.Loop, {.Address = "127.0.0.1", .Port = Port},
            [this](
                HttpRequest Request) -> boost::asio::awaitable<HttpResponse> {
              if (Request.Path == "/departures")
                co_return HttpResponse{
                    .Status = 200,
                    .Body = encodeDepartures(Departures, BootClock::now())};
              ++Fetches;
              co_return HttpResponse{.Status = 200, .Body = encodeState(State)};
            }) {
    Socket.non_blocking(true);
  }

  void send(const PeerMessage &Message) {
    Socket.send_to(boost::asio::buffer(encodePeerMessage(Message)), To);
  }
  /// Sends a hello that announces \p ConfigVersion.
  void sendHello(std::uint64_t ConfigVersion) {
    PeerHello Hello = makeHello();
    Hello.ConfigVersion = ConfigVersion;
    send(Hello);
  }
  /// Sends a hello that announces targets with the hash \p Hash, read at \p
  /// Revision.
  void sendHelloWithTargets(std::uint64_t Revision, std::uint64_t Hash) {
    PeerHello Hello = makeHello();
    Hello.ConfigVersion = State.Config.Version;
    Hello.TargetsRevision = Revision;
    Hello.TargetsHash = Hash;
    send(Hello);
  }
  PeerHello makeHello() const {
    PeerHello Hello;
    Hello.Self = {.Vm = "vm-2",
                  .FailureDomain = "d1",
                  .Region = "r1",
                  .RouterPeer = "127.0.0.1:" + std::to_string(Port),
                  .Incarnation = 1};
    return Hello;
  }

  /// Returns all messages of type \p Message received so far, oldest first.
  template <class Message> std::vector<Message> received() {
    std::string Bytes(8192, '\0');
    boost::system::error_code Code;
    for (;;) {
      std::size_t Count = Socket.receive(boost::asio::buffer(Bytes), 0, Code);
      if (Code)
        break;
      Result<PeerMessage> Decoded = decodePeerMessage(Bytes.substr(0, Count));
      if (!errorOf(Decoded))
        Messages.push_back(valueOf(Decoded));
    }
    std::vector<Message> Out;
    for (const PeerMessage &Each : Messages)
      if (const Message *Match = std::get_if<Message>(&Each))
        Out.push_back(*Match);
    return Out;
  }

  /// Responds to each new query with a report that "vm-2" has had no contact
  /// with the instance.
  void reportNoContact() {
    for (const PrimaryQuery &Each : received<PrimaryQuery>())
      if (Reported.insert(Each.Number).second)
        send(PrimaryReport{
            .From = "vm-2", .Number = Each.Number, .Group = Each.Group});
  }

  /// The state that "vm-2" serves over HTTP.
  ProxyState State;
  /// What "vm-2" knows of departures.
  std::vector<TargetDeparture> Departures;
  /// How often the state was fetched.
  int Fetches = 0;

private:
  using Udp = boost::asio::ip::udp;

  std::uint16_t Port;
  Udp::endpoint To;
  Udp::socket Socket;
  HttpServer Server;
  std::deque<PeerMessage> Messages;
  std::set<std::uint64_t> Reported;
};

} // namespace cicadawind::test

#endif
