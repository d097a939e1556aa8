// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Router/RouterService.h"

#include "Async/AsyncSignal.h"
#include "Http/HttpClient.h"
#include "Observability/Metrics.h"
#include "Observability/Span.h"
#include "ReleaseNotes/ConfigHistory.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cicadawind {
namespace internal {

/// Smallest timeout of an attempt that may be repeated, unless less time is
/// left before the deadline.
constexpr Duration MinAttemptTimeout = std::chrono::seconds(1);

} // namespace internal

RouterService::RouterService(Options NewOpts, HttpClient &Http,
                             ConfigHistory &History, MemberTable &Members,
                             Metrics &Meter)
    : Opts(std::move(NewOpts)), History(History), Members(Members),
      Meter(Meter), Tokens(Opts.SessionKeys), Reads(Opts.Reads, Opts.Random),
      Budget(Opts.Budget), Retries(Opts.Retries, Budget, Opts.Random),
      Poolers(Http, Members, Opts.PeerKey) {}

boost::asio::awaitable<HttpResponse> RouterService::serve(HttpRequest In) {
  TraceContext Trace =
      TraceContext::fromHeader(In.header("traceparent"), Opts.Random);
  Span RequestSpan("router " + In.Path, Trace);
  RequestContext Context;
  Context.Traceparent = Trace.traceparent();
  Result<CallerRequest> Parsed = CallerRequest::parse(In.Path, In.Body);
  if (const Error *E = errorOf(Parsed)) {
    Context.Request.RequestId = CallerRequest::requestIdOf(In.Body);
    if (Context.Request.RequestId.empty())
      Context.Request.RequestId = Trace.TraceId;
    co_return failure(Context, *E);
  }
  Context.Request = std::move(valueOf(Parsed));
  std::string Caller = In.header("x-caller");
  Context.Request.Caller = Caller.empty() ? In.Peer : Caller;
  if (Context.Request.RequestId.empty())
    Context.Request.RequestId = Trace.TraceId;
  Result<SessionState> Session = Tokens.decode(Context.Request.Session);
  if (const Error *E = errorOf(Session))
    co_return failure(Context, *E);
  Context.Session = std::move(valueOf(Session));
  Context.SessionKnown = true;
  TimePoint Start = BootClock::now();
  Duration Timeout =
      std::min(Context.Request.Deadline, History.config().Limits.MaxDeadline);
  Context.Deadline = Start + Timeout;
  ++RequestsInFlight;
  HttpResponse Response = co_await route(In.Path, Context);
  --RequestsInFlight;
  Meter.observe("caller_request_seconds", BootClock::now() - Start,
                {{"path", In.Path}});
  Meter.count("caller_requests_total",
              {{"path", In.Path}, {"status", std::to_string(Response.Status)}});
  RequestSpan.setAttribute("status", std::to_string(Response.Status));
  co_return Response;
}

boost::asio::awaitable<HttpResponse>
RouterService::route(std::string Path, RequestContext &Context) {
  if (History.number() == 0)
    co_return failure(Context,
                      Error{.Code = ErrorCode::NoReleaseNote,
                            .Message = "no release note is in force here yet",
                            .RetryAfter = Millis(500)});
  bool InTransaction = !Context.Request.Transaction.empty();
  if (RefusesNewWork && !InTransaction)
    co_return failure(Context, Error{.Code = ErrorCode::Leaving,
                                     .Message = "this VM is leaving",
                                     .RetryAfter = Millis(10)});
  if (Path == "/v1/begin")
    co_return co_await begin(Context);
  if (Path == "/v1/statement" && !InTransaction)
    co_return co_await statement(Context);
  co_return co_await runInTransaction(std::move(Path), Context);
}

ReadConstraints
RouterService::constraintsOf(const RequestContext &Context,
                             const DatabaseConfig &Database) const {
  SessionPosition Entry = Context.Session.position(Database.Name);
  return ReadConstraints{
      .AcceptedAge =
          std::min(Context.Request.AcceptedAge, Database.StalenessAllowance),
      .MinPosition = Entry.MinPosition,
      .OutcomeUnknown = Entry.OutcomeUnknown || Context.Request.ResponseLost};
}

boost::asio::awaitable<HttpResponse>
RouterService::statement(RequestContext &Context) {
  const CallerRequest &Call = Context.Request;
  auto Found = History.config().Databases.find(Call.Database);
  if (Found == History.config().Databases.end())
    co_return failure(
        Context,
        Error{.Code = ErrorCode::UnknownDatabase,
              .Message = "no database '" + Call.Database + "' is in force"});
  if (!Context.Session.hasRoomFor(Call.Database))
    co_return failure(Context, Error{.Code = ErrorCode::BadRequest,
                                     .Message = "the session spans too many "
                                                "databases"});
  ExecuteRequest Request;
  Request.Id = Call.RequestId;
  Request.Database = Call.Database;
  Request.Statement = Call.Statement;
  Request.Kind = Call.Kind;
  Request.IdempotencyKey = Call.IdempotencyKey;
  Request.Caller = Call.Caller;
  Request.Constraints = constraintsOf(Context, Found->second);
  // The message to the pooler does not contain OutcomeUnknown. An accepted age
  // of zero requires the primary in its place.
  if (Request.Constraints.OutcomeUnknown)
    Request.Constraints.AcceptedAge = Millis::zero();
  bool Write = Call.Kind == StatementKind::Write;
  if (Write)
    Request.Constraints.AcceptedAge = Millis::zero();
  Budget.deposit();
  std::string ServedBy;
  PoolerCaller::CallResult PoolerResult = co_await withRetries(
      Context, std::move(Request), Call.repeatability(), ServedBy);
  std::uint64_t KeyHash = hashKey(Call.IdempotencyKey);
  if (Call.ResponseLost)
    Context.Session.markOutcomeUnknown(Call.Database, 0);
  if (const auto &Failure = PoolerResult.Response.Failure) {
    if (Write && Failure->Outcome != Verdict::NotRun)
      Context.Session.markOutcomeUnknown(Call.Database, KeyHash);
    co_return failure(Context, *Failure);
  }
  if (Write) {
    Context.Session.observe(Call.Database, PoolerResult.Response.Position);
    Context.Session.resolveUnknown(Call.Database, KeyHash);
  } else {
    Meter.count(
        "reads_total",
        {{"role", PoolerResult.Response.FromPrimary ? "primary" : "replica"}});
  }
  co_return success(Context, PoolerResult.Response, ServedBy, std::string());
}

std::vector<std::string>
RouterService::targetsFor(const ExecuteRequest &Request,
                          const DatabaseConfig &Database) {
  PrimaryHint Hint = Cache.hintOf(Database.Name);
  std::vector<std::string> Plan;
  bool NeedsPrimary = Request.Kind == StatementKind::Write ||
                      Request.Constraints.needsPrimary();
  if (NeedsPrimary && !Hint.Primary.empty())
    Plan.push_back(Hint.Primary);
  if (!NeedsPrimary)
    Plan = Reads.plan(Request.Constraints, Cache.instances(Database),
                      Hint.Primary, BootClock::now());
  if (!Plan.empty() || Database.Targets.empty())
    return Plan;
  // The primary is not known. The pooler of any target returns it as a hint.
  auto It = Database.Targets.begin();
  std::advance(
      It, static_cast<std::ptrdiff_t>(Opts.Random() % Database.Targets.size()));
  Plan.push_back(It->first);
  return Plan;
}

Duration RouterService::attemptTimeout(const RequestContext &Context,
                                       Repeatability Repeat) const {
  Duration Left = Context.Deadline - BootClock::now();
  if (Repeat == Repeatability::Once)
    return Left;
  return std::min(Left, std::max(Left / 2, internal::MinAttemptTimeout));
}

boost::asio::awaitable<PoolerCaller::CallResult>
RouterService::tryTargets(RequestContext &Context,
                          const ExecuteRequest &Request, Repeatability Repeat,
                          std::string &ServedBy) {
  PoolerCaller::CallResult Last;
  Last.Response.Failure = Error{.Code = ErrorCode::UnknownDatabase,
                                .Message = "the database has no targets"};
  auto Found = History.config().Databases.find(Request.Database);
  if (Found == History.config().Databases.end())
    co_return Last;
  DatabaseConfig Database = Found->second;
  for (const std::string &Name : targetsFor(Request, Database)) {
    auto Target = Database.Targets.find(Name);
    if (Target == Database.Targets.end())
      continue;
    ExecuteRequest Attempt = Request;
    Attempt.Target = Name;
    Attempt.KnownTerm = Cache.hintOf(Request.Database).CurrentTerm;
    Duration Timeout = attemptTimeout(Context, Repeat);
    if (Timeout <= Duration::zero())
      break;
    Last = co_await Poolers.callOwner(Target->second, std::move(Attempt),
                                      Timeout, Context.Traceparent);
    Cache.recordResponse(Request.Database, Name, Last.Response,
                         BootClock::now());
    co_await checkFreshness(Context, Request, Name, Last);
    ServedBy = Name;
    if (!Last.Response.Failure)
      co_return Last;
    const Error &E = *Last.Response.Failure;
    bool Permitted =
        E.Outcome == Verdict::NotRun || Repeat == Repeatability::Repeatable;
    if (!Permitted || E.Code == ErrorCode::PositionLost)
      co_return Last;
    // If a replica is overloaded or lags, the next target may serve the read.
    bool NextMayServe = isTransient(E.Code) || E.Code == ErrorCode::Overloaded;
    if (!NextMayServe)
      co_return Last;
    if (Request.Kind == StatementKind::Read)
      Cache.avoid(Request.Database, Name,
                  BootClock::now() + Opts.RefusalBackoff);
  }
  co_return Last;
}

boost::asio::awaitable<PoolerCaller::CallResult>
RouterService::withRetries(RequestContext &Context, ExecuteRequest Request,
                           Repeatability Repeat, std::string &ServedBy) {
  for (unsigned Attempt = 1;; ++Attempt) {
    PoolerCaller::CallResult PoolerResult =
        co_await tryTargets(Context, Request, Repeat, ServedBy);
    if (!PoolerResult.Response.Failure)
      co_return PoolerResult;
    std::optional<Duration> Delay =
        Retries.next(Repeat, *PoolerResult.Response.Failure, Attempt,
                     BootClock::now(), Context.Deadline);
    if (!Delay)
      co_return PoolerResult;
    Meter.count(
        "retries_total",
        {{"code", std::string(toString(PoolerResult.Response.Failure->Code))}});
    co_await sleepFor(*Delay);
  }
}

boost::asio::awaitable<void>
RouterService::checkFreshness(RequestContext &Context,
                              const ExecuteRequest &Request, std::string Target,
                              PoolerCaller::CallResult &PoolerResult) {
  const ExecuteResponse &Response = PoolerResult.Response;
  if (Response.Failure)
    co_return;
  Millis Age = Response.FreshnessAge + PoolerResult.NetworkTime;
  if (!Response.FromPrimary) {
    if (Age > Request.Constraints.AcceptedAge)
      PoolerResult.Response.Failure =
          Error{.Code = ErrorCode::ReplicaBehind,
                .Outcome = Verdict::MayHaveRun,
                .Message = "the answer aged beyond what the read accepts"};
    co_return;
  }
  if (Age < Response.LeaseLength)
    co_return;
  if (Request.Kind == StatementKind::Read) {
    PoolerResult.Response.Failure =
        Error{.Code = ErrorCode::LeaseLost,
              .Outcome = Verdict::MayHaveRun,
              .Message = "the answer arrived too late to be "
                         "known as current"};
    co_return;
  }
  co_await reconfirmWrite(Context, Request.Database, std::move(Target),
                          PoolerResult);
}

boost::asio::awaitable<void>
RouterService::reconfirmWrite(RequestContext &Context, std::string Database,
                              std::string Target,
                              PoolerCaller::CallResult &PoolerResult) {
  Meter.count("reconfirmations_total");
  Error LastError{.Code = ErrorCode::NotConfirmed,
                  .Outcome = Verdict::MayHaveRun,
                  .Message =
                      "the write's answer arrived too late to be known as "
                      "kept"};
  while (BootClock::now() < Context.Deadline) {
    auto Found = History.config().Databases.find(Database);
    if (Found == History.config().Databases.end())
      break;
    PrimaryHint Hint = Cache.hintOf(Database);
    std::string Name = Hint.Primary.empty() ? Target : Hint.Primary;
    auto TargetIt = Found->second.Targets.find(Name);
    if (TargetIt == Found->second.Targets.end())
      break;
    ExecuteRequest ConfirmRequest;
    ConfirmRequest.Action = ExecuteAction::Confirm;
    ConfirmRequest.Id = Context.Request.RequestId;
    ConfirmRequest.Database = Database;
    ConfirmRequest.Target = Name;
    ConfirmRequest.Caller = Context.Request.Caller;
    ConfirmRequest.Constraints.MinPosition = PoolerResult.Response.Position;
    TargetConfig Config = TargetIt->second;
    PoolerCaller::CallResult Confirmation = co_await Poolers.callOwner(
        Config, std::move(ConfirmRequest), Context.Deadline - BootClock::now(),
        Context.Traceparent);
    Cache.recordResponse(Database, Name, Confirmation.Response,
                         BootClock::now());
    if (!Confirmation.Response.Failure) {
      Millis Age =
          Confirmation.Response.FreshnessAge + Confirmation.NetworkTime;
      if (Age < Confirmation.Response.LeaseLength)
        co_return;
      continue;
    }
    LastError = *Confirmation.Response.Failure;
    LastError.Outcome = Verdict::MayHaveRun;
    if (LastError.Code == ErrorCode::PositionLost)
      break;
    co_await sleepFor(Opts.RefusalBackoff);
  }
  PoolerResult.Response.Failure = LastError;
}

HttpResponse RouterService::success(const RequestContext &Context,
                                    const ExecuteResponse &Executed,
                                    const std::string &ServedBy,
                                    const std::string &Token) const {
  nlohmann::ordered_json Json;
  Json["request_id"] = Context.Request.RequestId;
  Json["verdict"] = toString(Verdict::Ran);
  Json["session"] = Tokens.encode(Context.Session);
  if (!Token.empty())
    Json["transaction"] = Token;
  if (Executed.EndsIn)
    Json["transaction_ends_in_ms"] = Executed.EndsIn->count();
  Json["served_by"] = ServedBy;
  Json["role"] = Executed.FromPrimary ? "primary" : "replica";
  if (!Executed.FromPrimary)
    Json["age_ms"] = Executed.FreshnessAge.count();
  std::string Text = Json.dump();
  Text.pop_back();
  HttpResponse Response;
  Response.Body = Text + ",\"rows\":" + Executed.Rows + "}";
  return Response;
}

HttpResponse RouterService::failure(const RequestContext &Context,
                                    const Error &E) const {
  nlohmann::ordered_json Json;
  Json["request_id"] = Context.Request.RequestId;
  Json["verdict"] = toString(E.Outcome);
  // If the caller's session could not be decoded, a new token would lose the
  // positions of the caller's writes.
  if (Context.SessionKnown)
    Json["session"] = Tokens.encode(Context.Session);
  nlohmann::ordered_json Detail{{"code", toString(E.Code)},
                                {"message", E.Message}};
  if (E.RetryAfter)
    Detail["retry_after_ms"] = E.RetryAfter->count();
  Json["error"] = Detail;
  HttpResponse Response;
  Response.Status = httpStatus(E.Code);
  Response.Body = Json.dump(-1, ' ', false,
                            nlohmann::ordered_json::error_handler_t::replace);
  if (E.RetryAfter) {
    auto Seconds = std::chrono::ceil<std::chrono::seconds>(*E.RetryAfter);
    Response.Headers["Retry-After"] = std::to_string(Seconds.count());
  }
  return Response;
}

} // namespace cicadawind
