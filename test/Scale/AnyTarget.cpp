// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Scale/AnyTarget.h"

#include "Net/LineStream.h"

#include <boost/asio/io_context.hpp>

namespace cicadawind::test {

using Tcp = boost::asio::ip::tcp;

AnyTarget::AnyTarget(boost::asio::io_context &Loop)
    : Acceptor(Loop,
               Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
  acceptNext();
}

AnyTarget::~AnyTarget() {
  *Alive = false;
  for (const std::shared_ptr<LineStream> &Each : Streams)
    Each->close();
}

std::string AnyTarget::address() const {
  return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
}

void AnyTarget::acceptNext() {
  Acceptor.async_accept(
      [this, IsAlive = Alive](const auto &Code, Tcp::socket Socket) {
        if (Code || !*IsAlive)
          return;
        ++Accepted;
        auto Stream = LineStream::accepted(std::move(Socket), {});
        Streams.insert(Stream);
        serve(Stream);
        acceptNext();
      });
}

void AnyTarget::serve(const std::shared_ptr<LineStream> &Stream) {
  auto IsPrimary = std::make_shared<bool>(false);
  auto Phase = std::make_shared<char>('I');
  LineStream *Raw = Stream.get();
  Stream->onLine([this, Raw, IsPrimary, Phase](std::string_view Line) {
    ++Requests;
    // A VM that relays names the target first and precedes each request with a
    // priority and a time.
    if (Line.starts_with("CARRY"))
      return;
    if (Line.starts_with("STARTUP")) {
      *IsPrimary = Line.ends_with("-a");
      return Raw->send("READY I 1.1\r\n");
    }
    std::string Reply;
    if (Line.ends_with(" STATUS"))
      Reply = *IsPrimary ? "ROW primary 1 1.1 0 0 0 1\r\n"
                         : "ROW replica 1 1.1 0 0 0 1\r\n";
    if (Line.ends_with(" BEGIN"))
      *Phase = 'T';
    if (Line.ends_with(" ROLLBACK") || Line.ends_with(" COMMIT"))
      *Phase = 'I';
    Raw->send(Reply + "COMPLETE -\r\nREADY " + *Phase + " 1.1\r\n");
  });
  Stream->onEnd([this, IsAlive = Alive, Raw](LineStream::End) {
    if (*IsAlive)
      std::erase_if(Streams, [Raw](const std::shared_ptr<LineStream> &Each) {
        return Each.get() == Raw;
      });
  });
  Stream->start();
}

} // namespace cicadawind::test
