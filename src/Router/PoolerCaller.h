#ifndef CICADAWIND_ROUTER_POOLERCALLER_H
#define CICADAWIND_ROUTER_POOLERCALLER_H

#include "Core/Clock.h"
#include "Observability/TraceContext.h"
#include "ReleaseNotes/ServiceConfig.h"
#include "Wire/ExecuteRequest.h"
#include "Wire/ExecuteResponse.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace cicadawind {

class HttpClient;
class MemberTable;

/// \class PoolerCaller
/// \brief Sends requests to the pooler that owns a target.
///
/// Tries the next owner only if the request cannot have been sent to the one
/// before, so that no statement runs twice.
class PoolerCaller {
public:
  PoolerCaller(HttpClient &Http, MemberTable &Members, std::string PeerKey);

  /// A pooler's response and how it was received.
  struct CallResult {
    ExecuteResponse Response;
    /// Duration of the call minus the pooler's processing time.
    Millis NetworkTime = Millis::zero();
    /// Peer address of the pooler that was called.
    std::string Pooler;
  };

  /// Calls the owner of \p Target and waits up to \p Timeout. If all attempts
  /// fail, the Failure of the response is that of the last one.
  boost::asio::awaitable<CallResult> callOwner(const TargetConfig &Target,
                                               ExecuteRequest Request,
                                               Duration Timeout,
                                               std::string Traceparent);

  /// Calls the pooler at \p Address, without trying another one.
  boost::asio::awaitable<CallResult> callAt(std::string Address,
                                            ExecuteRequest Request,
                                            Duration Timeout,
                                            std::string Traceparent);

private:
  /// How far a call got. The response's error code does not tell, because a
  /// pooler reports its target's lost connection with the same code.
  enum class Delivery {
    /// The request cannot have reached the pooler.
    NotSent,
    /// The request may have reached the pooler, which did not respond.
    Unanswered,
    Answered,
  };

  boost::asio::awaitable<CallResult>
  send(std::string Address, ExecuteRequest Request, Duration Timeout,
       std::string Traceparent, Delivery &Delivered);

  HttpClient &Http;
  MemberTable &Members;
  std::string PeerKey;
};

} // namespace cicadawind

#endif
