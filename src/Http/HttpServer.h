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

/// Answers one request.
using HttpHandler =
    std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

/// \class HttpServer
/// \brief HTTP/1.1 server on a given event loop, over RESTinio.
///
/// Bodies beyond MaxBodyBytes get 413. A handler may take until HandleLimit.
/// Connections beyond MaxConnectionsPerPeer from one address are closed on
/// accept. Runs on the loop's thread only.
class HttpServer {
public:
  struct Options {
    std::string Address = "127.0.0.1";
    /// 0 takes a free port.
    std::uint16_t Port = 0;
    std::size_t MaxBodyBytes = std::size_t{256} * 1024;
    std::size_t MaxConnectionsPerPeer = 16384;
    std::size_t MaxConnections = 20000;
    /// Time in which a message that has begun must be complete; its connection
    /// is closed then. A message behind another in one packet only counts from
    /// its next bytes on.
    Duration MessageLimit = std::chrono::milliseconds(3000);
    /// An idle connection is closed.
    std::chrono::seconds IdleLimit = std::chrono::seconds(120);
    /// Longer than any deadline that release notes allow.
    std::chrono::seconds HandleLimit = std::chrono::hours(25);
  };

  /// Binds at once; throws std::runtime_error when the address is taken.
  HttpServer(boost::asio::io_context &Loop, Options Opts, HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// The port that is listened on.
  std::uint16_t port() const;

  /// Stops accepting connections and closes the idle ones.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace cicadawind

#endif
