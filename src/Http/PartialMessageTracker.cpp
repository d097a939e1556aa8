// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Http/PartialMessageTracker.h"

#include <sys/socket.h>

#include <vector>

namespace cicadawind {

boost::asio::execution_context::id PartialMessageTracker::id;

void PartialMessageTracker::recordBytes(boost::asio::ip::tcp::socket &Socket) {
  int Descriptor = Socket.native_handle();
  if (Partials.count(Descriptor))
    return;
  boost::system::error_code Code;
  Partial New;
  New.Since = BootClock::now();
  New.LocalPort = Socket.local_endpoint(Code).port();
  if (!Code)
    New.Peer = Socket.remote_endpoint(Code);
  if (Code)
    return; // The peer has disconnected; RESTinio's next read fails.
  ByPeer[{New.LocalPort, New.Peer}] = Descriptor;
  Partials[Descriptor] = New;
}

void PartialMessageTracker::recordComplete(
    std::uint16_t LocalPort, const boost::asio::ip::tcp::endpoint &Peer) {
  auto It = ByPeer.find({LocalPort, Peer});
  if (It != ByPeer.end())
    forget(It->second);
}

void PartialMessageTracker::forget(int Descriptor) {
  auto It = Partials.find(Descriptor);
  if (It == Partials.end())
    return;
  ByPeer.erase({It->second.LocalPort, It->second.Peer});
  Partials.erase(It);
}

std::size_t PartialMessageTracker::closeOverdue(std::uint16_t LocalPort,
                                                Duration Timeout) {
  TimePoint Now = BootClock::now();
  std::vector<int> Overdue;
  for (const auto &[Descriptor, Message] : Partials)
    if (Message.LocalPort == LocalPort && Now - Message.Since > Timeout)
      Overdue.push_back(Descriptor);
  for (int Descriptor : Overdue) {
    // The pending read on the socket ends and RESTinio closes the connection.
    ::shutdown(Descriptor, SHUT_RDWR);
    forget(Descriptor);
  }
  return Overdue.size();
}

} // namespace cicadawind
