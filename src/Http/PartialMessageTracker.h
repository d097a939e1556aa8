#ifndef CICADAWIND_HTTP_PARTIALMESSAGETRACKER_H
#define CICADAWIND_HTTP_PARTIALMESSAGETRACKER_H

#include "Core/Clock.h"

#include <boost/asio/execution_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <utility>

namespace cicadawind {

/// \class PartialMessageTracker
/// \brief Tracks the connections of an event loop on which a message has begun
/// and is not complete.
///
/// It is a service of the event loop, so that sockets that RESTinio creates can
/// find it. Runs on the thread of the event loop. closeOverdue is linear in the
/// number of connections; every other call is logarithmic.
class PartialMessageTracker : public boost::asio::execution_context::service {
public:
  // Asio requires this name. NOLINTNEXTLINE(readability-identifier-naming)
  static boost::asio::execution_context::id id;

  explicit PartialMessageTracker(boost::asio::execution_context &Loop)
      : service(Loop) {}

  /// Records that bytes have arrived on \p Socket.
  void recordBytes(boost::asio::ip::tcp::socket &Socket);
  /// Records that the message from \p Peer to \p LocalPort is complete.
  void recordComplete(std::uint16_t LocalPort,
                      const boost::asio::ip::tcp::endpoint &Peer);
  /// Stops tracking the connection with \p Descriptor, which is about to close.
  void forget(int Descriptor);

  /// Shuts down the connections to \p LocalPort whose message has been
  /// incomplete for longer than \p Timeout, and returns their number.
  std::size_t closeOverdue(std::uint16_t LocalPort, Duration Timeout);

private:
  /// A message that has begun on a connection.
  struct Partial {
    TimePoint Since;
    std::uint16_t LocalPort = 0;
    boost::asio::ip::tcp::endpoint Peer;
  };
  using PeerKey = std::pair<std::uint16_t, boost::asio::ip::tcp::endpoint>;

  void shutdown() override {
    Partials.clear();
    ByPeer.clear();
  }

  /// Incomplete messages by descriptor. A descriptor is removed before its
  /// socket is closed, because the system may reuse the number at once.
  std::map<int, Partial> Partials;
  /// Descriptors of Partials by port and peer, for recordComplete, which is not
  /// given the socket.
  std::map<PeerKey, int> ByPeer;
};

} // namespace cicadawind

#endif
