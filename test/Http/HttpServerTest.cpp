// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE HttpServer
#include <boost/test/unit_test.hpp>

#include "DescriptorShortage.h"
#include "Http/HttpClient.h"
#include "Http/HttpServer.h"
#include "LoopRunner.h"

#include <boost/asio.hpp>

#include <string>
#include <vector>

using namespace cicadawind;
using test::DescriptorShortage;
using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr std::size_t MaxConnections = 8;

/// A server that answers each request, and a client of it on the same loop.
struct ServerWorld {
  explicit ServerWorld(HttpServer::Options Opts)
      : Server(Loop, Opts,
               [](HttpRequest) -> boost::asio::awaitable<HttpResponse> {
                 co_return HttpResponse();
               }),
        Http(Loop, HttpClient::Options{}) {}

  Tcp::socket connect() { return connectFrom("127.0.0.1"); }
  Tcp::socket connectFrom(const std::string &Address) {
    Tcp::socket Socket(Loop);
    Socket.open(Tcp::v4());
    Socket.bind({boost::asio::ip::make_address(Address), 0});
    Socket.connect({boost::asio::ip::address_v4::loopback(), Server.port()});
    return Socket;
  }
  /// Sends a request on \p Socket and returns whether a response arrives.
  bool answersOn(Tcp::socket &Socket) {
    boost::asio::write(Socket, boost::asio::buffer(std::string(
                                   "GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    runFor(50ms);
    return Socket.available() > 0;
  }
  /// Opens a connection and resets it before the server has accepted it.
  void connectAndReset() {
    Tcp::socket Socket = connect();
    Socket.set_option(boost::asio::socket_base::linger(true, 0));
    Socket.close();
  }
  bool answers() {
    HttpRequest Request;
    Request.Method = "GET";
    Request.Path = "/";
    HttpResult Answer = test::runOn(
        Loop, Http.call("127.0.0.1:" + std::to_string(Server.port()),
                        std::move(Request), 2s));
    const HttpResponse *Response = std::get_if<HttpResponse>(&Answer);
    return Response && Response->Status == 200;
  }
  void runFor(Duration Time) {
    Loop.restart();
    Loop.run_for(Time);
  }

  boost::asio::io_context Loop;
  HttpServer Server;
  HttpClient Http;
};

} // namespace

// A load balancer that ends its health checks with a reset must neither end the
// process nor use up the connections of the server.
BOOST_AUTO_TEST_CASE(connectionsThatAreResetBeforeTheAcceptDoNoHarm) {
  ServerWorld World({.MaxConnections = MaxConnections});
  for (int Round = 0; Round < 4; ++Round) {
    for (std::size_t I = 0; I < 2 * MaxConnections; ++I)
      World.connectAndReset();
    World.runFor(50ms);
  }
  BOOST_TEST(World.answers());
}

// A connection that is refused must give its place back.
BOOST_AUTO_TEST_CASE(refusedConnectionsUseUpNoPlaces) {
  ServerWorld World(
      {.MaxConnectionsPerPeer = 1, .MaxConnections = MaxConnections});
  Tcp::socket Held = World.connect();
  World.runFor(20ms);
  for (std::size_t I = 0; I < 2 * MaxConnections; ++I) {
    Tcp::socket Refused = World.connect();
    World.runFor(5ms);
  }
  Tcp::socket Other = World.connectFrom("127.0.0.2");
  BOOST_TEST(World.answersOn(Other));
}

BOOST_AUTO_TEST_CASE(connectionsBeyondTheLimitAreClosedAtOnce) {
  ServerWorld World({.MaxConnections = MaxConnections});
  std::vector<Tcp::socket> Held;
  for (std::size_t I = 0; I < MaxConnections; ++I)
    Held.push_back(World.connect());
  World.runFor(50ms);
  Tcp::socket Refused = World.connect();
  World.runFor(50ms);
  Refused.non_blocking(true);
  char Byte = 0;
  boost::system::error_code Code;
  Refused.read_some(boost::asio::buffer(&Byte, 1), Code);
  BOOST_TEST((Code && Code != boost::asio::error::would_block));
  Held.clear();
  World.runFor(50ms);
  BOOST_TEST(World.answers());
}

// RESTinio stops to accept for good after an accept has failed.
BOOST_AUTO_TEST_CASE(aServerAcceptsAgainAfterDescriptorsHadRunOut) {
  std::uint16_t Port = 0;
  {
    boost::asio::io_context Loop;
    Tcp::acceptor Free(Loop, {boost::asio::ip::address_v4::loopback(), 0});
    Port = Free.local_endpoint().port();
  }
  ServerWorld World({.Port = Port});
  {
    Tcp::socket Waiting = World.connect();
    DescriptorShortage Shortage;
    World.runFor(50ms);
  }
  World.runFor(1s);
  BOOST_TEST(World.answers());
}
