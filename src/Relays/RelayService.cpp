// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Relays/RelayService.h"

#include "Net/LineStream.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace cicadawind {

RelayService::RelayService(boost::asio::io_context &Loop, Options NewOpts)
    : Opts(std::move(NewOpts)), Acceptor(Loop),
      Host(std::make_shared<RelaySession::Host>(Opts.Host)) {
  Host->Ended = [this, IsAlive = Alive](const auto &Session) {
    if (*IsAlive)
      Sessions.erase(Session);
  };
}

RelayService::~RelayService() {
  *Alive = false;
  for (const std::shared_ptr<RelaySession> &Each : Sessions)
    Each->close();
}

void RelayService::start() {
  boost::asio::ip::tcp::endpoint Endpoint(
      boost::asio::ip::make_address(Opts.Address), Opts.Port);
  Acceptor.open(Endpoint.protocol());
  Acceptor.set_option(boost::asio::socket_base::reuse_address(true));
  Acceptor.bind(Endpoint);
  Acceptor.listen();
  acceptNext();
}

std::uint16_t RelayService::port() const {
  return Acceptor.local_endpoint().port();
}

std::size_t RelayService::busySessions() const {
  return static_cast<std::size_t>(
      std::count_if(Sessions.begin(), Sessions.end(),
                    [](const auto &Each) { return Each->isBusy(); }));
}

void RelayService::acceptNext() {
  Acceptor.async_accept([this,
                         IsAlive = Alive](const boost::system::error_code &Code,
                                          boost::asio::ip::tcp::socket Socket) {
    if (!*IsAlive || Code == boost::asio::error::operation_aborted)
      return;
    if (!Code && Sessions.size() < Opts.MaxSessions) {
      auto Stream = LineStream::accepted(std::move(Socket), {});
      auto Session = std::make_shared<RelaySession>(std::move(Stream), Host);
      Sessions.insert(Session);
      Session->start();
    }
    acceptNext();
  });
}

} // namespace cicadawind
