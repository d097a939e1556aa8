// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE OperatorClient
#include <boost/test/unit_test.hpp>

#include "Cli/OperatorClient.h"
#include "Core/Verdict.h"

#include <boost/asio.hpp>

#include <array>
#include <string>
#include <thread>

using namespace cicadawind;
using Tcp = boost::asio::ip::tcp;

namespace {

/// Binds a loopback port that nothing listens on.
class ClosedPort {
public:
  ClosedPort()
      : Socket(Loop,
               Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {}
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Socket.local_endpoint().port());
  }

private:
  boost::asio::io_context Loop;
  Tcp::socket Socket;
};

/// A daemon that reads the start of one request and closes the connection.
class LostDaemon {
public:
  LostDaemon()
      : Acceptor(Loop,
                 Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        Server([this] {
          Tcp::socket Caller = Acceptor.accept();
          std::array<char, 64> Start;
          Caller.read_some(boost::asio::buffer(Start));
        }) {}
  ~LostDaemon() { Server.join(); }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  boost::asio::io_context Loop;
  Tcp::acceptor Acceptor;
  std::thread Server;
};

} // namespace

// Without this, the command line says that nothing has changed although the
// first daemon may have carried the call out.
BOOST_AUTO_TEST_CASE(aCallThatOneDaemonMayHaveRunIsReportedAsSuch) {
  LostDaemon First;
  ClosedPort Second;
  OperatorClient Client({.Daemons = {First.address(), Second.address()},
                         .Timeout = std::chrono::seconds(2)});
  Result<nlohmann::json> Answer =
      Client.call("/notes", nlohmann::json{{"number", 1}});
  const Error *E = errorOf(Answer);
  BOOST_REQUIRE(E != nullptr);
  BOOST_TEST((E->Code == ErrorCode::Unreachable));
  BOOST_TEST((E->Outcome == Verdict::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(aCallThatReachedNoDaemonHasNotRun) {
  ClosedPort First;
  ClosedPort Second;
  OperatorClient Client({.Daemons = {First.address(), Second.address()},
                         .Timeout = std::chrono::seconds(2)});
  Result<nlohmann::json> Answer =
      Client.call("/notes", nlohmann::json{{"number", 1}});
  const Error *E = errorOf(Answer);
  BOOST_REQUIRE(E != nullptr);
  BOOST_TEST((E->Outcome == Verdict::NotRun));
}
