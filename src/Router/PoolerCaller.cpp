// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Router/PoolerCaller.h"

#include "Http/HttpClient.h"
#include "Membership/MemberTable.h"

#include <algorithm>
#include <vector>

namespace cicadawind {
namespace internal {

constexpr std::size_t MaxOwnersTried = 3;
/// The pooler's deadline is this much earlier than the router's, but at most
/// half of the timeout, so that its response can arrive in time.
constexpr Duration ReturnTripTime = std::chrono::milliseconds(5);

static Error callError(const HttpFailure &Failure) {
  Error E;
  E.Code = Failure.MayHaveBeenSent ? ErrorCode::ConnectionLost
                                   : ErrorCode::Unreachable;
  E.Outcome = Failure.MayHaveBeenSent ? Verdict::MayHaveRun : Verdict::NotRun;
  E.Message = "pooler " + Failure.Message;
  return E;
}

} // namespace internal

PoolerCaller::PoolerCaller(HttpClient &Http, MemberTable &Members,
                           std::string PeerKey)
    : Http(Http), Members(Members), PeerKey(std::move(PeerKey)) {}

boost::asio::awaitable<PoolerCaller::CallResult>
PoolerCaller::send(std::string Address, ExecuteRequest Request,
                   Duration Timeout, std::string Traceparent,
                   Delivery &Delivered) {
  CallResult Out;
  Out.Pooler = Address;
  Duration ForPooler =
      std::max<Duration>(Timeout - internal::ReturnTripTime, Timeout / 2);
  Request.TimeLeft = std::max(toMillis(ForPooler), Millis(1));
  HttpRequest Call;
  Call.Path = "/v1/execute";
  Call.Headers["x-peer-key"] = PeerKey;
  Call.Headers["traceparent"] = std::move(Traceparent);
  Call.Body = encode(Request);
  TimePoint Start = BootClock::now();
  HttpResult Result =
      co_await Http.call(std::move(Address), std::move(Call), Timeout);
  Duration Took = BootClock::now() - Start;
  Delivered = Delivery::Answered;
  if (const HttpFailure *Failure = std::get_if<HttpFailure>(&Result)) {
    Out.Response.Failure = internal::callError(*Failure);
    Delivered =
        Failure->MayHaveBeenSent ? Delivery::Unanswered : Delivery::NotSent;
    co_return Out;
  }
  const HttpResponse &Response = std::get<HttpResponse>(Result);
  Out.Response = decodeExecuteResponse(Response.Body);
  // 1 ms is added because toMillis rounds down and the time must not be too
  // low.
  Out.NetworkTime = toMillis(Took) - Out.Response.ProcessingTime + Millis(1);
  co_return Out;
}

boost::asio::awaitable<PoolerCaller::CallResult>
PoolerCaller::callOwner(const TargetConfig &Target, ExecuteRequest Request,
                        Duration Timeout, std::string Traceparent) {
  TimePoint End = BootClock::now() + Timeout;
  std::vector<VmEntry> Owners = Members.ownersOf(
      Target.Name, Target.FailureDomain, Target.Region, BootClock::now());
  CallResult Last;
  Last.Response.Failure = Error{.Code = ErrorCode::Unreachable,
                                .Message = "no pooler is known that could own "
                                           "the target"};
  std::size_t Attempts = std::min(Owners.size(), internal::MaxOwnersTried);
  for (std::size_t I = 0; I < Attempts; ++I) {
    Duration Left = End - BootClock::now();
    if (Left <= Duration::zero())
      break;
    Delivery Delivered = Delivery::NotSent;
    Last = co_await send(Owners[I].PoolerPeer, Request, Left, Traceparent,
                         Delivered);
    if (Delivered != Delivery::Answered)
      Members.suspect(Owners[I].Vm, BootClock::now());
    if (Delivered != Delivery::NotSent)
      co_return Last;
  }
  co_return Last;
}

boost::asio::awaitable<PoolerCaller::CallResult>
PoolerCaller::callAt(std::string Address, ExecuteRequest Request,
                     Duration Timeout, std::string Traceparent) {
  Delivery Ignored = Delivery::NotSent;
  co_return co_await send(std::move(Address), std::move(Request), Timeout,
                          std::move(Traceparent), Ignored);
}

} // namespace cicadawind
