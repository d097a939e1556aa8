#ifndef CICADAWIND_ROUTER_ROUTERSERVICE_H
#define CICADAWIND_ROUTER_ROUTERSERVICE_H

#include "Core/Random.h"
#include "Http/HttpMessage.h"
#include "Observability/TraceContext.h"
#include "Retries/RetryBudget.h"
#include "Retries/RetryPolicy.h"
#include "Router/CallerRequest.h"
#include "Router/PoolerCaller.h"
#include "Router/RoutingCache.h"
#include "Routing/ReadRouter.h"
#include "Sessions/TokenCodec.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace cicadawind {

class ConfigHistory;
class MemberTable;
class Metrics;

/// \class RouterService
/// \brief Serves callers' requests: decodes sessions, routes statements, and
/// applies deadlines and retries.
///
/// Keeps no state of a session or transaction between requests. Both are stored
/// in signed tokens that the caller sends, so that any router can continue
/// them. Invariant: data and successful writes are returned only on the basis
/// of a pooler's response that arrived within its lease or, for a replica's
/// data, within the accepted age. A pause of this process during the call
/// counts. Runs on the loop's thread.
class RouterService {
public:
  struct Options {
    std::vector<std::string> SessionKeys;
    std::string PeerKey;
    ReadRouter::Options Reads;
    RetryPolicy::Options Retries;
    RetryBudget::Options Budget;
    RandomSource Random;
    /// A replica on which a read failed is not chosen for reads again for this
    /// long. Also the wait after a failed attempt to confirm a write again.
    Duration RefusalBackoff = std::chrono::milliseconds(50);
  };

  RouterService(Options Opts, HttpClient &Http, ConfigHistory &History,
                MemberTable &Members, Metrics &Meter);

  /// Serves one call of the callers' interface.
  boost::asio::awaitable<HttpResponse> serve(HttpRequest Request);

  std::size_t inFlight() const { return RequestsInFlight; }
  /// Refuses all requests outside open transactions from now on.
  void refuseNewWork() { RefusesNewWork = true; }

private:
  /// The state of one request while the router serves it.
  struct RequestContext {
    CallerRequest Request;
    SessionState Session;
    /// Whether the session token was decoded. An error response before that
    /// contains no session token.
    bool SessionKnown = false;
    TimePoint Deadline;
    std::string Traceparent;
  };

  boost::asio::awaitable<HttpResponse> route(std::string Path,
                                             RequestContext &Context);
  boost::asio::awaitable<HttpResponse> statement(RequestContext &Context);
  boost::asio::awaitable<HttpResponse> begin(RequestContext &Context);
  boost::asio::awaitable<HttpResponse>
  runInTransaction(std::string Path, RequestContext &Context);
  boost::asio::awaitable<PoolerCaller::CallResult>
  withRetries(RequestContext &Context, ExecuteRequest Request,
              Repeatability Repeat, std::string &ServedBy);
  boost::asio::awaitable<PoolerCaller::CallResult>
  tryTargets(RequestContext &Context, const ExecuteRequest &Request,
             Repeatability Repeat, std::string &ServedBy);
  boost::asio::awaitable<void>
  reconfirmWrite(RequestContext &Context, std::string Database,
                 std::string Target, PoolerCaller::CallResult &PoolerResult);
  boost::asio::awaitable<void>
  checkFreshness(RequestContext &Context, const ExecuteRequest &Request,
                 std::string Target, PoolerCaller::CallResult &PoolerResult);
  std::vector<std::string> targetsFor(const ExecuteRequest &Request,
                                      const DatabaseConfig &Database);
  Duration attemptTimeout(const RequestContext &Context,
                          Repeatability Repeat) const;
  ReadConstraints constraintsOf(const RequestContext &Context,
                                const DatabaseConfig &Database) const;
  HttpResponse success(const RequestContext &Context,
                       const ExecuteResponse &Executed,
                       const std::string &ServedBy,
                       const std::string &TransactionToken) const;
  HttpResponse failure(const RequestContext &Context, const Error &E) const;

  Options Opts;
  ConfigHistory &History;
  MemberTable &Members;
  Metrics &Meter;
  TokenCodec Tokens;
  RoutingCache Cache;
  ReadRouter Reads;
  RetryBudget Budget;
  RetryPolicy Retries;
  PoolerCaller Poolers;
  std::size_t RequestsInFlight = 0;
  bool RefusesNewWork = false;
};

} // namespace cicadawind

#endif
