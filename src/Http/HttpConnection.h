#ifndef CICADAWIND_HTTP_HTTPCONNECTION_H
#define CICADAWIND_HTTP_HTTPCONNECTION_H

#include "Core/Clock.h"
#include "Http/HttpFailure.h"
#include "Http/HttpMessage.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cicadawind {

/// \class HttpConnection
/// \brief One outgoing HTTP/1.1 connection, based on Boost.Beast.
///
/// Only one call may be in progress at a time. After any failure the connection
/// is closed, so that a late response can never be taken for the response to
/// another request. Runs on the thread of the event loop.
class HttpConnection {
public:
  /// \p Address is "ip:port".
  HttpConnection(boost::asio::io_context &Loop, std::string Address);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Connects to the address. Returns false if that fails or takes longer than
  /// \p Timeout.
  boost::asio::awaitable<bool> connect(Duration Timeout);

  /// Sends \p Request and reads the complete response within \p Timeout.
  boost::asio::awaitable<HttpResult> call(HttpRequest Request,
                                          Duration Timeout);

  /// Returns whether the connection can be used for another call, as far as the
  /// kernel knows.
  bool isOpen() const;

  void close();

  const std::string &address() const;

  /// Returns the number of bytes that the last complete call sent and received.
  std::uint64_t lastCallBytes() const;

private:
  class Impl;
  // Shared, so that a call in progress outlives this object.
  std::shared_ptr<Impl> Self;
};

} // namespace cicadawind

#endif
