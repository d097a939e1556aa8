#ifndef CICADAWIND_ASYNC_ASYNCSIGNAL_H
#define CICADAWIND_ASYNC_ASYNCSIGNAL_H

#include "Core/Clock.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace boost::asio {
class io_context;
}

namespace cicadawind {

/// \class AsyncSignal
/// \brief Lets coroutines wait until something has changed.
///
/// A waiter re-checks its condition after every wake-up. Destroying the
/// signal wakes all waiters. Runs on the loop's thread.
class AsyncSignal {
public:
  explicit AsyncSignal(boost::asio::io_context &Loop);
  ~AsyncSignal();
  AsyncSignal(const AsyncSignal &) = delete;
  AsyncSignal &operator=(const AsyncSignal &) = delete;

  /// Returns at the next notifyAll, or after \p Limit.
  boost::asio::awaitable<void> wait(Duration Limit);

  void notifyAll();

private:
  class Impl;
  std::shared_ptr<Impl> Self;
};

/// Suspends the calling coroutine for \p Time.
boost::asio::awaitable<void> sleepFor(Duration Time);

/// Starts \p Work on \p Loop without waiting for it.
void spawn(boost::asio::io_context &Loop, boost::asio::awaitable<void> Work);

} // namespace cicadawind

#endif
