// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE PortOpener
#include <boost/test/unit_test.hpp>

#include "Daemons/PortOpener.h"
#include "Observability/Log.h"

#include <boost/asio.hpp>

using namespace cicadawind;
using namespace std::chrono_literals;
using boost::system::system_error;

namespace {

struct OpenerWorld {
  OpenerWorld() { Log::start("test", LogLevel::Error); }

  /// Fails with \p Code as often as \p Times says, then succeeds.
  std::function<void()> failing(int Times, boost::system::error_code Code) {
    return [this, Times, Code] {
      if (++Attempts <= Times)
        throw system_error(Code);
    };
  }

  boost::asio::io_context Loop;
  bool IsStopping = false;
  PortOpener Opener{Loop,
                    {.RetryDelay = 5ms, .Timeout = 300ms, .IsStopping = [this] {
                       return IsStopping;
                     }}};
  int Attempts = 0;
};

} // namespace

// The previous process on the VM may hold a port for a moment.
BOOST_AUTO_TEST_CASE(aPortInUseIsWaitedFor) {
  OpenerWorld World;
  auto Work = boost::asio::make_work_guard(World.Loop);
  BOOST_TEST(World.Opener.open(
      "p", World.failing(3, boost::asio::error::address_in_use)));
  BOOST_TEST(World.Attempts == 4);
}

BOOST_AUTO_TEST_CASE(aPortThatStaysInUseIsReported) {
  OpenerWorld World;
  auto Work = boost::asio::make_work_guard(World.Loop);
  BOOST_CHECK_THROW(
      World.Opener.open(
          "p", World.failing(1000, boost::asio::error::address_in_use)),
      system_error);
  BOOST_TEST(World.Attempts > 10);
}

BOOST_AUTO_TEST_CASE(anotherErrorIsReportedAtOnce) {
  OpenerWorld World;
  BOOST_CHECK_THROW(
      World.Opener.open("p",
                        World.failing(9, boost::asio::error::access_denied)),
      system_error);
  BOOST_TEST(World.Attempts == 1);
}

BOOST_AUTO_TEST_CASE(aProcessThatIsToStopWaitsNoLonger) {
  OpenerWorld World;
  boost::asio::post(World.Loop, [&] { World.IsStopping = true; });
  BOOST_TEST(!World.Opener.open(
      "p", World.failing(1000, boost::asio::error::address_in_use)));
  BOOST_TEST(World.Attempts == 1);
}
