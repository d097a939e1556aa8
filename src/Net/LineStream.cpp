// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Net/LineStream.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>

namespace cicadawind {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using SystemError = boost::system::error_code;

namespace internal {

constexpr std::string_view LineEnd = "\r\n";

/// Returns whether \p Text, which follows \p Partial, completes a line.
static bool completesLine(const std::string &Partial, std::string_view Text) {
  bool IsSplit = Partial.ends_with('\r') && Text.starts_with('\n');
  return IsSplit || Text.find(LineEnd) != std::string_view::npos;
}

} // namespace internal

LineStream::LineStream(Tcp::socket S, Options Opts)
    : Socket(std::move(S)), Opts(Opts) {}

std::shared_ptr<LineStream> LineStream::accepted(Tcp::socket S, Options Opts) {
  auto Stream = std::make_shared<LineStream>(std::move(S), Opts);
  Stream->configureSocket();
  return Stream;
}

std::shared_ptr<LineStream> LineStream::unconnected(asio::io_context &Loop,
                                                    Options Opts) {
  return std::make_shared<LineStream>(Tcp::socket(Loop), Opts);
}

void LineStream::configureSocket() {
  // A failure to set an option is ignored; a broken socket fails on first use.
  SystemError Ignored;
  Socket.set_option(Tcp::no_delay(true), Ignored);
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  Socket.non_blocking(true, Ignored);
  int Timeout = static_cast<int>(Opts.PeerTimeout.count());
  // Seconds before the first keep-alive probe and between two of them. The idle
  // time and the probes together take about PeerTimeout, which is in
  // milliseconds.
  int ProbeInterval = std::max(1, Timeout / 3000);
  int Probes = 2;
  int Handle = Socket.native_handle();
  setsockopt(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &Timeout, sizeof Timeout);
  setsockopt(Handle, IPPROTO_TCP, TCP_KEEPIDLE, &ProbeInterval,
             sizeof ProbeInterval);
  setsockopt(Handle, IPPROTO_TCP, TCP_KEEPINTVL, &ProbeInterval,
             sizeof ProbeInterval);
  setsockopt(Handle, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof Probes);
}

void LineStream::connect(const std::string &Address,
                         std::function<void(bool)> Done) {
  SystemError Code;
  std::size_t Colon = Address.rfind(':');
  auto Ip = asio::ip::make_address(Address.substr(0, Colon), Code);
  int Port =
      Colon == std::string::npos ? 0 : std::atoi(Address.c_str() + Colon + 1);
  if (Code || Port <= 0 || Port > 65535) {
    asio::post(Socket.get_executor(), [Done] { Done(false); });
    return;
  }
  Socket.open(Ip.is_v4() ? Tcp::v4() : Tcp::v6(), Code);
  if (Code) {
    asio::post(Socket.get_executor(), [Done] { Done(false); });
    return;
  }
  configureSocket();
  Connecting = true;
  Socket.async_connect(
      Tcp::endpoint(Ip, static_cast<std::uint16_t>(Port)),
      [Self = shared_from_this(), Done](const SystemError &Result) {
        if (!Self->Open)
          return;
        Self->Connecting = false;
        if (Result)
          Self->Open = false;
        else if (!Self->Out.empty())
          Self->scheduleFlush();
        Done(!Result);
      });
}

void LineStream::start() {
  Buffer.resize(ReadBytes);
  readMore();
}

void LineStream::readMore() {
  if (!Open)
    return;
  if (Out.size() > Opts.MaxPendingBytes) {
    ReadPaused = true;
    return;
  }
  ReadPaused = false;
  Socket.async_read_some(
      asio::buffer(Buffer),
      [Self = shared_from_this()](const SystemError &Code, std::size_t Count) {
        if (!Self->Open)
          return;
        if (Code)
          return Self->fail(Code == asio::error::eof ? End::PeerClosed
                                                     : End::Failed);
        Self->processBytes(Count);
        Self->readMore();
      });
}

bool LineStream::dispatchLines(std::string_view Text, std::size_t &Used) {
  Used = 0;
  while (Open && !Closing) {
    std::size_t End = Text.find(internal::LineEnd, Used);
    if (End == std::string_view::npos)
      return true;
    std::string_view Line = Text.substr(Used, End - Used);
    Used = End + internal::LineEnd.size();
    if (Line.size() > Opts.MaxLineBytes)
      return false;
    if (LineHook)
      LineHook(Line);
  }
  return true;
}

void LineStream::processBytes(std::size_t Count) {
  Received += Count;
  if (Closing)
    return;
  std::string_view Text(Buffer.data(), Count);
  std::string CompleteText;
  if (!Partial.empty()) {
    // Complete lines are copied only if the first of them spans several reads.
    bool HasLineEnd = internal::completesLine(Partial, Text);
    Partial.append(Text);
    if (!HasLineEnd) {
      if (Partial.size() > Opts.MaxLineBytes + 1)
        fail(End::LineTooLong);
      return;
    }
    CompleteText.swap(Partial);
    Text = CompleteText;
  }
  std::size_t Used = 0;
  if (!dispatchLines(Text, Used))
    return fail(End::LineTooLong);
  if (!Open)
    return;
  Partial.assign(Text.substr(Used));
  PartialSince = Partial.empty() ? TimePoint() : BootClock::now();
  if (Partial.size() > Opts.MaxLineBytes + 1)
    fail(End::LineTooLong);
}

void LineStream::send(std::string_view Bytes) {
  if (!Open || Closing)
    return;
  Out.append(Bytes);
  scheduleFlush();
}

void LineStream::scheduleFlush() {
  if (FlushScheduled || WaitingWritable || Connecting)
    return;
  FlushScheduled = true;
  asio::post(Socket.get_executor(), [Self = shared_from_this()] {
    Self->FlushScheduled = false;
    Self->flush();
  });
}

void LineStream::flush() {
  if (!Open)
    return;
  if (!Out.empty()) {
    SystemError Code;
    std::size_t Sent = Socket.write_some(asio::buffer(Out), Code);
    Out.erase(0, Sent);
    if (Code && Code != asio::error::would_block)
      return fail(End::Failed);
  }
  if (!Out.empty())
    return waitWritable();
  if (Closing)
    return waitForPeerClose();
  if (ReadPaused)
    readMore();
}

void LineStream::waitWritable() {
  WaitingWritable = true;
  Socket.async_wait(Tcp::socket::wait_write,
                    [Self = shared_from_this()](const SystemError &Code) {
                      Self->WaitingWritable = false;
                      if (!Code)
                        Self->flush();
                    });
}

bool LineStream::hasUnread() const {
  SystemError Code;
  return !Partial.empty() || Socket.available(Code) > 0;
}

void LineStream::closeAfterSending() {
  if (!Open || Closing)
    return;
  Closing = true;
  scheduleFlush();
}

void LineStream::waitForPeerClose() {
  if (LingerTimer)
    return;
  SystemError Code;
  Socket.shutdown(Tcp::socket::shutdown_send, Code);
  if (Code)
    return close();
  LingerTimer = std::make_unique<asio::steady_timer>(Socket.get_executor(),
                                                     Opts.LingerTimeout);
  LingerTimer->async_wait(
      [Self = shared_from_this()](const SystemError &) { Self->close(); });
  if (ReadPaused)
    readMore();
}

void LineStream::close() {
  if (!Open)
    return;
  Open = false;
  if (LingerTimer)
    LingerTimer->cancel();
  // The connection is over whether or not these calls succeed.
  SystemError Ignored;
  Socket.shutdown(Tcp::socket::shutdown_both, Ignored);
  Socket.close(Ignored);
  // A hook may own the object that called this function, so the hooks are
  // released only after the current handler has returned.
  asio::post(Socket.get_executor(), [Self = shared_from_this()] {
    Self->LineHook = nullptr;
    Self->EndHook = nullptr;
  });
}

void LineStream::fail(End Reason) {
  if (!Open)
    return;
  std::function<void(End)> Hook = EndHook;
  close();
  if (Hook)
    Hook(Reason);
}

} // namespace cicadawind
