// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Peers/PeerNode.h"

#include "Async/AsyncSignal.h"
#include "Http/HttpClient.h"
#include "Membership/VmEntryCodec.h"
#include "Platform/PlatformClient.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <chrono>

namespace cicadawind {
namespace internal {

constexpr Duration PeerCallTimeout = std::chrono::milliseconds(800);
constexpr Duration StoreCallTimeout = std::chrono::seconds(2);
/// Wait after a failed watch request, and between checks whether this daemon
/// has to watch the store.
constexpr Duration RetryBackoff = std::chrono::milliseconds(500);
/// A daemon without contact with any peer for this long watches the store.
constexpr Duration IsolationTimeout = std::chrono::seconds(5);
/// One exchange out of this many is with a peer in another failure domain.
constexpr std::uint64_t OtherDomainInterval = 4;

/// Returns the system time in milliseconds as an incarnation number, so that a
/// later process of this VM gets a higher one.
static std::uint64_t newIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace internal

PeerNode::PeerNode(boost::asio::io_context &Loop,
                   const DaemonSettings &Settings, HttpClient &Http,
                   PlatformClient &Platform, RandomSource NewRandom,
                   Options Opts)
    : Loop(Loop), Settings(Settings), Http(Http), Platform(Platform),
      Random(std::move(NewRandom)), Opts(Opts),
      Members({.OwnVm = Settings.Vm,
               .FailureDomain = Settings.FailureDomain,
               .Region = Settings.Region}),
      Notes(Platform, History), LastPeerContact(BootClock::now()) {
  OwnEntry = VmEntry{.Vm = Settings.Vm,
                     .FailureDomain = Settings.FailureDomain,
                     .Region = Settings.Region,
                     .RouterPeer = Settings.routerPeer(),
                     .PoolerPeer = Settings.poolerPeer(),
                     .Incarnation = internal::newIncarnation()};
  Members.merge(OwnEntry);
  History.onChange([this](const ServiceConfig &Config) {
    Members.setWithdrawn(Config.WithdrawnVms);
    Logger.info("release note in force",
                {{"note", std::to_string(Config.Number)}});
    if (isStoreWatcher())
      pushToDomain();
  });
  registerMethods();
}

void PeerNode::start() {
  spawn(Loop, exchangeLoop());
  spawn(Loop, watchLoop());
  spawn(Loop, listLoop());
}

bool PeerNode::isIsolated() const {
  return BootClock::now() - LastPeerContact > internal::IsolationTimeout;
}

bool PeerNode::isStoreWatcher() const {
  if (isIsolated())
    return true;
  return Opts.Role == DaemonRole::Pooler &&
         Members.isAssigned("watch", Opts.WatchersPerDomain, BootClock::now());
}

bool PeerNode::isLeaving() const { return Members.isLeaving(Settings.Vm); }

void PeerNode::announceLeaving() {
  OwnEntry.Leaving = true;
  Members.merge(OwnEntry);
  spawn(Loop, pushTo(peerAddresses(false)));
}

std::vector<std::string> PeerNode::peerAddresses(bool OwnDomainOnly) const {
  std::vector<std::string> Out;
  for (const VmEntry &Entry : Members.all()) {
    if (OwnDomainOnly && Entry.FailureDomain != Settings.FailureDomain)
      continue;
    bool IsOwnVm = Entry.Vm == Settings.Vm;
    if (!IsOwnVm || Opts.Role == DaemonRole::Pooler)
      Out.push_back(Entry.RouterPeer);
    if (!IsOwnVm || Opts.Role == DaemonRole::Router)
      Out.push_back(Entry.PoolerPeer);
  }
  return Out;
}

void PeerNode::pushToDomain() { spawn(Loop, pushTo(peerAddresses(true))); }

boost::asio::awaitable<void>
PeerNode::pushTo(std::vector<std::string> Addresses) {
  for (const std::string &Address : Addresses)
    spawn(Loop, exchangeWith(Address, std::string()));
  co_return;
}

nlohmann::json PeerNode::digest() const {
  nlohmann::json Leaving = nlohmann::json::array();
  for (const VmEntry &Entry : Members.all())
    if (Entry.Leaving && Entry.Vm != OwnEntry.Vm)
      Leaving.push_back({Entry.Vm, Entry.Incarnation});
  return {{"note", History.number()},
          {"from", toJson(OwnEntry)},
          {"leaving", std::move(Leaving)}};
}

void PeerNode::mergeDigest(const nlohmann::json &Digest) {
  VmEntry From = vmEntryFrom(Digest.at("from"));
  LastPeerContact = BootClock::now();
  Members.clearSuspicion(From.Vm);
  // An entry of this VM, such as that of its other daemon, does not replace
  // OwnEntry. It can only show that the VM is leaving.
  if (From.Vm != OwnEntry.Vm)
    Members.merge(From);
  else if (From.Leaving)
    OwnEntry.Leaving = true;
  if (OwnEntry.Leaving)
    Members.merge(OwnEntry);
  for (const nlohmann::json &Row : Digest.at("leaving")) {
    std::string Vm = Row.at(0).get<std::string>();
    for (VmEntry Entry : Members.all())
      if (Entry.Vm == Vm && Entry.Incarnation <= Row.at(1)) {
        Entry.Leaving = true;
        Entry.Incarnation = Row.at(1).get<std::uint64_t>();
        Members.merge(Entry);
      }
  }
}

void PeerNode::registerMethods() {
  Rpc.add("peer.exchange", [this](const nlohmann::json &Params) {
    mergeDigest(Params);
    bool IsBehind = Params.at("note").get<std::uint64_t>() > History.number();
    if (IsBehind) {
      VmEntry From = vmEntryFrom(Params.at("from"));
      bool FromPooler = Params.value("role", "") == "pooler";
      spawn(Loop, fetchNotes(FromPooler ? From.PoolerPeer : From.RouterPeer));
    }
    return digest();
  });
  Rpc.add("peer.notes", [this](const nlohmann::json &Params) {
    std::uint64_t After = Params.at("after").get<std::uint64_t>();
    nlohmann::json Out{{"documents", nlohmann::json::array()}};
    if (!History.hasNotesSince(After)) {
      Out["snapshot"] = encodeConfig(History.config());
      return Out;
    }
    for (const NoteDocument &Document : History.notesAfter(After))
      Out["documents"].push_back(encodeDocument(Document));
    return Out;
  });
}

boost::asio::awaitable<nlohmann::json>
PeerNode::callPeer(std::string Address, std::string Method,
                   nlohmann::json Params) {
  HttpRequest Request;
  Request.Path = "/rpc";
  Request.Headers["x-peer-key"] = Settings.PeerKey;
  Request.Body = rpcRequest(Method, Params);
  HttpResult CallResult = co_await Http.call(
      std::move(Address), std::move(Request), internal::PeerCallTimeout);
  const HttpResponse *Response = std::get_if<HttpResponse>(&CallResult);
  if (!Response || Response->Status != 200)
    co_return nlohmann::json();
  co_return rpcResult(Response->Body);
}

HttpResponse PeerNode::handleRpc(const HttpRequest &Request) {
  HttpResponse Response;
  if (Request.header("x-peer-key") != Settings.PeerKey) {
    Response.Status = 401;
    Response.Body = R"({"error":{"code":"unauthorized"}})";
    return Response;
  }
  Response.Body = Rpc.handle(Request.Body);
  return Response;
}

boost::asio::awaitable<void> PeerNode::exchangeWith(std::string Address,
                                                    std::string Vm) {
  nlohmann::json Params = digest();
  Params["role"] = Opts.Role == DaemonRole::Pooler ? "pooler" : "router";
  nlohmann::json Response =
      co_await callPeer(Address, "peer.exchange", std::move(Params));
  if (Response.is_null()) {
    if (!Vm.empty())
      Members.suspect(Vm, BootClock::now());
    co_return;
  }
  bool IsBehind = false;
  try {
    mergeDigest(Response);
    IsBehind = Response.at("note").get<std::uint64_t>() > History.number();
  } catch (const nlohmann::json::exception &E) {
    Logger.warning(
        "cannot decode a peer's exchange message; waiting for the next one",
        {{"peer", Address}, {"why", E.what()}});
  }
  if (IsBehind)
    co_await fetchNotes(Address);
}

boost::asio::awaitable<void> PeerNode::fetchNotes(std::string Address) {
  nlohmann::json Params{{"after", History.number()}};
  nlohmann::json Response =
      co_await callPeer(Address, "peer.notes", std::move(Params));
  if (Response.is_null())
    co_return;
  if (Response.contains("snapshot")) {
    Result<ServiceConfig> Config =
        decodeConfig(Response.at("snapshot").get<std::string>());
    if (!errorOf(Config))
      History.applySnapshot(valueOf(Config));
  }
  for (const nlohmann::json &Row : Response.at("documents")) {
    Result<NoteDocument> Document = decodeDocument(Row.get<std::string>());
    if (errorOf(Document))
      co_return;
    Status Applied = History.applyNote(valueOf(Document));
    if (const Error *E = errorOf(Applied))
      Logger.warning("cannot apply a release note from a peer; it is ignored",
                     {{"why", E->Message}});
  }
}

boost::asio::awaitable<void> PeerNode::exchangeLoop() {
  for (const std::string &Seed : Settings.Seeds)
    if (Seed != OwnEntry.PoolerPeer && Seed != OwnEntry.RouterPeer)
      spawn(Loop, exchangeWith(Seed, std::string()));
  for (;;) {
    double Jitter = 0.75 + 0.5 * toUnit(Random());
    co_await sleepFor(
        std::chrono::duration_cast<Duration>(Opts.ExchangeInterval * Jitter));
    ++Exchanges;
    TimePoint Now = BootClock::now();
    bool OtherDomain = Exchanges % internal::OtherDomainInterval == 0;
    std::optional<VmEntry> Peer =
        Members.randomPeer(OtherDomain, Random(), Now);
    if (!Peer)
      Peer = Members.randomPeer(!OtherDomain, Random(), Now);
    if (!Peer) {
      // No peer is known, or all are suspected, so the exchange is with a seed.
      if (!Settings.Seeds.empty()) {
        std::string Seed = Settings.Seeds[Random() % Settings.Seeds.size()];
        co_await exchangeWith(Seed, std::string());
      }
      continue;
    }
    bool ToPooler = Opts.Role == DaemonRole::Router || Random() % 2 == 0;
    std::string Address = ToPooler ? Peer->PoolerPeer : Peer->RouterPeer;
    co_await exchangeWith(Address, Peer->Vm);
  }
}

boost::asio::awaitable<void> PeerNode::watchLoop() {
  Status First = co_await Notes.catchUp(internal::StoreCallTimeout);
  if (const Error *E = errorOf(First))
    Logger.warning("cannot read the release notes from the store at start; "
                   "trying again later",
                   {{"why", E->Message}});
  for (;;) {
    if (!isStoreWatcher()) {
      co_await sleepFor(internal::RetryBackoff);
      continue;
    }
    Status Watched = co_await Notes.watch(Opts.WatchWait);
    if (errorOf(Watched))
      co_await sleepFor(internal::RetryBackoff);
  }
}

boost::asio::awaitable<void> PeerNode::listLoop() {
  for (;;) {
    Result<std::vector<VmEntry>> List =
        co_await Platform.list(internal::StoreCallTimeout);
    if (!errorOf(List)) {
      std::size_t LeavingBefore =
          Members.all().size() - Members.usable().size();
      Members.applyList(valueOf(List));
      std::size_t LeavingNow = Members.all().size() - Members.usable().size();
      if (LeavingNow > LeavingBefore && isStoreWatcher())
        pushToDomain();
    }
    bool Frequent = isStoreWatcher() || Members.all().size() < 2;
    Duration Interval = Frequent ? Opts.WatcherListInterval : Opts.ListInterval;
    co_await sleepFor(Interval);
  }
}

} // namespace cicadawind
