#ifndef CICADAWIND_NET_TCPLISTENER_H
#define CICADAWIND_NET_TCPLISTENER_H

#include "Core/Clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cicadawind {

/// \class TcpListener
/// \brief Accepts TCP connections on one address.
///
/// After an accept has failed, for instance because no file descriptor is free,
/// waits RetryDelay before the next one: the connection still waits, so that
/// the next accept would fail at once. Runs on the loop's thread.
class TcpListener {
public:
  using Hook = std::function<void(boost::asio::ip::tcp::socket)>;

  struct Options {
    /// IP address and port; port 0 selects a free one.
    boost::asio::ip::tcp::endpoint Endpoint;
    /// Number of connections that may wait to be accepted.
    int Backlog = 1024;
    Duration RetryDelay = std::chrono::milliseconds(100);
    /// Called with each accepted connection.
    Hook OnConnection;
  };

  TcpListener(boost::asio::io_context &Loop, Options Opts);
  ~TcpListener();
  TcpListener(const TcpListener &) = delete;
  TcpListener &operator=(const TcpListener &) = delete;

  /// Starts to listen. Throws boost::system::system_error if that fails, for
  /// instance because the port is in use; may be called again then.
  void listen();
  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  /// Returns the number of accepts that have failed.
  std::uint64_t failures() const { return Failures; }

private:
  void acceptNext();
  void retryLater(const std::string &Reason);

  Options Opts;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer RetryTimer;
  std::uint64_t Failures = 0;
  /// Whether the last accept failed.
  bool HasFailed = false;
  /// False once the listener is destroyed; shared with pending handlers.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cicadawind

#endif
