// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Async/AsyncSignal.h"

#include <boost/asio.hpp>
#include <boost/asio/redirect_error.hpp>

#include <list>

namespace cicadawind {

class AsyncSignal::Impl {
public:
  explicit Impl(boost::asio::io_context &Loop) : Loop(Loop) {}

  boost::asio::io_context &Loop;
  std::list<boost::asio::steady_timer> Waiters;
};

AsyncSignal::AsyncSignal(boost::asio::io_context &Loop)
    : Self(std::make_shared<Impl>(Loop)) {}

AsyncSignal::~AsyncSignal() { notifyAll(); }

boost::asio::awaitable<void> AsyncSignal::wait(Duration Timeout) {
  std::shared_ptr<Impl> KeepAlive = Self;
  auto It =
      KeepAlive->Waiters.emplace(KeepAlive->Waiters.end(), KeepAlive->Loop);
  It->expires_after(Timeout);
  boost::system::error_code Ignored;
  co_await It->async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
  KeepAlive->Waiters.erase(It);
}

void AsyncSignal::notifyAll() {
  for (boost::asio::steady_timer &Waiter : Self->Waiters)
    Waiter.cancel();
}

boost::asio::awaitable<void> sleepFor(Duration Length) {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor);
  Timer.expires_after(Length);
  boost::system::error_code Ignored;
  co_await Timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
}

void spawn(boost::asio::io_context &Loop,
           boost::asio::awaitable<void> Coroutine) {
  boost::asio::co_spawn(Loop, std::move(Coroutine), boost::asio::detached);
}

} // namespace cicadawind
