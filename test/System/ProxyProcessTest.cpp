#define BOOST_TEST_MODULE ProxyProcess
#include <boost/test/unit_test.hpp>

#include "System/ProxyProcess.h"
#include "TestFlags.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <thread>
#include <vector>

using namespace cicadawind;
using namespace cicadawind::test;
using namespace std::chrono_literals;

namespace {

ProxyProcess::Options options() {
  return {.Programs = textFlag("programs", "build")};
}

sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// Returns a socket that is connecting to \p Port.
int connectTo(int Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in Address = loopback(Port);
  // The call returns before the connection is made.
  static_cast<void>(
      connect(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address));
  return Socket;
}

void connectAndReset(int Port) {
  int Socket = connectTo(Port);
  linger Abort{.l_onoff = 1, .l_linger = 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Abort, sizeof Abort);
  close(Socket);
}

int listenOn(int Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int Reuse = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Reuse, sizeof Reuse);
  sockaddr_in Address = loopback(Port);
  BOOST_REQUIRE(bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                     sizeof Address) == 0);
  listen(Socket, 1);
  return Socket;
}

} // namespace

// The platform names the settings file in the environment, and each process on
// a shared machine has a file of its own.
BOOST_AUTO_TEST_CASE(theSettingsFileMayBeNamedByTheEnvironment) {
  ProxyProcess::Options Opts = options();
  Opts.NamedByEnvironment = true;
  ProxyProcess Proxy(Opts);
  Proxy.start();
  BOOST_TEST(Proxy.waitForAnswer());
}

// Resets that arrive before the accept ended the process or deafened a port.
BOOST_AUTO_TEST_CASE(resetsLeaveEveryPortServing) {
  constexpr int Resets = 100;
  ProxyProcess Proxy(options());
  Proxy.start();
  BOOST_REQUIRE(Proxy.waitForAnswer());
  const std::vector<int> HttpPorts{Proxy.readiness(), Proxy.operators(),
                                   Proxy.metrics(), Proxy.peers()};
  Proxy.signal(SIGSTOP);
  for (int Port : HttpPorts)
    for (int I = 0; I < Resets; ++I)
      connectAndReset(Port);
  for (int Port : {Proxy.callers(), Proxy.relays()})
    for (int I = 0; I < Resets; ++I)
      connectAndReset(Port);
  Proxy.signal(SIGCONT);
  for (int Port : HttpPorts)
    BOOST_TEST(Proxy.answers(Port));
  BOOST_TEST(!Proxy.ended());
}

// The platform may be writing the file when the process starts.
BOOST_AUTO_TEST_CASE(settingsThatAreIncompleteAtTheStartAreReadAgain) {
  ProxyProcess Proxy(options());
  Proxy.truncateSettings();
  Proxy.start();
  std::this_thread::sleep_for(300ms);
  BOOST_REQUIRE(!Proxy.ended());
  Proxy.restoreSettings();
  BOOST_TEST(Proxy.waitForAnswer());
}

BOOST_AUTO_TEST_CASE(settingsThatStayInvalidEndTheProcess) {
  ProxyProcess Proxy(options());
  Proxy.truncateSettings();
  Proxy.start();
  BOOST_REQUIRE(Proxy.waitForEnd());
  BOOST_TEST(WIFEXITED(*Proxy.ended()));
  BOOST_TEST(WEXITSTATUS(*Proxy.ended()) == 2);
}

// The platform may announce new settings while the process is starting. The
// signal ended a process that had not installed its handler yet.
BOOST_AUTO_TEST_CASE(aSignalDuringTheStartIsHandledAfterIt) {
  ProxyProcess Proxy(options());
  Proxy.withholdSettings();
  Proxy.start();
  Proxy.waitForSettingsToBeRead();
  Proxy.signal(SIGHUP);
  std::this_thread::sleep_for(50ms);
  BOOST_REQUIRE(!Proxy.ended());
  Proxy.provideSettings();
  BOOST_TEST(Proxy.waitForAnswer());
}

BOOST_AUTO_TEST_CASE(aProcessThatIsToldToStopDuringTheStartEndsNormally) {
  ProxyProcess Proxy(options());
  int Holder = listenOn(Proxy.readiness());
  Proxy.start();
  std::this_thread::sleep_for(300ms);
  BOOST_TEST(!Proxy.ended());
  Proxy.signal(SIGTERM);
  BOOST_REQUIRE(Proxy.waitForEnd());
  BOOST_TEST(WIFEXITED(*Proxy.ended()));
  BOOST_TEST(WEXITSTATUS(*Proxy.ended()) == 0);
  close(Holder);
}

// The previous process may hold a port for a moment.
BOOST_AUTO_TEST_CASE(aPortInUseIsWaitedFor) {
  for (int Which = 0; Which < 6; ++Which)
    BOOST_TEST_CONTEXT("port " << Which) {
      ProxyProcess Proxy(options());
      const int Ports[] = {Proxy.readiness(), Proxy.callers(),
                           Proxy.operators(), Proxy.metrics(),
                           Proxy.peers(),     Proxy.relays()};
      int Holder = listenOn(Ports[Which]);
      Proxy.start();
      std::this_thread::sleep_for(300ms);
      BOOST_TEST(!Proxy.ended());
      close(Holder);
      BOOST_TEST(Proxy.waitForAnswer());
    }
}

// Without a free descriptor the process took a whole core and wrote 100,000
// lines a second.
BOOST_AUTO_TEST_CASE(connectionsBeyondTheDescriptorsCostLittle) {
  constexpr unsigned Descriptors = 128;
  constexpr int Connections = 400;
  ProxyProcess::Options Opts = options();
  Opts.MaxDescriptors = Descriptors;
  ProxyProcess Proxy(Opts);
  Proxy.start();
  BOOST_REQUIRE(Proxy.waitForAnswer());
  std::vector<int> Sockets;
  Sockets.reserve(Connections);
  for (int I = 0; I < Connections; ++I)
    Sockets.push_back(connectTo(Proxy.callers()));
  std::this_thread::sleep_for(1s);
  BOOST_TEST(Proxy.answers(Proxy.readiness()));
  BOOST_TEST(Proxy.logLines() < 1000U);
  for (int Each : Sockets)
    close(Each);
  BOOST_TEST(Proxy.answers(Proxy.readiness()));
}
