#ifndef CICADAWIND_HTTP_GUARDEDSOCKET_H
#define CICADAWIND_HTTP_GUARDEDSOCKET_H

#include "Http/PartialMessages.h"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <utility>

namespace cicadawind {

/// \class GuardedSocket
/// \brief A TCP socket that tells PartialMessages of bytes that arrive and of
/// its own end.
///
/// Stands in for the plain socket in RESTinio's traits.
class GuardedSocket : public boost::asio::ip::tcp::socket {
public:
  using Base = boost::asio::ip::tcp::socket;
  using Base::Base;

  ~GuardedSocket() { forget(); }
  GuardedSocket(GuardedSocket &&) = default;
  GuardedSocket &operator=(GuardedSocket &&) = delete;

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
                    // Lives as long as the handler, which owns the connection.
                    if (!Code && Count > 0)
                      partials().received(*this);
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
  PartialMessages &partials() {
    return boost::asio::use_service<PartialMessages>(
        boost::asio::query(get_executor(), boost::asio::execution::context));
  }
  /// The descriptor may soon be another connection's.
  void forget() {
    if (is_open())
      partials().forget(native_handle());
  }
};

} // namespace cicadawind

#endif
