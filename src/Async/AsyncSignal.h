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
/// \brief Lets coroutines wait for a change of state.
///
/// The signal carries no state, so a coroutine has to check its condition again
/// whenever wait() returns. The destructor wakes all waiting coroutines. Runs
/// on the loop's thread.
class AsyncSignal {
public:
  explicit AsyncSignal(boost::asio::io_context &Loop);
  ~AsyncSignal();
  AsyncSignal(const AsyncSignal &) = delete;
  AsyncSignal &operator=(const AsyncSignal &) = delete;

  /// Returns at the next call of notifyAll, or after \p Timeout.
  boost::asio::awaitable<void> wait(Duration Timeout);

  /// Wakes all coroutines that are waiting now.
  void notifyAll();

private:
  class Impl;
  std::shared_ptr<Impl> Self;
};

/// Suspends the calling coroutine for \p Length.
boost::asio::awaitable<void> sleepFor(Duration Length);

/// Starts \p Coroutine on \p Loop without waiting for its end.
void spawn(boost::asio::io_context &Loop,
           boost::asio::awaitable<void> Coroutine);

} // namespace cicadawind

#endif
