// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE HttpServer
#include <boost/test/unit_test.hpp>

#include "Http/HttpClient.h"
#include "Http/HttpServer.h"
#include "LoopRunner.h"

#include <boost/asio.hpp>

#include <string>
#include <vector>

using namespace cicadawind;
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

  Tcp::socket connect() {
    Tcp::socket Socket(Loop);
    Socket.connect({boost::asio::ip::address_v4::loopback(), Server.port()});
    return Socket;
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
