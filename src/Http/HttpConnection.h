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
/// \brief One outgoing HTTP/1.1 connection, over Boost.Beast.
///
/// Serves one call at a time. After any failure the connection is closed and
/// a late answer can never meet another request. Runs on the loop's thread.
class HttpConnection {
public:
  /// \p Address is "ip:port".
  HttpConnection(boost::asio::io_context &Loop, std::string Address);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Connects; false when that failed or took longer than \p Limit.
  boost::asio::awaitable<bool> connect(Duration Limit);

  /// Sends \p Request and reads the whole answer within \p Limit.
  boost::asio::awaitable<HttpResult> call(HttpRequest Request, Duration Limit);

  /// Whether the connection is up, as far as the kernel knows.
  bool isOpen() const;

  void close();

  const std::string &address() const;

  /// Bytes that the last complete call sent and received.
  std::uint64_t lastCallBytes() const;

private:
  class Impl;
  // Shared, so that a call in progress survives the connection's owner.
  std::shared_ptr<Impl> Self;
};

} // namespace cicadawind

#endif
