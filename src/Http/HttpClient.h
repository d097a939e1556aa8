#ifndef CICADAWIND_HTTP_HTTPCLIENT_H
#define CICADAWIND_HTTP_HTTPCLIENT_H

#include "Core/Clock.h"
#include "Http/ConnectionUse.h"
#include "Http/HttpFailure.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cicadawind {

class HttpConnection;

/// \class HttpClient
/// \brief HTTP client that reuses its connections and allows any number of
/// concurrent calls.
///
/// Idle connections are reused, the most recently used one first. Those that
/// were idle for IdleTimeout are closed by the next call to their address, and
/// all idle ones when a call to their address has timed out. The
/// client never retries a call; that decision is left to the code that makes
/// the call. Runs on the thread of the event loop.
class HttpClient {
public:
  struct Options {
    Duration ConnectTimeout = std::chrono::milliseconds(500);
    /// Shorter than the idle timeout of the servers (HttpServer::Options), so
    /// that a connection is not reused at the moment when the server closes it.
    Duration IdleTimeout = std::chrono::seconds(30);
    /// Largest number of idle connections kept for one address.
    std::size_t MaxIdlePerPeer = 64;
  };

  HttpClient(boost::asio::io_context &Loop, Options Opts);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request to \p Address, "ip:port", and waits up to \p Timeout for
  /// the complete response. The time to connect is part of \p Timeout.
  boost::asio::awaitable<HttpResult>
  call(std::string Address, HttpRequest Request, Duration Timeout,
       ConnectionUse Use = ConnectionUse::Kept);

  /// Returns the number of bytes that complete calls have sent and received so
  /// far, headers included.
  std::uint64_t bytes() const { return Bytes; }

private:
  /// A connection without a call, and the time at which its last call ended.
  struct IdleConnection {
    std::unique_ptr<HttpConnection> Link;
    TimePoint Since;
  };

  /// Returns an idle connection to \p Address that is still usable, or null.
  std::unique_ptr<HttpConnection> acquireIdle(const std::string &Address);
  /// Keeps \p Link for later calls unless it is closed.
  void releaseIdle(std::unique_ptr<HttpConnection> Link);

  boost::asio::io_context &Loop;
  Options Opts;
  std::map<std::string, std::deque<IdleConnection>> Idle;
  std::uint64_t Bytes = 0;
};

} // namespace cicadawind

#endif
