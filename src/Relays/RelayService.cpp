// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Relays/RelayService.h"

#include "Net/LineStream.h"

#include <algorithm>

namespace cicadawind {

RelayService::RelayService(boost::asio::io_context &Loop, Options NewOpts)
    : Opts(std::move(NewOpts)),
      Host(std::make_shared<RelaySession::Host>(Opts.Host)),
      Listener(Loop, {.Endpoint = {boost::asio::ip::make_address(Opts.Address),
                                   Opts.Port},
                      .OnConnection = [this](boost::asio::ip::tcp::socket S) {
                        accept(std::move(S));
                      }}) {
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

void RelayService::start() { Listener.listen(); }

std::size_t RelayService::busySessions() const {
  return static_cast<std::size_t>(
      std::count_if(Sessions.begin(), Sessions.end(),
                    [](const auto &Each) { return Each->isBusy(); }));
}

void RelayService::accept(boost::asio::ip::tcp::socket Socket) {
  if (Sessions.size() >= Opts.MaxSessions)
    return;
  auto Stream = LineStream::accepted(std::move(Socket), {});
  auto Session = std::make_shared<RelaySession>(std::move(Stream), Host);
  Sessions.insert(Session);
  Session->start();
}

} // namespace cicadawind
