// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE SessionLife
#include <boost/test/unit_test.hpp>

#include "LineProtocol.h"
#include "Net/LineStream.h"
#include "Proxy/CallerSession.h"

#include <boost/asio.hpp>

#include <memory>
#include <string>

using namespace cicadawind;
using Tcp = boost::asio::ip::tcp;

namespace {

/// A session without targets, and the caller's end of its connection.
struct OneSession {
  OneSession() : Caller(Loop) {
    Config.Version = 1;
    Config.Routes["orders"].Database = "orders";
    auto Host = std::make_shared<CallerSession::Host>();
    Host->Codec = &Codec;
    Host->Config = [this]() -> const ProxyConfig & { return Config; };
    Host->Group = [](const std::string &) { return nullptr; };
    Host->Report = [](const RequestReport &) {};
    Host->Ended = [](const std::shared_ptr<CallerSession> &) {};
    Tcp::acceptor Acceptor(
        Loop, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    Caller.connect(Acceptor.local_endpoint());
    auto Stream =
        LineStream::accepted(Acceptor.accept(), LineStream::Options{});
    Session = std::make_shared<CallerSession>(Stream, Host);
    Session->start();
  }

  void send(const std::string &Text) {
    boost::asio::write(Caller, boost::asio::buffer(Text));
  }

  /// Everything that the caller receives until the connection ends.
  std::string receiveAll() {
    Caller.non_blocking(true);
    std::string Text;
    char Part[512];
    boost::system::error_code Code;
    while (Code != boost::asio::error::eof &&
           Code != boost::asio::error::connection_reset) {
      Loop.restart();
      Loop.run_for(std::chrono::milliseconds(1));
      Text.append(Part, Caller.read_some(boost::asio::buffer(Part), Code));
    }
    Ended = Code;
    return Text;
  }

  boost::asio::io_context Loop;
  platform::LineProtocol Codec;
  ProxyConfig Config;
  Tcp::socket Caller;
  std::shared_ptr<CallerSession> Session;
  boost::system::error_code Ended;
};

} // namespace

// A VM that leaves closes sessions as they become idle; one became idle in the
// turn in which its answer was queued, and the answer was lost.
BOOST_AUTO_TEST_CASE(anAnswerLeavesBeforeTheSessionCloses) {
  OneSession One;
  One.send("STARTUP orders u1\r\nQUERY 1 SET a b\r\n");
  bool Closed = false;
  while (!Closed) {
    One.Loop.run_one();
    Closed = One.Session->closeIfIdle();
  }
  std::string Text = One.receiveAll();
  BOOST_TEST(Text == "READY I -\r\nCOMPLETE -\r\nREADY I -\r\n");
}

// A VM that has just started knows no database; it must not say of one that it
// does not exist.
BOOST_AUTO_TEST_CASE(aSessionWaitsForTheFirstConfiguration) {
  OneSession One;
  One.Config.Version = 0;
  One.Config.Routes.clear();
  One.send("STARTUP orders u1\r\n");
  One.Loop.run_for(std::chrono::milliseconds(20));
  One.Config.Version = 1;
  One.Config.Routes["orders"].Database = "orders";
  One.Session->retryOpen();
  while (!One.Session->closeIfIdle())
    One.Loop.run_one();
  BOOST_TEST(One.receiveAll() == "READY I -\r\n");
}

// Closing over bytes that were not read resets the connection and destroys
// answers that are still on their way.
BOOST_AUTO_TEST_CASE(aRequestThatCrossesTheCloseDoesNotResetTheConnection) {
  OneSession One;
  One.send("STARTUP orders u1\r\n");
  while (!One.Session->closeIfIdle())
    One.Loop.run_one();
  One.send("QUERY 2 SET c d\r\n");
  std::string Text = One.receiveAll();
  BOOST_TEST(Text == "READY I -\r\n");
  BOOST_TEST((One.Ended == boost::asio::error::eof));
}
