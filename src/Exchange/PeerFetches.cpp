// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Exchange/PeerExchange.h"

#include "Async/AsyncSignal.h"
#include "Http/HttpClient.h"
#include "Membership/VmEntryCodec.h"
#include "Observability/Log.h"
#include "Proxy/ProxyService.h"

#include <algorithm>
#include <cstdlib>

// What VMs fetch from each other over HTTP, part of PeerExchange.

namespace cicadawind {
namespace internal {

static const Log Logger("peers");
/// Timeout of fetching the entries of all VMs from a peer.
constexpr Duration MembersTimeout = std::chrono::milliseconds(1500);
/// Paths under which a VM serves its state and the entries of all VMs.
static const char *const StatePath = "/state";
static const char *const MembersPath = "/members";
/// Path under which a VM tells since when targets leave.
static const char *const DeparturesPath = "/departures";
/// Field of a response with the state: milliseconds since it was encoded. The
/// ages in it are as of then.
static const char *const EncodedAgeField = "encoded-age-ms";
/// Timeout of asking a peer since when targets leave, and the time between two
/// such calls at first and at most.
constexpr Duration DeparturesTimeout = std::chrono::seconds(1);
constexpr Duration MinDeparturesInterval = std::chrono::milliseconds(250);
constexpr Duration MaxDeparturesInterval = std::chrono::seconds(4);
/// Parameters of a request for the state: the version of the configuration and
/// the revision of the targets that the requesting VM has.
static const char *const ConfigParameter = "config";
static const char *const TargetsParameter = "targets";

} // namespace internal

static std::string millisSince(TimePoint Start) {
  return std::to_string(toMillis(BootClock::now() - Start).count());
}

/// Returns log fields that tell why a call to \p Peer that began at \p Start
/// gave no response to use.
static LogFields describeFailure(const std::string &Peer, TimePoint Start,
                                 const HttpResult &Outcome) {
  LogFields Out{{"peer", Peer}, {"took_ms", millisSince(Start)}};
  if (const HttpFailure *Failure = std::get_if<HttpFailure>(&Outcome)) {
    Out.push_back({"why", Failure->Message});
    Out.push_back({"connection", Failure->OnKeptConnection ? "kept" : "new"});
  } else {
    int Status = std::get<HttpResponse>(Outcome).Status;
    Out.push_back({"why", "HTTP status " + std::to_string(Status)});
  }
  return Out;
}

HttpResponse PeerExchange::respond(const HttpRequest &Request) {
  if (Request.Path == internal::MembersPath)
    return membersResponse();
  if (Request.Path == internal::DeparturesPath)
    return departuresResponse();
  if (Request.Path == internal::StatePath || !RequestHook)
    return stateResponse(Request);
  return RequestHook(Request);
}

HttpResponse PeerExchange::membersResponse() const {
  HttpResponse Response;
  Response.ContentType = "application/cbor";
  Response.Body = encodeEntries(Fleet.recentlyHeardOf(BootClock::now()));
  return Response;
}

HttpResponse PeerExchange::departuresResponse() const {
  HttpResponse Response;
  Response.ContentType = "application/cbor";
  Response.Body = encodeDepartures(Service.departures(), BootClock::now());
  return Response;
}

void PeerExchange::fetchDeparturesIfDue(TimePoint Now) {
  if (!Service.lacksDeparture()) {
    DeparturesInterval = internal::MinDeparturesInterval;
    return;
  }
  const std::vector<VmEntry> &Live = livePeers(Now);
  if (Live.empty() || Now < NextDepartures)
    return;
  NextDepartures = Now + DeparturesInterval;
  DeparturesInterval =
      std::clamp(2 * DeparturesInterval, internal::MinDeparturesInterval,
                 internal::MaxDeparturesInterval);
  spawn(Loop, fetchDepartures(Live[Opts.Random() % Live.size()]));
}

boost::asio::awaitable<void> PeerExchange::fetchDepartures(VmEntry From) {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = internal::DeparturesPath;
  TimePoint Start = BootClock::now();
  HttpResult CallResult =
      co_await Http.call(From.RouterPeer, std::move(Request),
                         internal::DeparturesTimeout, ConnectionUse::New);
  const HttpResponse *Response = std::get_if<HttpResponse>(&CallResult);
  if (!Response || Response->Status != 200) {
    internal::Logger.info("a peer did not tell since when targets leave",
                          describeFailure(From.Vm, Start, CallResult));
    co_return;
  }
  Result<std::vector<TargetDeparture>> Known =
      decodeDepartures(Response->Body, Start);
  if (const Error *E = errorOf(Known)) {
    internal::Logger.warning("malformed departures from a peer ignored",
                             {{"peer", From.Vm}, {"why", E->Message}});
    co_return;
  }
  Service.recordDepartures(valueOf(Known));
  internal::Logger.info(
      "a peer told since when targets leave",
      {{"peer", From.Vm},
       {"count", std::to_string(valueOf(Known).size())},
       {"complete", Service.lacksDeparture() ? "false" : "true"}});
}

void PeerExchange::fetchMembers(const VmEntry &From) {
  if (std::exchange(FetchingMembers, true))
    return;
  spawn(Loop, fetchAndRecordMembers(From));
}

boost::asio::awaitable<void> PeerExchange::fetchAndRecordMembers(VmEntry From) {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = internal::MembersPath;
  TimePoint Start = BootClock::now();
  HttpResult CallResult =
      co_await Http.call(From.RouterPeer, std::move(Request),
                         internal::MembersTimeout, ConnectionUse::New);
  FetchingMembers = false;
  const HttpResponse *Response = std::get_if<HttpResponse>(&CallResult);
  if (!Response || Response->Status != 200) {
    internal::Logger.info("entries of VMs could not be fetched from a peer; "
                          "retrying after the next hello",
                          describeFailure(From.Vm, Start, CallResult));
    co_return;
  }
  Result<std::vector<VmEntry>> Entries = decodeEntries(Response->Body);
  if (const Error *E = errorOf(Entries)) {
    internal::Logger.warning("malformed entries of VMs from a peer ignored",
                             {{"peer", From.Vm}, {"why", E->Message}});
    co_return;
  }
  internal::Logger.info(
      "entries of VMs fetched from a peer",
      {{"peer", From.Vm}, {"count", std::to_string(valueOf(Entries).size())}});
  contactListed(valueOf(Entries));
}

/// Returns the number that \p Request has for \p Key, or 0.
static std::uint64_t numberOf(const HttpRequest &Request, const char *Key) {
  auto It = Request.Query.find(Key);
  return It == Request.Query.end()
             ? 0
             : std::strtoull(It->second.c_str(), nullptr, 10);
}

/// Returns the time before \p Response at which its state was encoded. One of
/// an earlier release does not tell.
static Duration encodedAgeOf(const HttpResponse &Response) {
  std::string Age = Response.header(internal::EncodedAgeField);
  constexpr std::uint64_t MaxAgeMs = 86'400'000;
  std::uint64_t AgeMs = std::strtoull(Age.c_str(), nullptr, 10);
  return Millis(std::min(AgeMs, MaxAgeMs));
}

HttpResponse PeerExchange::stateResponse(const HttpRequest &Request) {
  StateVersion From{.Config = numberOf(Request, internal::ConfigParameter),
                    .TargetsRevision =
                        numberOf(Request, internal::TargetsParameter)};
  StateVersion To{.Config = Service.config().Version,
                  .TargetsRevision = Service.targetsRevision()};
  if (EncodedState.empty() || From != EncodedFrom || To != EncodedTo) {
    EncodedState =
        encodeState(Service.stateSince(From.Config, From.TargetsRevision));
    EncodedFrom = From;
    EncodedTo = To;
    EncodedAt = BootClock::now();
  }
  HttpResponse Response;
  Response.ContentType = "application/cbor";
  Response.Headers[internal::EncodedAgeField] = millisSince(EncodedAt);
  Response.Body = EncodedState;
  return Response;
}

boost::asio::awaitable<void>
PeerExchange::fetchAndApplyState(StateFetches::Attempt From) {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = internal::StatePath;
  if (!std::exchange(NeedsWholeState, false)) {
    Request.Query[internal::ConfigParameter] =
        std::to_string(Service.config().Version);
    Request.Query[internal::TargetsParameter] =
        std::to_string(Service.targetsRevision());
  }
  TimePoint Start = BootClock::now();
  if (const auto *First = Service.newerConfigs().earliest())
    internal::Logger.info(
        "fetching the state of a peer",
        {{"peer", From.Vm}, {"known_ms", millisSince(First->HeardAt)}});
  HttpResult CallResult = co_await Http.call(
      From.Address, std::move(Request), From.Timeout,
      From.OnNewConnection ? ConnectionUse::New : ConnectionUse::Kept);
  const HttpResponse *Response = std::get_if<HttpResponse>(&CallResult);
  bool HasSucceeded = Response && Response->Status == 200;
  Fetches.recordEnd(From.Vm, HasSucceeded, BootClock::now());
  if (!HasSucceeded) {
    internal::Logger.info("state could not be fetched from a peer",
                          describeFailure(From.Vm, Start, CallResult));
    fetchIfDue(BootClock::now());
    co_return;
  }
  Result<ProxyState> State =
      decodeState(Response->Body, Start - encodedAgeOf(*Response));
  if (const Error *E = errorOf(State)) {
    internal::Logger.warning(
        "malformed state from a peer ignored; retrying after its next "
        "hello",
        {{"peer", From.Vm}, {"why", E->Message}});
    co_return;
  }
  ProxyState &Fetched = valueOf(State);
  std::uint64_t Version = Fetched.Config.Version;
  bool Applied = Service.applyConfig(
      std::make_shared<ProxyConfig>(std::move(Fetched.Config)));
  bool IsNewer = Fetched.TargetsRevision > Service.targetsRevision();
  if (!readsStore(BootClock::now()) && IsNewer)
    NeedsWholeState = !Service.applyTargetsOf(Fetched);
  if (Applied)
    internal::Logger.info("configuration applied from a peer",
                          {{"peer", From.Vm},
                           {"version", std::to_string(Version)},
                           {"took_ms", millisSince(Start)}});
}

} // namespace cicadawind
