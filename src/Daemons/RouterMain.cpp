// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Daemons/DaemonStart.h"
#include "Router/RouterService.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

using namespace cicadawind;

static RouterService::Options serviceOptions(const DaemonRuntime &Runtime) {
  const DaemonSettings &Settings = Runtime.settings();
  RouterService::Options Opts;
  Opts.SessionKeys = Settings.SessionKeys;
  Opts.PeerKey = Settings.PeerKey;
  Opts.Reads.FailureDomain = Settings.FailureDomain;
  Opts.Reads.Region = Settings.Region;
  Opts.Random = Runtime.random();
  return Opts;
}

static bool isCallerPath(const HttpRequest &Request) {
  return Request.Method == "POST" &&
         (Request.Path == "/v1/statement" || Request.Path == "/v1/begin" ||
          Request.Path == "/v1/commit" || Request.Path == "/v1/rollback");
}

static boost::asio::awaitable<HttpResponse> serveCaller(DaemonRuntime &Runtime,
                                                        RouterService &Service,
                                                        HttpRequest Request) {
  if (isCallerPath(Request))
    co_return co_await Service.serve(std::move(Request));
  if (Request.Path == "/readyz")
    co_return Runtime.readiness();
  HttpResponse Response;
  Response.Status = 404;
  Response.Body = R"({"verdict":"not_run","error":{"code":"not_found",)"
                  R"("message":"no such path; see docs/API.md"}})";
  co_return Response;
}

static void serve(DaemonRuntime &Runtime) {
  RouterService Service(serviceOptions(Runtime), Runtime.http(),
                        Runtime.peers().history(), Runtime.peers().members(),
                        Runtime.metrics());
  const DaemonSettings &Settings = Runtime.settings();
  HttpServer::Options ServerOpts;
  ServerOpts.Address = Settings.Address;
  ServerOpts.Port = Settings.CallerPort;
  ServerOpts.MaxBodyBytes = Settings.MaxBodyBytes;
  ServerOpts.MaxConnectionsPerPeer = Settings.MaxConnectionsPerCaller;
  HttpServer Callers(Runtime.loop(), ServerOpts, [&](HttpRequest Request) {
    return serveCaller(Runtime, Service, std::move(Request));
  });
  Runtime.setStatusHook([&Service] {
    return nlohmann::json{{"in_flight", Service.inFlight()}};
  });
  Runtime.setDrainHooks([&Service] { Service.refuseNewWork(); },
                        [&Service] { return Service.inFlight() == 0; },
                        [](TimePoint) {});
  Runtime.run();
}

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("Serves callers: sessions, routing, retries.\n"
                          "Usage: cicadawind-router --settings=FILE");
  return startDaemon(Argc, Argv, DaemonRole::Router, serve);
}
