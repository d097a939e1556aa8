// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Daemons/DaemonStart.h"
#include "Observability/Span.h"
#include "Pooler/PoolerService.h"
#include "Targets/HttpDatabaseGroup.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

using namespace cicadawind;

static boost::asio::awaitable<std::optional<HttpResponse>>
serveRouter(DaemonRuntime &Runtime, PoolerService &Service,
            HttpRequest Request) {
  if (Request.Path != "/v1/execute")
    co_return std::nullopt;
  HttpResponse Response;
  ExecuteResponse PoolerResponse;
  if (!Runtime.hasPeerKey(Request)) {
    Response.Status = httpStatus(ErrorCode::Unauthorized);
    PoolerResponse.Failure =
        Error{.Code = ErrorCode::Unauthorized,
              .Message = "the peer key is missing or wrong"};
    Response.Body = encode(PoolerResponse);
    co_return Response;
  }
  Result<ExecuteRequest> Call = decodeExecuteRequest(Request.Body);
  if (const Error *E = errorOf(Call)) {
    Response.Status = httpStatus(E->Code);
    PoolerResponse.Failure = *E;
    Response.Body = encode(PoolerResponse);
    co_return Response;
  }
  TraceContext Context =
      TraceContext::fromHeader(Request.header("traceparent"), Runtime.random());
  Span RequestSpan("pooler execute", Context);
  RequestSpan.setAttribute("target", valueOf(Call).Target);
  PoolerResponse = co_await Service.serve(std::move(valueOf(Call)));
  Response.Body = encode(PoolerResponse);
  co_return Response;
}

static void serve(DaemonRuntime &Runtime) {
  HttpDatabaseGroup Group(Runtime.loop(), Runtime.http());
  PoolerService::Options Opts;
  Opts.Targets.Vm = Runtime.settings().Vm;
  Opts.Targets.FailureDomain = Runtime.settings().FailureDomain;
  Opts.Targets.Region = Runtime.settings().Region;
  Opts.Targets.Charts = Runtime.charts();
  Opts.Targets.Random = Runtime.random();
  Opts.Targets.SuspectAfter = Runtime.settings().SuspectAfter;
  PoolerService Service(Runtime.loop(), Opts, Runtime.peers(), Group,
                        Runtime.platform(), Runtime.metrics());
  Runtime.setPeerHandler([&](HttpRequest Request) {
    return serveRouter(Runtime, Service, std::move(Request));
  });
  Runtime.setStatusHook([&Service] { return Service.status(); });
  auto IsIdle = [&Service] {
    return Service.inFlight() == 0 && Service.openTransactions() == 0;
  };
  Runtime.setDrainHooks([] {}, IsIdle,
                        [&Service](TimePoint Limit) { Service.drain(Limit); });
  Service.start();
  Runtime.run();
}

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("Owns targets: connections, slots, terms.\n"
                          "Usage: cicadawind-pooler --settings=FILE");
  return startDaemon(Argc, Argv, DaemonRole::Pooler, serve);
}
