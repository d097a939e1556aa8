// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Http/HttpClient.h"

#include "Http/HttpConnection.h"

#include <algorithm>

namespace cicadawind {

HttpClient::HttpClient(boost::asio::io_context &Loop, Options Opts)
    : Loop(Loop), Opts(Opts) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpConnection>
HttpClient::acquireIdle(const std::string &Address) {
  auto It = Idle.find(Address);
  if (It == Idle.end())
    return nullptr;
  TimePoint Now = BootClock::now();
  std::unique_ptr<HttpConnection> Found;
  while (!It->second.empty() && !Found) {
    IdleConnection Last = std::move(It->second.back());
    It->second.pop_back();
    bool IsFresh = Now - Last.Since < Opts.IdleTimeout;
    if (IsFresh && Last.Link->isOpen())
      Found = std::move(Last.Link);
  }
  while (!It->second.empty() &&
         Now - It->second.front().Since >= Opts.IdleTimeout)
    It->second.pop_front();
  if (It->second.empty())
    Idle.erase(It);
  return Found;
}

void HttpClient::releaseIdle(std::unique_ptr<HttpConnection> Link) {
  if (!Link->isOpen())
    return;
  std::deque<IdleConnection> &Queue = Idle[Link->address()];
  if (Queue.size() >= Opts.MaxIdlePerPeer)
    Queue.pop_front();
  Queue.push_back(
      IdleConnection{.Link = std::move(Link), .Since = BootClock::now()});
}

boost::asio::awaitable<HttpResult> HttpClient::call(std::string Address,
                                                    HttpRequest Request,
                                                    Duration Timeout,
                                                    ConnectionUse Use) {
  TimePoint Start = BootClock::now();
  bool MayKeep = Use == ConnectionUse::Kept;
  std::unique_ptr<HttpConnection> Link =
      MayKeep ? acquireIdle(Address) : nullptr;
  bool IsKept = Link != nullptr;
  if (!IsKept) {
    Link = std::make_unique<HttpConnection>(Loop, Address);
    Duration ConnectTimeout = std::min(Opts.ConnectTimeout, Timeout);
    bool Connected = co_await Link->connect(ConnectTimeout);
    if (!Connected)
      co_return HttpFailure{.Message = "cannot connect to " + Address};
  }
  Duration Remaining = Timeout - (BootClock::now() - Start);
  if (Remaining <= Duration::zero())
    co_return HttpFailure{.TimedOut = true,
                          .Message = "no time left to call " + Address};
  HttpResult Result = co_await Link->call(std::move(Request), Remaining);
  if (std::holds_alternative<HttpResponse>(Result)) {
    Bytes += Link->lastCallBytes();
    if (MayKeep)
      releaseIdle(std::move(Link));
    co_return Result;
  }
  auto &Failure = std::get<HttpFailure>(Result);
  Failure.OnKeptConnection = IsKept;
  // What made this connection silent may have done the same to the others.
  if (Failure.TimedOut)
    Idle.erase(Address);
  co_return Result;
}

} // namespace cicadawind
