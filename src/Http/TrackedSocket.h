#ifndef CICADAWIND_HTTP_TRACKEDSOCKET_H
#define CICADAWIND_HTTP_TRACKEDSOCKET_H

#include "Http/PartialMessageTracker.h"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <utility>

namespace cicadawind {

/// \class TrackedSocket
/// \brief A TCP socket that notifies PartialMessageTracker when bytes arrive
/// and when it closes, and whose peer may have disconnected.
///
/// Replaces the plain socket in RESTinio's traits.
class TrackedSocket : public boost::asio::ip::tcp::socket {
public:
  using Base = boost::asio::ip::tcp::socket;
  using Base::Base;

  ~TrackedSocket() { forget(); }
  TrackedSocket(TrackedSocket &&) = default;
  TrackedSocket &operator=(TrackedSocket &&) = delete;

  // RESTinio asks this object for the peer's address instead of its base.
  TrackedSocket &
  lowest_layer() { // NOLINT(readability-identifier-naming): the socket's name
    return *this;
  }
  /// Returns the peer's address; an unspecified one if the peer has reset the
  /// connection. The base throws then, and RESTinio's acceptor, which calls
  /// this function, would end the process or lose a place for a connection.
  endpoint_type
  remote_endpoint() // NOLINT(readability-identifier-naming): the socket's name
      const {
    boost::system::error_code Ignored;
    return Base::remote_endpoint(Ignored);
  }

  template <class Buffers, class Handler>
  void
  async_read_some( // NOLINT(readability-identifier-naming): the stream's name
      const Buffers &Into, Handler &&Done) {
    auto Executor = boost::asio::get_associated_executor(Done, get_executor());
    Base::async_read_some(
        Into, boost::asio::bind_executor(
                  Executor, [this, Done = std::forward<Handler>(Done)](
                                const boost::system::error_code &Code,
                                std::size_t Count) mutable {
                    // The handler owns the connection, so this socket is still
                    // alive here.
                    if (!Code && Count > 0)
                      tracker().recordBytes(*this);
                    Done(Code, Count);
                  }));
  }

  void close() { // NOLINT(readability-identifier-naming): the socket's name
    forget();
    Base::close();
  }
  boost::system::error_code
  close( // NOLINT(readability-identifier-naming): the socket's name
      boost::system::error_code &Code) {
    forget();
    return Base::close(Code);
  }

private:
  PartialMessageTracker &tracker() {
    return boost::asio::use_service<PartialMessageTracker>(
        boost::asio::query(get_executor(), boost::asio::execution::context));
  }
  /// Removes the descriptor from the tracker, because the system may give it to
  /// another connection after the close.
  void forget() {
    if (is_open())
      tracker().forget(native_handle());
  }
};

} // namespace cicadawind

#endif
