#ifndef CICADAWIND_ASYNC_LOOPTIMERS_H
#define CICADAWIND_ASYNC_LOOPTIMERS_H

#include "Timers/TimerService.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace cicadawind {

/// \class LoopTimers
/// \brief Advances a TimerService from an event loop.
///
/// Runs on the loop's thread. No callback runs after the destructor.
class LoopTimers {
public:
  explicit LoopTimers(boost::asio::io_context &Loop);
  ~LoopTimers();
  LoopTimers(const LoopTimers &) = delete;
  LoopTimers &operator=(const LoopTimers &) = delete;

  /// Returns the timer service, which lives as long as this object.
  TimerService &service();

private:
  class Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace cicadawind

#endif
