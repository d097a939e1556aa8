// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE SessionLife
#include <boost/test/unit_test.hpp>

#include "Callers/CallerSession.h"
#include "LineProtocol.h"
#include "Net/LineStream.h"

#include <boost/asio.hpp>

#include <memory>
#include <string>
#include <thread>

using namespace cicadawind;
using Tcp = boost::asio::ip::tcp;

namespace {

/// A session without targets, with the caller's end of its connection.
struct SessionFixture {
  SessionFixture() : Caller(Loop) {
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

  /// Returns everything that the caller receives until the connection ends.
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
    EndCode = Code;
    return Text;
  }

  boost::asio::io_context Loop;
  platform::LineProtocol Codec;
  ProxyConfig Config;
  Tcp::socket Caller;
  std::shared_ptr<CallerSession> Session;
  /// How the caller's connection ended.
  boost::system::error_code EndCode;
};

} // namespace

// Guards against a lost response. A VM that leaves closes sessions as they
// become idle, and a session may become idle in the same iteration of the event
// loop that queues its response.
BOOST_AUTO_TEST_CASE(queuedResponsesAreSentBeforeTheSessionCloses) {
  SessionFixture Fixture;
  Fixture.send("STARTUP orders u1\r\nQUERY 1 SET a b\r\n");
  bool Closed = false;
  while (!Closed) {
    Fixture.Loop.run_one();
    Closed = Fixture.Session->closeIfIdle();
  }
  std::string Text = Fixture.receiveAll();
  BOOST_TEST(Text == "READY I -\r\nCOMPLETE -\r\nREADY I -\r\n");
}

// Guards against "no such database" for a database that exists: a VM that has
// just started knows no database before its first configuration.
BOOST_AUTO_TEST_CASE(aSessionWaitsForTheFirstConfiguration) {
  SessionFixture Fixture;
  Fixture.Config.Version = 0;
  Fixture.Config.Routes.clear();
  Fixture.send("STARTUP orders u1\r\n");
  Fixture.Loop.run_for(std::chrono::milliseconds(20));
  Fixture.Config.Version = 1;
  Fixture.Config.Routes["orders"].Database = "orders";
  Fixture.Session->retryOpen();
  while (!Fixture.Session->closeIfIdle())
    Fixture.Loop.run_one();
  BOOST_TEST(Fixture.receiveAll() == "READY I -\r\n");
}

// Guards against a lost response: closing a connection with unread bytes resets
// it and discards responses that the caller has not received yet.
BOOST_AUTO_TEST_CASE(aRequestReceivedDuringTheCloseDoesNotResetTheConnection) {
  SessionFixture Fixture;
  Fixture.send("STARTUP orders u1\r\n");
  while (!Fixture.Session->closeIfIdle())
    Fixture.Loop.run_one();
  Fixture.send("QUERY 2 SET c d\r\n");
  std::string Text = Fixture.receiveAll();
  BOOST_TEST(Text == "READY I -\r\n");
  BOOST_TEST((Fixture.EndCode == boost::asio::error::eof));
}

// The caller has opened the session and its first request is on the way. If the
// session were closed now, the request would get no response.
BOOST_AUTO_TEST_CASE(aSessionThatWasJustOpenedIsNotClosed) {
  SessionFixture Fixture;
  Fixture.send("STARTUP orders u1\r\n");
  Fixture.Loop.run_for(std::chrono::milliseconds(20));
  TimePoint Now = BootClock::now();
  BOOST_TEST(!Fixture.Session->closeIfUnused(Now));
  BOOST_TEST(Fixture.Session->closeIfUnused(Now + std::chrono::seconds(2)));
}

BOOST_AUTO_TEST_CASE(anIdleSessionThatHasSentRequestsIsClosed) {
  SessionFixture Fixture;
  Fixture.send("STARTUP orders u1\r\nQUERY 1 SET a b\r\n");
  Fixture.Loop.run_for(std::chrono::milliseconds(20));
  BOOST_TEST(Fixture.Session->closeIfUnused(BootClock::now()));
}

// On a busy VM a request may wait in the socket while a new configuration
// withdraws the session's database.
BOOST_AUTO_TEST_CASE(aSessionWithAnUnreadRequestIsNotClosed) {
  SessionFixture Fixture;
  Fixture.send("STARTUP orders u1\r\nQUERY 1 SET a b\r\n");
  Fixture.Loop.run_for(std::chrono::milliseconds(20));
  Fixture.send("QUERY 2 SET a c\r\n");
  // The loop has not run since the request arrived.
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  BOOST_TEST(!Fixture.Session->closeIfIdle());
  Fixture.Loop.restart();
  Fixture.Loop.run_for(std::chrono::milliseconds(20));
  BOOST_TEST(Fixture.Session->closeIfIdle());
}
