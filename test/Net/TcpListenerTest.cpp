// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE TcpListener
#include <boost/test/unit_test.hpp>

#include "DescriptorShortage.h"
#include "Net/TcpListener.h"
#include "Observability/Log.h"

#include <boost/asio.hpp>

#include <vector>

using namespace cicadawind;
using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

namespace {

struct ListenerWorld {
  ListenerWorld() {
    Log::start("test", LogLevel::Error);
    Listener.listen();
  }
  Tcp::socket connect() {
    Tcp::socket Socket(Loop);
    Socket.connect({boost::asio::ip::address_v4::loopback(), Listener.port()});
    return Socket;
  }
  void runFor(Duration Time) {
    Loop.restart();
    Loop.run_for(Time);
  }

  boost::asio::io_context Loop;
  std::vector<Tcp::socket> Accepted;
  TcpListener Listener{
      Loop,
      {.Endpoint = {boost::asio::ip::address_v4::loopback(), 0},
       .OnConnection = [this](Tcp::socket Socket) {
         Accepted.push_back(std::move(Socket));
       }}};
};

} // namespace

// Without a free descriptor an accept fails at once and the connection still
// waits. A loop of accepts takes a whole core and writes a log line for each.
BOOST_AUTO_TEST_CASE(aFailedAcceptIsRepeatedAfterADelay) {
  ListenerWorld World;
  Tcp::socket First = World.connect();
  Tcp::socket Second = World.connect();
  {
    test::DescriptorShortage Shortage;
    World.runFor(500ms);
  }
  BOOST_TEST(World.Accepted.empty());
  BOOST_TEST(World.Listener.failures() >= 2U);
  BOOST_TEST(World.Listener.failures() <= 6U);
  World.runFor(300ms);
  BOOST_TEST(World.Accepted.size() == 2U);
}

BOOST_AUTO_TEST_CASE(listeningMayBeTriedAgainAfterThePortWasInUse) {
  ListenerWorld World;
  Tcp::acceptor Holder(World.Loop,
                       {boost::asio::ip::address_v4::loopback(), 0});
  TcpListener Other(World.Loop, {.Endpoint = Holder.local_endpoint(),
                                 .OnConnection = [](Tcp::socket) {}});
  BOOST_CHECK_THROW(Other.listen(), boost::system::system_error);
  BOOST_CHECK_THROW(Other.listen(), boost::system::system_error);
  std::uint16_t Port = Holder.local_endpoint().port();
  Holder.close();
  Other.listen();
  BOOST_TEST(Other.port() == Port);
}
