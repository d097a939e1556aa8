// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Net/TcpListener.h"

#include "Observability/Log.h"

#include <boost/asio/io_context.hpp>

namespace cicadawind {
namespace internal {

static const Log Logger("listener");

} // namespace internal

TcpListener::TcpListener(boost::asio::io_context &Loop, Options NewOpts)
    : Opts(std::move(NewOpts)), Acceptor(Loop), RetryTimer(Loop) {}

TcpListener::~TcpListener() { *Alive = false; }

void TcpListener::listen() {
  boost::asio::ip::tcp::acceptor Opened(Acceptor.get_executor());
  Opened.open(Opts.Endpoint.protocol());
  Opened.set_option(boost::asio::socket_base::reuse_address(true));
  Opened.bind(Opts.Endpoint);
  Opened.listen(Opts.Backlog);
  Acceptor = std::move(Opened);
  acceptNext();
}

void TcpListener::acceptNext() {
  Acceptor.async_accept(
      [this, IsAlive = Alive](const boost::system::error_code &Code,
                              boost::asio::ip::tcp::socket Socket) {
        if (!*IsAlive || Code == boost::asio::error::operation_aborted)
          return;
        if (Code)
          return retryLater(Code.message());
        HasFailed = false;
        Opts.OnConnection(std::move(Socket));
        acceptNext();
      });
}

void TcpListener::retryLater(const std::string &Reason) {
  ++Failures;
  if (!std::exchange(HasFailed, true))
    internal::Logger.warning(
        "cannot accept connections; trying again until it succeeds",
        {{"port", std::to_string(port())}, {"why", Reason}});
  RetryTimer.expires_after(Opts.RetryDelay);
  RetryTimer.async_wait(
      [this, IsAlive = Alive](const boost::system::error_code &Code) {
        if (!Code && *IsAlive)
          acceptNext();
      });
}

} // namespace cicadawind
