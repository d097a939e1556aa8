// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Router/RouterService.h"

#include "Documents/JsonParsing.h"
#include "Http/HttpClient.h"
#include "Observability/Metrics.h"
#include "ReleaseNotes/ConfigHistory.h"

#include <nlohmann/json.hpp>

namespace cicadawind {
namespace internal {

static constexpr std::string_view TransactionPurpose = "cwt1";

/// Contents of a transaction token.
struct TransactionHandle {
  std::string Pooler;
  std::string Id;
  std::string Database;
  std::string Target;
};

static std::string encodeHandle(const TransactionHandle &Handle) {
  nlohmann::json Json{Handle.Pooler, Handle.Id, Handle.Database, Handle.Target};
  return Json.dump();
}

static std::optional<TransactionHandle> decodeHandle(const std::string &Text) {
  nlohmann::json Json = tryParseJson(Text);
  if (!Json.is_array() || Json.size() != 4)
    return std::nullopt;
  return TransactionHandle{.Pooler = Json[0].get<std::string>(),
                           .Id = Json[1].get<std::string>(),
                           .Database = Json[2].get<std::string>(),
                           .Target = Json[3].get<std::string>()};
}

} // namespace internal

boost::asio::awaitable<HttpResponse>
RouterService::begin(RequestContext &Context) {
  const CallerRequest &Call = Context.Request;
  auto Found = History.config().Databases.find(Call.Database);
  if (Found == History.config().Databases.end())
    co_return failure(
        Context,
        Error{.Code = ErrorCode::UnknownDatabase,
              .Message = "no database '" + Call.Database + "' is in force"});
  ExecuteRequest Request;
  Request.Action = ExecuteAction::Begin;
  Request.Id = Call.RequestId;
  Request.Database = Call.Database;
  Request.Caller = Call.Caller;
  Request.Kind = StatementKind::Write;
  Request.Constraints.MinPosition =
      Context.Session.position(Call.Database).MinPosition;
  Budget.deposit();
  std::string ServedBy;
  PoolerCaller::CallResult PoolerResult = co_await withRetries(
      Context, std::move(Request), Repeatability::Once, ServedBy);
  if (const auto &Failure = PoolerResult.Response.Failure)
    co_return failure(Context, *Failure);
  internal::TransactionHandle Handle{.Pooler = PoolerResult.Pooler,
                                     .Id = PoolerResult.Response.Transaction,
                                     .Database = Call.Database,
                                     .Target = ServedBy};
  std::string Token =
      Tokens.seal(internal::TransactionPurpose, internal::encodeHandle(Handle));
  co_return success(Context, PoolerResult.Response, ServedBy, Token);
}

boost::asio::awaitable<HttpResponse>
RouterService::runInTransaction(std::string Path, RequestContext &Context) {
  const CallerRequest &Call = Context.Request;
  Result<std::string> Opened =
      Tokens.open(internal::TransactionPurpose, Call.Transaction);
  if (const Error *E = errorOf(Opened))
    co_return failure(Context, *E);
  auto Handle = internal::decodeHandle(valueOf(Opened));
  if (!Handle)
    co_return failure(Context, Error{.Code = ErrorCode::TokenInvalid,
                                     .Message = "the transaction token is "
                                                "malformed"});
  ExecuteRequest Request;
  Request.Action = ExecuteAction::Statement;
  if (Path == "/v1/commit")
    Request.Action = ExecuteAction::Commit;
  if (Path == "/v1/rollback")
    Request.Action = ExecuteAction::Rollback;
  Request.Id = Call.RequestId;
  Request.Database = Handle->Database;
  Request.Target = Handle->Target;
  Request.Transaction = Handle->Id;
  Request.Statement = Call.Statement;
  Request.Kind = Call.Kind;
  Request.IdempotencyKey = Call.IdempotencyKey;
  Request.Caller = Call.Caller;
  bool Commit = Request.Action == ExecuteAction::Commit;
  Duration Left = Context.Deadline - BootClock::now();
  PoolerCaller::CallResult PoolerResult = co_await Poolers.callAt(
      Handle->Pooler, Request, Left, Context.Traceparent);
  Cache.recordResponse(Handle->Database, Handle->Target, PoolerResult.Response,
                       BootClock::now());
  if (PoolerResult.Response.Failure &&
      PoolerResult.Response.Failure->Code == ErrorCode::Unreachable)
    PoolerResult.Response.Failure =
        Error{.Code = ErrorCode::TransactionEnded,
              // The request may repeat a commit that took effect.
              .Outcome = Commit ? Verdict::MayHaveRun : Verdict::NotRun,
              .Message = "the pooler that held the transaction is gone; "
                         "unless it was committed before, it is rolled "
                         "back"};
  if (Request.Action != ExecuteAction::Rollback) {
    // If the response is late, checkFreshness confirms a write again and fails
    // a read. Only a commit has a position that can be confirmed.
    Request.Kind = Commit ? StatementKind::Write : StatementKind::Read;
    co_await checkFreshness(Context, Request, Handle->Target, PoolerResult);
  }
  std::uint64_t KeyHash = hashKey(Call.IdempotencyKey);
  if (const auto &Failure = PoolerResult.Response.Failure) {
    if (Commit && Failure->Outcome != Verdict::NotRun)
      Context.Session.markOutcomeUnknown(Handle->Database, KeyHash);
    co_return failure(Context, *Failure);
  }
  if (Commit) {
    Context.Session.observe(Handle->Database, PoolerResult.Response.Position);
    Context.Session.resolveUnknown(Handle->Database, KeyHash);
  }
  co_return success(Context, PoolerResult.Response, Handle->Target,
                    Call.Transaction);
}

} // namespace cicadawind
