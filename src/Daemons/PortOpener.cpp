// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Daemons/PortOpener.h"

#include "Observability/Log.h"

#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/system/system_error.hpp>

namespace cicadawind {
namespace internal {

static const Log Logger("daemon");

static bool mayPass(const boost::system::error_code &Code) {
  return Code == boost::asio::error::address_in_use ||
         Code == boost::system::errc::address_not_available;
}

} // namespace internal

PortOpener::PortOpener(boost::asio::io_context &Loop, Options NewOpts)
    : Loop(Loop), Opts(std::move(NewOpts)) {}

bool PortOpener::open(const char *Name, const std::function<void()> &Open) {
  TimePoint Start = BootClock::now();
  bool IsFirst = true;
  while (!Opts.IsStopping()) {
    bool IsLast = BootClock::now() - Start >= Opts.Timeout;
    if (tryOpen(Name, Open, std::exchange(IsFirst, false), IsLast))
      return true;
    Loop.restart();
    Loop.run_for(Opts.RetryDelay);
    Loop.restart();
  }
  return false;
}

bool PortOpener::tryOpen(const char *Name, const std::function<void()> &Open,
                         bool IsFirst, bool IsLast) {
  try {
    Open();
    return true;
  } catch (const boost::system::system_error &E) {
    if (IsLast || !internal::mayPass(E.code()))
      throw;
    if (IsFirst)
      internal::Logger.warning("cannot open a port; trying again",
                               {{"port", Name}, {"why", E.what()}});
    return false;
  }
}

} // namespace cicadawind
