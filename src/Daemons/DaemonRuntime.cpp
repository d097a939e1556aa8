// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Daemons/DaemonRuntime.h"

#include "Documents/JsonParsing.h"
#include "Membership/VmEntryCodec.h"
#include "Observability/Log.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <random>

namespace cicadawind {
namespace internal {

static const Log Logger("daemon");
constexpr Duration LeavingCheckInterval = std::chrono::milliseconds(200);
constexpr Duration MaxSubmitTimeout = std::chrono::seconds(60);

static RandomSource systemRandom() {
  std::random_device Device;
  std::uint64_t Seed = (static_cast<std::uint64_t>(Device()) << 32) ^ Device();
  auto Engine = std::make_shared<std::mt19937_64>(Seed);
  return [Engine] { return (*Engine)(); };
}

static HttpResponse jsonResponse(int Status, const nlohmann::json &Json) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body =
      Json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Response;
}

static HttpResponse errorResponse(const Error &E) {
  nlohmann::json Json{
      {"verdict", toString(E.Outcome)},
      {"error", {{"code", toString(E.Code)}, {"message", E.Message}}}};
  return jsonResponse(httpStatus(E.Code), Json);
}

static HttpResponse plainText(const std::string &Text) {
  HttpResponse Response;
  Response.Body = Text;
  Response.ContentType = "text/plain; version=0.0.4";
  return Response;
}

} // namespace internal

DaemonRuntime::DaemonRuntime(Options NewOpts)
    : Opts(std::move(NewOpts)), Random(internal::systemRandom()), Loop(1),
      Timers(Loop), Http(Loop, HttpClient::Options{}),
      Platform(Http, Opts.Settings.Platform),
      Peers(Loop, Opts.Settings, Http, Platform, Random,
            PeerNode::Options{.Role = Opts.Role}),
      Submitter(Peers.notes(), Peers.history(), Opts.Charts.NoteSubmission),
      RoleStatus([] { return nlohmann::json::object(); }), StopAccepting([] {}),
      IsIdle([] { return true; }), OnDrainBegin([](TimePoint) {}) {
  DrainController::Options DrainOpts;
  DrainOpts.Chart = Opts.Charts.Drain;
  DrainOpts.Limit = [this] {
    return Duration(Peers.history().config().Limits.DrainLimit);
  };
  DrainOpts.Announce = [this] { Peers.announceLeaving(); };
  DrainOpts.StopAccepting = [this] { StopAccepting(); };
  DrainOpts.IsIdle = [this] { return IsIdle(); };
  DrainOpts.OnLimit = [] {
    internal::Logger.warning("drain limit reached; stopping when no request is "
                             "in flight");
  };
  DrainOpts.OnStopped = [this] { Loop.stop(); };
  Drain = std::make_unique<DrainController>(Timers.service(), DrainOpts);
}

DaemonRuntime::~DaemonRuntime() = default;

void DaemonRuntime::setStatusHook(std::function<nlohmann::json()> Hook) {
  RoleStatus = std::move(Hook);
}

void DaemonRuntime::setDrainHooks(std::function<void()> NewStopAccepting,
                                  std::function<bool()> NewIsIdle,
                                  std::function<void(TimePoint)> OnBegin) {
  StopAccepting = std::move(NewStopAccepting);
  IsIdle = std::move(NewIsIdle);
  OnDrainBegin = std::move(OnBegin);
}

bool DaemonRuntime::hasPeerKey(const HttpRequest &Request) const {
  return Request.header("x-peer-key") == Opts.Settings.PeerKey;
}

std::uint16_t DaemonRuntime::peerPort() const {
  return Opts.Role == DaemonRole::Router ? Opts.Settings.RouterPeerPort
                                         : Opts.Settings.PoolerPeerPort;
}

void DaemonRuntime::beginDrain() {
  if (Drain->isDraining())
    return;
  internal::Logger.info("drain begins");
  Duration Limit = Peers.history().config().Limits.DrainLimit;
  OnDrainBegin(BootClock::now() + Limit);
  Drain->begin();
}

HttpResponse DaemonRuntime::readiness() const {
  std::string Reason;
  if (!Peers.hasNote())
    Reason = "no release note is in force here";
  if (Drain->isDraining() || Peers.isLeaving())
    Reason = "leaving";
  nlohmann::json Json{{"ready", Reason.empty()}};
  if (!Reason.empty())
    Json["reason"] = Reason;
  return internal::jsonResponse(Reason.empty() ? 200 : 503, Json);
}

nlohmann::json DaemonRuntime::statusJson() const {
  nlohmann::json Members = nlohmann::json::array();
  for (const VmEntry &Entry : Peers.members().all())
    Members.push_back(toJson(Entry));
  nlohmann::json Json = RoleStatus();
  Json["vm"] = Opts.Settings.Vm;
  Json["failure_domain"] = Opts.Settings.FailureDomain;
  Json["role"] = Opts.Role == DaemonRole::Router ? "router" : "pooler";
  Json["note"] = Peers.history().number();
  Json["ready"] = readiness().Status == 200;
  Json["drain"] = Drain->state();
  Json["control_bytes"] = Http.bytes();
  Json["members"] = std::move(Members);
  return Json;
}

HttpResponse DaemonRuntime::checkNote(const HttpRequest &Request) const {
  nlohmann::json In = tryParseJson(Request.Body);
  if (!In.is_object() || !In.contains("note"))
    return internal::errorResponse(
        Error{.Code = ErrorCode::BadRequest, .Message = "'note' is missing"});
  Status Checked = Submitter.check(In.value("note", std::string()),
                                   In.value("origin", std::string("note")));
  if (const Error *E = errorOf(Checked))
    return internal::errorResponse(*E);
  return internal::jsonResponse(200, {{"valid", true}});
}

boost::asio::awaitable<HttpResponse>
DaemonRuntime::submitNote(HttpRequest Request) {
  nlohmann::json In = tryParseJson(Request.Body);
  bool Complete = In.is_object() && In.contains("note") &&
                  !In.value("submission", std::string()).empty();
  if (!Complete)
    co_return internal::errorResponse(
        Error{.Code = ErrorCode::BadRequest,
              .Message = "'note' and 'submission' are needed"});
  Duration Limit = Millis(In.value("limit_ms", std::int64_t{5000}));
  Limit = std::min(Limit, internal::MaxSubmitTimeout);
  Result<std::uint64_t> Number = co_await Submitter.submit(
      In["note"].get<std::string>(), In.value("origin", std::string("note")),
      In["submission"].get<std::string>(), Limit);
  if (const Error *E = errorOf(Number))
    co_return internal::errorResponse(*E);
  co_return internal::jsonResponse(200, {{"number", valueOf(Number)}});
}

HttpResponse DaemonRuntime::listNotes(const HttpRequest &Request) const {
  const ConfigHistory &History = Peers.history();
  std::uint64_t After = 0;
  auto Query = Request.Query.find("after");
  if (Query != Request.Query.end())
    After = std::strtoull(Query->second.c_str(), nullptr, 10);
  while (After < History.number() && !History.hasNotesSince(After))
    ++After;
  nlohmann::json Notes = nlohmann::json::array();
  for (const NoteDocument &Document : History.notesAfter(After))
    Notes.push_back({{"number", Document.Number},
                     {"submission", Document.Submission},
                     {"note", Document.Text}});
  nlohmann::json Json{{"number", History.number()},
                      {"notes", std::move(Notes)},
                      {"config", parseJson(encodeConfig(History.config()))}};
  return internal::jsonResponse(200, Json);
}

boost::asio::awaitable<HttpResponse>
DaemonRuntime::serveOperator(HttpRequest Request) {
  if (Request.header("x-operator-key") != Opts.Settings.OperatorKey)
    co_return internal::errorResponse(
        Error{.Code = ErrorCode::Unauthorized,
              .Message = "the operator key is missing or wrong"});
  if (Request.Path == "/v1/status")
    co_return internal::jsonResponse(200, statusJson());
  if (Request.Path == "/v1/drain") {
    beginDrain();
    co_return internal::jsonResponse(200, {{"draining", true}});
  }
  if (Request.Path == "/v1/notes/check")
    co_return checkNote(Request);
  if (Request.Method == "GET")
    co_return listNotes(Request);
  co_return co_await submitNote(std::move(Request));
}

boost::asio::awaitable<HttpResponse>
DaemonRuntime::servePeerPort(HttpRequest Request) {
  if (Request.Path == "/rpc")
    co_return Peers.handleRpc(Request);
  if (Request.Path == "/metrics")
    co_return internal::plainText(Meter.text());
  if (Request.Path == "/livez")
    co_return internal::jsonResponse(200, {{"live", true}});
  if (Request.Path == "/readyz")
    co_return readiness();
  bool ForOperators =
      Request.Path == "/v1/status" || Request.Path == "/v1/drain" ||
      Request.Path == "/v1/notes" || Request.Path == "/v1/notes/check";
  if (ForOperators)
    co_return co_await serveOperator(std::move(Request));
  if (RolePeerHandler) {
    std::optional<HttpResponse> Response =
        co_await RolePeerHandler(std::move(Request));
    if (Response)
      co_return *Response;
  }
  co_return internal::errorResponse(
      Error{.Code = ErrorCode::NotFound, .Message = "no such path"});
}

void DaemonRuntime::run() {
  Peers.history().onChange([this](const ServiceConfig &Config) {
    Meter.set("release_note", static_cast<double>(Config.Number));
  });
  HttpServer::Options ServerOpts;
  ServerOpts.Address = Opts.Settings.Address;
  ServerOpts.Port = peerPort();
  ServerOpts.MaxBodyBytes = std::size_t{8} * 1024 * 1024;
  PeerServer = std::make_unique<HttpServer>(
      Loop, ServerOpts, [this](HttpRequest Request) {
        return servePeerPort(std::move(Request));
      });
  boost::asio::signal_set Signals(Loop, SIGTERM, SIGINT);
  Signals.async_wait([this](const boost::system::error_code &Code, int) {
    if (!Code)
      beginDrain();
  });
  // The platform may list this VM as leaving, a release note may withdraw it,
  // or an operator may have drained the VM's other daemon.
  LeavingCheckTimer =
      Timers.service().every(internal::LeavingCheckInterval, [this](TimePoint) {
        if (Peers.isLeaving())
          beginDrain();
      });
  Peers.start();
  internal::Logger.info("serving", {{"peer_port", std::to_string(peerPort())}});
  Loop.run();
  internal::Logger.info("stopped");
}

} // namespace cicadawind
