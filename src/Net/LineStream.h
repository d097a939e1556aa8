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
/// \brief A TCP connection that receives lines, terminated by CR LF, and sends
/// bytes.
///
/// A CR or LF on its own is a part of the line: if it ended the line, the rest
/// of a field would be taken for another message.
/// The lines of one read are passed to the line hook one after the other;
/// everything that is sent while they are handled leaves in one write. Reading
/// stops when more than MaxPendingBytes are waiting to be sent and resumes when
/// all of them are sent, so a peer that does not read cannot make the send
/// buffer grow without bound. Hooks run on the thread of the event loop and are
/// released after close. A read call returns up to ReadBytes, which is also the
/// size of the read buffer of each connection.
class LineStream : public std::enable_shared_from_this<LineStream> {
public:
  struct Options {
    /// Length of the longest permitted line, without its terminator.
    std::size_t MaxLineBytes = std::size_t{1} << 20;
    /// Number of unsent bytes above which reading from the peer stops.
    std::size_t MaxPendingBytes = std::size_t{256} * 1024;
    /// Time after which the connection is ended if the peer's host neither
    /// acknowledges bytes nor responds to keep-alive probes.
    Millis PeerTimeout = Millis(3000);
    /// Longest wait for the peer to close its side after closeAfterSending.
    Millis LingerTimeout = Millis(1000);
  };
  /// Reason for the end of a connection.
  enum class End { PeerClosed, Failed, LineTooLong };

  /// Returns a stream over an accepted socket.
  static std::shared_ptr<LineStream> accepted(boost::asio::ip::tcp::socket S,
                                              Options Opts);
  /// Returns a stream that is not connected yet.
  static std::shared_ptr<LineStream> unconnected(boost::asio::io_context &Loop,
                                                 Options Opts);

  LineStream(boost::asio::ip::tcp::socket S, Options Opts);

  /// Sets the hook that receives each line without its terminator.
  void onLine(std::function<void(std::string_view)> Hook) {
    LineHook = std::move(Hook);
  }
  /// Sets the hook that is called once if the connection ends for a reason
  /// other than close.
  void onEnd(std::function<void(End)> Hook) { EndHook = std::move(Hook); }

  /// Connects to "ip:port" and calls \p Done with whether that succeeded. There
  /// is no timeout: close has to be called to abandon a pending attempt, and
  /// \p Done is then not called.
  void connect(const std::string &Address, std::function<void(bool)> Done);

  /// Starts to read lines.
  void start();

  /// Queues \p Bytes, which are written after the current handler has returned.
  void send(std::string_view Bytes);

  /// Sends everything that is queued, closes the sending side and then waits up
  /// to LingerTimeout for the peer to close its side. Bytes that the peer still
  /// sends are read and dropped: closing a socket with unread bytes would reset
  /// the connection and could lose bytes that the peer has not received yet.
  void closeAfterSending();
  /// Closes the connection at once; the end hook is not called.
  void close();

  bool isOpen() const { return Open; }
  /// Returns the time at which the current incomplete line began, or a zero
  /// time if there is none.
  TimePoint partialSince() const { return PartialSince; }
  /// Returns whether bytes of the peer have arrived that the line hook has not
  /// received, in the socket or as an incomplete line. Costs a system call.
  bool hasUnread() const;
  /// Returns the number of bytes that are queued and not yet written.
  std::size_t pendingBytes() const { return Out.size(); }
  /// Returns the number of bytes received so far.
  std::uint64_t bytesReceived() const { return Received; }

private:
  void configureSocket();
  void readMore();
  void processBytes(std::size_t Count);
  /// Passes the complete lines of \p Text to the line hook and sets \p Used to
  /// the number of bytes that they take. Returns false if a line is too long.
  bool dispatchLines(std::string_view Text, std::size_t &Used);
  void scheduleFlush();
  void flush();
  void waitWritable();
  void waitForPeerClose();
  void fail(End Reason);

  /// Size of the read buffer in bytes.
  static constexpr std::size_t ReadBytes = 2048;

  boost::asio::ip::tcp::socket Socket;
  Options Opts;
  std::function<void(std::string_view)> LineHook;
  std::function<void(End)> EndHook;
  std::vector<char> Buffer;
  /// Beginning of a line whose terminator has not arrived completely.
  std::string Partial;
  TimePoint PartialSince;
  std::string Out;
  std::uint64_t Received = 0;
  /// Set while waiting for the peer to close its side.
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
