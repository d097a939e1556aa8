#ifndef CICADAWIND_NET_LINESTREAM_H
#define CICADAWIND_NET_LINESTREAM_H

#include "Core/Clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cicadawind {

/// \class LineStream
/// \brief TCP connection that carries lines ended by CR LF.
///
/// Lines of one read are handed over one after the other; what is sent while
/// they are handled leaves in one write. A peer that does not read stops this
/// side from reading further once SendLimit bytes wait. Hooks run on the
/// loop's thread and are dropped by close. Costs one read and one write call a
/// batch of lines, and ReadBytes of memory.
class LineStream : public std::enable_shared_from_this<LineStream> {
public:
  struct Options {
    /// Longest line, without its end.
    std::size_t MaxLineBytes = std::size_t{1} << 20;
    /// Bytes that may wait for a peer before reading from it stops.
    std::size_t SendLimit = std::size_t{256} * 1024;
    /// Silence of the network after which unacknowledged bytes or unanswered
    /// keep-alive probes end the connection.
    Millis PeerTimeout = Millis(3000);
    /// Longest wait for the peer's end when closing in order.
    Millis LingerLimit = Millis(1000);
  };
  enum class End { PeerClosed, Failed, LineTooLong };

  /// A stream over an accepted socket.
  static std::shared_ptr<LineStream> accepted(boost::asio::ip::tcp::socket S,
                                              Options Opts);
  /// A stream that is yet to connect.
  static std::shared_ptr<LineStream> unconnected(boost::asio::io_context &Loop,
                                                 Options Opts);

  LineStream(boost::asio::ip::tcp::socket S, Options Opts);

  void onLine(std::function<void(std::string_view)> Hook) {
    LineHook = std::move(Hook);
  }
  /// Called once when the connection ends other than by close.
  void onEnd(std::function<void(End)> Hook) { EndHook = std::move(Hook); }

  /// Connects to "ip:port"; \p Done gets whether it succeeded. The caller
  /// limits the time by calling close.
  void connect(const std::string &Address, std::function<void(bool)> Done);

  /// Begins to read.
  void start();

  /// Queues \p Bytes; they leave when the current handler has returned.
  void send(std::string_view Bytes);

  /// Ends the connection once everything queued has left and the peer has seen
  /// it: what it still sends is read and dropped, as closing over unread bytes
  /// would reset the connection and lose what is on its way.
  void closeAfterSending();
  void close();

  bool isOpen() const { return Open; }
  /// Time since which a line that has begun is incomplete; zero time when
  /// none is.
  TimePoint partialSince() const { return PartialSince; }
  std::size_t bytesWaiting() const { return Out.size(); }
  std::uint64_t bytesReceived() const { return Received; }

private:
  void configureSocket();
  void readMore();
  void takeBytes(std::size_t Count);
  bool handOverLines(std::string_view Text, std::size_t &Used);
  void scheduleFlush();
  void flush();
  void waitWritable();
  void linger();
  void fail(End Reason);

  static constexpr std::size_t ReadBytes = 2048;

  boost::asio::ip::tcp::socket Socket;
  Options Opts;
  std::function<void(std::string_view)> LineHook;
  std::function<void(End)> EndHook;
  std::vector<char> Buffer;
  /// Beginning of a line whose end has not arrived.
  std::string Partial;
  TimePoint PartialSince;
  std::string Out;
  std::uint64_t Received = 0;
  /// Set while waiting for the peer's end.
  std::unique_ptr<boost::asio::steady_timer> LingerTimer;
  bool Open = true;
  bool FlushScheduled = false;
  bool WaitingWritable = false;
  bool Connecting = false;
  bool ReadPaused = false;
  bool Closing = false;
};

} // namespace cicadawind

#endif
