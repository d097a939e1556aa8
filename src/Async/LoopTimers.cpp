// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Async/LoopTimers.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace cicadawind {

class LoopTimers::Impl : public std::enable_shared_from_this<Impl> {
public:
  explicit Impl(boost::asio::io_context &Loop)
      : Timer(Loop), Service(BootClock::now()) {}

  void arm() {
    std::optional<TimePoint> Due = Service.nextDue();
    if (!Due)
      return;
    Duration Wait = std::max(*Due - BootClock::now(), Duration::zero());
    Timer.expires_after(Wait);
    Timer.async_wait(
        [Weak = weak_from_this()](const boost::system::error_code &Code) {
          std::shared_ptr<Impl> Locked = Weak.lock();
          if (Code || !Locked)
            return;
          Locked->Service.advanceTo(BootClock::now());
          Locked->arm();
        });
  }

  boost::asio::steady_timer Timer;
  TimerService Service;
};

LoopTimers::LoopTimers(boost::asio::io_context &Loop)
    : Self(std::make_shared<Impl>(Loop)) {
  Self->Service.onEarlierDue([Weak = std::weak_ptr(Self)] {
    if (std::shared_ptr<Impl> Locked = Weak.lock())
      Locked->arm();
  });
}

LoopTimers::~LoopTimers() { Self->Timer.cancel(); }

TimerService &LoopTimers::service() { return Self->Service; }

} // namespace cicadawind
