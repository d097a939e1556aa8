// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Proxy/TargetRelay.h"

#include "Net/LineStream.h"
#include "Observability/Log.h"

#include <boost/asio/io_context.hpp>

namespace cicadawind {
namespace internal {

static const Log Logger("relay");
static const std::string Verb = "RELAY ";

/// Passes the lines that \p From receives on to \p To.
static void passLines(const std::shared_ptr<LineStream> &From,
                      const std::shared_ptr<LineStream> &To) {
  From->onLine([To](std::string_view Line) {
    To->send(Line);
    To->send("\r\n");
  });
}

} // namespace internal

TargetRelay::TargetRelay(boost::asio::io_context &Loop, Options NewOpts)
    : Loop(Loop), Opts(std::move(NewOpts)), Acceptor(Loop) {}

TargetRelay::~TargetRelay() { *Alive = false; }

std::string TargetRelay::requestFor(const std::string &Group,
                                    const std::string &Instance) {
  return internal::Verb + Group + " " + Instance + "\r\n";
}

void TargetRelay::start() {
  boost::asio::ip::tcp::endpoint Endpoint(
      boost::asio::ip::make_address(Opts.Address), Opts.Port);
  Acceptor.open(Endpoint.protocol());
  Acceptor.set_option(boost::asio::socket_base::reuse_address(true));
  Acceptor.bind(Endpoint);
  Acceptor.listen();
  acceptNext();
}

std::uint16_t TargetRelay::port() const {
  return Acceptor.local_endpoint().port();
}

void TargetRelay::acceptNext() {
  Acceptor.async_accept(
      [this, Still = Alive](const boost::system::error_code &Code,
                            boost::asio::ip::tcp::socket Socket) {
        if (!*Still || Code == boost::asio::error::operation_aborted)
          return;
        if (!Code && *Count < Opts.MaxConnections) {
          auto Peer = LineStream::accepted(std::move(Socket), {});
          Peer->onLine(
              [this, Still, Weak = std::weak_ptr(Peer)](std::string_view Line) {
                std::shared_ptr<LineStream> Asking = Weak.lock();
                if (*Still && Asking)
                  serve(Asking, Line);
              });
          Peer->start();
        }
        acceptNext();
      });
}

void TargetRelay::serve(const std::shared_ptr<LineStream> &Peer,
                        std::string_view Request) {
  std::string Text(Request);
  std::size_t Blank = Text.find(' ', internal::Verb.size());
  bool Valid = Text.starts_with(internal::Verb) && Blank != std::string::npos;
  std::string Group;
  std::string Instance;
  std::string Address;
  if (Valid) {
    Group = Text.substr(internal::Verb.size(), Blank - internal::Verb.size());
    Instance = Text.substr(Blank + 1);
    Address = Opts.AddressOf(Group, Instance);
  }
  if (Address.empty()) {
    internal::Logger.info("relay refused", {{"request", Text}});
    return Peer->close();
  }
  auto Target = LineStream::unconnected(Loop, {});
  ++*Count;
  // Held by the hooks of the target's side, which go when it closes.
  std::shared_ptr<void> Counted(nullptr, [C = Count](void *) { --*C; });
  // Lines that arrive before the target is connected wait in its queue.
  internal::passLines(Peer, Target);
  Peer->onEnd([Target](LineStream::End) { Target->close(); });
  Target->connect(Address, [Peer, Target, Counted](bool Connected) {
    if (!Connected)
      return Peer->close();
    internal::passLines(Target, Peer);
    Target->onEnd(
        [Peer, Counted](LineStream::End) { Peer->closeAfterSending(); });
    Target->start();
  });
}

} // namespace cicadawind
