#ifndef CICADAWIND_ASYNC_LOOPTIMERS_H
#define CICADAWIND_ASYNC_LOOPTIMERS_H

#include "Timers/TimerService.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace cicadawind {

/// \class LoopTimers
/// \brief Drives a timer service from an event loop.
class LoopTimers {
public:
  explicit LoopTimers(boost::asio::io_context &Loop);
  ~LoopTimers();
  LoopTimers(const LoopTimers &) = delete;
  LoopTimers &operator=(const LoopTimers &) = delete;

  TimerService &service();

private:
  class Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace cicadawind

#endif
