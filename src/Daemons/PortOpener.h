#ifndef CICADAWIND_DAEMONS_PORTOPENER_H
#define CICADAWIND_DAEMONS_PORTOPENER_H

#include "Core/Clock.h"

#include <functional>

namespace boost::asio {
class io_context;
}

namespace cicadawind {

/// \class PortOpener
/// \brief Opens the ports of a process that starts, and waits for those that
/// are in use.
///
/// Another process, such as the previous one on this VM, may hold a port for a
/// moment. A process that ended for that would only be started again. Runs the
/// loop while it waits, so that signals and ports that are open are served.
class PortOpener {
public:
  struct Options {
    /// Time between two attempts.
    Duration RetryDelay = std::chrono::milliseconds(200);
    /// Time after which an attempt that fails is the last one.
    Duration Timeout = std::chrono::seconds(30);
    /// Returns whether the process is to stop, so that it waits no longer.
    std::function<bool()> IsStopping = [] { return false; };
  };

  PortOpener(boost::asio::io_context &Loop, Options Opts);

  /// Calls \p Open until it does not throw. Throws what \p Open throws if that
  /// does not say that an address is in use or not available, or if the time is
  /// over. Returns false if the process is to stop. \p Name is the port's name
  /// in the log.
  bool open(const char *Name, const std::function<void()> &Open);

private:
  /// Returns whether an attempt succeeds; see open().
  bool tryOpen(const char *Name, const std::function<void()> &Open,
               bool IsFirst, bool IsLast);

  boost::asio::io_context &Loop;
  Options Opts;
};

} // namespace cicadawind

#endif
