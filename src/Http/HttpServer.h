#ifndef CICADAWIND_HTTP_HTTPSERVER_H
#define CICADAWIND_HTTP_HTTPSERVER_H

#include "Core/Clock.h"
#include "Http/HttpMessage.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cicadawind {

/// Handles one request and returns its response.
using HttpHandler =
    std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

/// \class HttpServer
/// \brief HTTP/1.1 server on a given event loop, based on RESTinio.
///
/// A request whose body is larger than MaxBodyBytes gets the status 413, and
/// one whose handler throws gets the status 500. Connections beyond
/// MaxConnections, or beyond MaxConnectionsPerPeer from one address, are closed
/// when they are accepted.
/// Runs on the thread of the event loop only.
class HttpServer {
public:
  struct Options {
    std::string Address = "127.0.0.1";
    /// Port to listen on; 0 selects a free port.
    std::uint16_t Port = 0;
    /// Size of the largest body that is passed to the handler.
    std::size_t MaxBodyBytes = std::size_t{256} * 1024;
    std::size_t MaxConnectionsPerPeer = 16384;
    std::size_t MaxConnections = 20000;
    /// Time in which a message that has begun must be complete; its connection
    /// is closed after that. If a message begins in the same packet as the end
    /// of another one, its time starts with the next bytes that arrive.
    Duration MessageTimeout = std::chrono::milliseconds(3000);
    /// Time after which an idle connection is closed.
    std::chrono::seconds IdleTimeout = std::chrono::seconds(120);
    /// Longest time that a handler may take. It is longer than any deadline
    /// that a release note may set.
    std::chrono::seconds HandlerTimeout = std::chrono::hours(25);
  };

  /// Binds the address before it returns; throws std::runtime_error if that
  /// fails, for instance because the address is in use.
  HttpServer(boost::asio::io_context &Loop, Options Opts, HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Returns the port that the server listens on.
  std::uint16_t port() const;

  /// Stops accepting connections and enforcing MessageTimeout. Open connections
  /// are not closed.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace cicadawind

#endif
