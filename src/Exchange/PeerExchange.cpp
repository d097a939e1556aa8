// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Exchange/PeerExchange.h"

#include "Async/AsyncSignal.h"
#include "Http/HttpClient.h"
#include "Http/HttpServer.h"
#include "Observability/Log.h"
#include "Proxy/ProxyService.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace cicadawind {
namespace internal {

static const Log Logger("peers");
/// Maximum number of other VMs whose entries one hello contains.
constexpr std::size_t MaxOthersPerHello = 3;
/// Time after which reports on a query are ignored.
constexpr Duration QueryTimeout = std::chrono::milliseconds(1000);
/// Timeout of fetching a peer's state over HTTP.
constexpr Duration FetchTimeout = std::chrono::milliseconds(1500);

} // namespace internal

static MemberTable::Options memberOptions(const PeerExchange::Options &Opts) {
  MemberTable::Options Out;
  Out.OwnVm = Opts.Vm;
  Out.FailureDomain = Opts.FailureDomain;
  Out.Region = Opts.Region;
  return Out;
}

/// Returns an incarnation that is higher than those of earlier starts of this
/// VM, unless its system clock has been set back. In that case a peer that
/// knows the later incarnation sends it to this VM, and handleHello takes a
/// higher one.
static std::uint64_t newIncarnation() {
  auto Wall = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Wall).count());
}

PeerExchange::PeerExchange(boost::asio::io_context &Loop, Options NewOpts,
                           HttpClient &Http, ProxyService &Service)
    : Loop(Loop), Opts(std::move(NewOpts)), Http(Http), Service(Service),
      Members(memberOptions(Opts)), Socket(Loop), Incarnation(newIncarnation()),
      Voters({.OwnVm = Opts.Vm}) {}

PeerExchange::~PeerExchange() { *Alive = false; }

VmEntry PeerExchange::self() const {
  VmEntry Out;
  Out.Vm = Opts.Vm;
  Out.FailureDomain = Opts.FailureDomain;
  Out.Region = Opts.Region;
  Out.RouterPeer = Opts.Address + ":" + std::to_string(Opts.Port);
  Out.PoolerPeer = Opts.Address + ":" + std::to_string(Opts.RelayPort);
  Out.Leaving = Leaving;
  Out.Incarnation = Incarnation;
  return Out;
}

void PeerExchange::start() {
  boost::asio::ip::udp::endpoint Own(
      boost::asio::ip::make_address(Opts.Address), Opts.Port);
  Socket.open(Own.protocol());
  Socket.bind(Own);
  Socket.non_blocking(true);
  HttpServer::Options ServerOpts;
  ServerOpts.Address = Opts.Address;
  ServerOpts.Port = Opts.Port;
  ServerOpts.MaxConnections = 64;
  StateServer = std::make_unique<HttpServer>(
      Loop, ServerOpts,
      [this](HttpRequest Request) -> boost::asio::awaitable<HttpResponse> {
        bool ForState = Request.Path == "/state" || !RequestHook;
        co_return ForState ? stateResponse() : RequestHook(Request);
      });
  receiveNext();
  for (const std::string &Address : Opts.SeedAddresses)
    if (Address != Opts.Address)
      sendHello(Address + ":" + std::to_string(Opts.Port));
}

void PeerExchange::receiveNext() {
  Socket.async_receive_from(
      boost::asio::buffer(Buffer), Sender,
      [this, StillAlive = Alive](const boost::system::error_code &Code,
                                 std::size_t Count) {
        if (!*StillAlive || Code == boost::asio::error::operation_aborted)
          return;
        // An error here means that a datagram sent earlier was rejected by its
        // receiver, so this VM continues to receive.
        if (!Code)
          handleDatagram(std::string(Buffer.data(), Count), BootClock::now());
        receiveNext();
      });
}

void PeerExchange::handleDatagram(const std::string &Bytes, TimePoint Now) {
  Result<PeerMessage> Message = decodePeerMessage(Bytes);
  if (const Error *E = errorOf(Message)) {
    internal::Logger.warning(
        "malformed datagram from a peer ignored",
        {{"from", Sender.address().to_string()}, {"why", E->Message}});
    return;
  }
  PeerMessage &Decoded = valueOf(Message);
  if (const PeerHello *Hello = std::get_if<PeerHello>(&Decoded))
    handleHello(*Hello, Now);
  else if (const auto *Query = std::get_if<PrimaryQuery>(&Decoded))
    handleQuery(*Query, Now);
  else if (const auto *Report = std::get_if<PrimaryReport>(&Decoded))
    handleReport(*Report, Now);
  else if (const auto *Notice = std::get_if<PromotionNotice>(&Decoded))
    handleNotice(*Notice);
  else if (LeaseHook)
    LeaseHook(Decoded, [this](const PeerMessage &Reply) {
      // An error is ignored, since the peer asks again.
      boost::system::error_code Ignored;
      Socket.send_to(boost::asio::buffer(encodePeerMessage(Reply)), Sender, 0,
                     Ignored);
    });
}

void PeerExchange::handleNotice(const PromotionNotice &Notice) {
  if (NoticeHook)
    NoticeHook(Notice);
}

void PeerExchange::send(const std::set<std::string> &Vms,
                        const PeerMessage &Message) {
  std::map<std::string, std::string> Addresses = ListedAddresses;
  for (const VmEntry &Entry : Members.all())
    Addresses[Entry.Vm] = Entry.RouterPeer;
  for (const auto &[Vm, Address] : Addresses)
    if (Vm != Opts.Vm && Vms.count(Vm))
      sendTo(Address, Message);
}

void PeerExchange::handleHello(const PeerHello &Hello, TimePoint Now) {
  const VmEntry &From = Hello.Self;
  if (From.Vm == Opts.Vm)
    return;
  bool IsNew = !LastContactAt.count(From.Vm);
  Members.merge(From);
  LastContactAt[From.Vm] = Now;
  Voters.recordContact(From.Vm, From.Leaving, Now);
  for (const VmEntry &Other : Hello.Others) {
    if (Other.Vm != Opts.Vm)
      Voters.recordNamed(Other.Vm, Now);
    bool SupersedesSelf = Other.Vm == Opts.Vm && Other != self() &&
                          Other.Incarnation >= Incarnation;
    if (SupersedesSelf) {
      // Either the system clock was set back before this VM started, so that
      // peers ignore its entry as outdated, or the sender does not know yet
      // that this VM is leaving. Peers accept the entry with a higher
      // incarnation.
      Incarnation = Other.Incarnation + 1;
      broadcastHello();
    }
    if (Other.Vm == Opts.Vm || LastContactAt.count(Other.Vm))
      continue;
    // A VM that another one names becomes a member once it replies itself.
    sendHello(Other.RouterPeer);
  }
  if (IsNew) {
    internal::Logger.info("first contact with a VM",
                          {{"peer", From.Vm},
                           {"address", From.RouterPeer},
                           {"domain", From.FailureDomain}});
    sendHello(From.RouterPeer);
  }
  reportLaterIncarnation(From);
  updateServicePeers(Now);
  bool HasNewerConfig = Hello.ConfigVersion > Service.config().Version;
  bool HasNewerTargets =
      !StoreReachable && Hello.TargetsRevision > Service.targetsRevision();
  if (HasNewerConfig || HasNewerTargets)
    fetchState(From.Vm, From.RouterPeer);
}

void PeerExchange::reportLaterIncarnation(const VmEntry &From) {
  for (const VmEntry &Entry : Members.all()) {
    if (Entry.Vm != From.Vm || Entry.Incarnation <= From.Incarnation)
      continue;
    PeerHello Hello;
    Hello.Self = self();
    Hello.ConfigVersion = Service.config().Version;
    Hello.TargetsRevision = Service.targetsRevision();
    Hello.Others.push_back(Entry);
    sendTo(From.RouterPeer, Hello);
  }
}

void PeerExchange::sendTo(const std::string &Address,
                          const PeerMessage &Message) {
  std::size_t Colon = Address.rfind(':');
  boost::system::error_code Code;
  auto Ip = boost::asio::ip::make_address(Address.substr(0, Colon), Code);
  if (Code || Colon == std::string::npos)
    return;
  int Port = std::atoi(Address.c_str() + Colon + 1);
  boost::asio::ip::udp::endpoint To(Ip, static_cast<std::uint16_t>(Port));
  // Errors are ignored: datagrams may be lost anyway, and hellos and queries
  // are repeated.
  Socket.send_to(boost::asio::buffer(encodePeerMessage(Message)), To, 0, Code);
}

void PeerExchange::sendHello(const std::string &Address) {
  PeerHello Hello;
  Hello.Self = self();
  Hello.ConfigVersion = Service.config().Version;
  Hello.TargetsRevision = Service.targetsRevision();
  std::vector<VmEntry> Usable = Members.usable();
  for (std::size_t I = 0; I < internal::MaxOthersPerHello && !Usable.empty();
       ++I) {
    std::size_t Pick = Opts.Random() % Usable.size();
    Hello.Others.push_back(Usable[Pick]);
    Usable.erase(Usable.begin() + static_cast<std::ptrdiff_t>(Pick));
  }
  sendTo(Address, Hello);
}

void PeerExchange::contactListed(const std::vector<VmEntry> &Entries) {
  for (const VmEntry &Entry : Entries) {
    if (Entry.Vm == Opts.Vm || LastContactAt.count(Entry.Vm))
      continue;
    Voters.recordListed(Entry.Vm);
    ListedAddresses[Entry.Vm] = Entry.RouterPeer;
    sendHello(Entry.RouterPeer);
  }
}

bool PeerExchange::isLivePeersOutdated(TimePoint Now) const {
  return Now - LivePeersAt >= Opts.LivePeersInterval ||
         LiveMembersVersion != Members.version() ||
         LiveContacts != LastContactAt.size();
}

const std::vector<VmEntry> &PeerExchange::livePeers(TimePoint Now) const {
  if (!isLivePeersOutdated(Now))
    return LivePeers;
  LivePeersAt = Now;
  LiveMembersVersion = Members.version();
  LiveContacts = LastContactAt.size();
  std::vector<VmEntry> Found = findLivePeers(Now);
  if (Found == LivePeers)
    return LivePeers;
  LivePeers = std::move(Found);
  ++LiveVersion;
  return LivePeers;
}

std::vector<VmEntry> PeerExchange::findLivePeers(TimePoint Now) const {
  std::vector<VmEntry> Out;
  std::vector<VmEntry> Usable = Members.usable();
  Duration SameRegionTimeout = peerTimeout(Usable, true);
  Duration RemoteTimeout = peerTimeout(Usable, false);
  for (const VmEntry &Entry : Usable) {
    auto Contact = LastContactAt.find(Entry.Vm);
    Duration Timeout =
        Entry.Region == Opts.Region ? SameRegionTimeout : RemoteTimeout;
    bool Live =
        Contact != LastContactAt.end() && Now - Contact->second < Timeout;
    if (Live && Entry.Vm != Opts.Vm)
      Out.push_back(Entry);
  }
  return Out;
}

void PeerExchange::updateServicePeers(TimePoint Now) {
  const std::vector<VmEntry> &Live = livePeers(Now);
  if (ServiceLiveVersion == LiveVersion)
    return;
  ServiceLiveVersion = LiveVersion;
  Service.setPeers(Live);
}

void PeerExchange::sendHellos(std::vector<VmEntry> Peers) {
  for (std::size_t I = 0; I < Peers.size(); ++I)
    std::swap(Peers[I], Peers[I + Opts.Random() % (Peers.size() - I)]);
  if (Peers.size() > Opts.HelloFanout) {
    auto FirstRemote = std::stable_partition(
        Peers.begin(), Peers.end(),
        [&](const VmEntry &E) { return E.Region == Opts.Region; });
    std::size_t SameRegionPeers =
        static_cast<std::size_t>(FirstRemote - Peers.begin());
    std::size_t RemoteHellos =
        std::min(Opts.RemoteHellos, Peers.size() - SameRegionPeers);
    std::size_t SameRegionHellos =
        std::min(SameRegionPeers, Opts.HelloFanout - RemoteHellos);
    Peers.erase(FirstRemote + static_cast<std::ptrdiff_t>(RemoteHellos),
                Peers.end());
    Peers.erase(Peers.begin() + static_cast<std::ptrdiff_t>(SameRegionHellos),
                FirstRemote);
  }
  for (const VmEntry &Each : Peers)
    sendHello(Each.RouterPeer);
}

Duration PeerExchange::peerTimeout(const std::vector<VmEntry> &Usable,
                                   bool SameRegion) const {
  if (Usable.size() <= Opts.HelloFanout + 1)
    return Opts.PeerTimeout;
  auto Count = static_cast<std::size_t>(
      std::count_if(Usable.begin(), Usable.end(), [&](const VmEntry &E) {
        return (E.Region == Opts.Region) == SameRegion;
      }));
  std::size_t Hellos =
      SameRegion ? Opts.HelloFanout - Opts.RemoteHellos : Opts.RemoteHellos;
  return Opts.PeerTimeout * std::max<std::size_t>(1, Count / Hellos);
}

void PeerExchange::sweep(TimePoint Now) {
  for (auto It = Queries.begin(); It != Queries.end();) {
    bool IsExpired = Now - It->second.SentAt > internal::QueryTimeout;
    It = IsExpired ? Queries.erase(It) : std::next(It);
  }
  if (Now < NextHello)
    return;
  NextHello = Now + Opts.HelloInterval;
  std::vector<VmEntry> Peers = Members.usable();
  Peers.erase(std::remove_if(Peers.begin(), Peers.end(),
                             [&](const VmEntry &E) { return E.Vm == Opts.Vm; }),
              Peers.end());
  sendHellos(Peers);
  if (Peers.empty())
    for (const std::string &Address : Opts.SeedAddresses)
      if (Address != Opts.Address)
        sendHello(Address + ":" + std::to_string(Opts.Port));
  updateServicePeers(Now);
}

void PeerExchange::broadcastHello() {
  for (const VmEntry &Entry : Members.usable())
    if (Entry.Vm != Opts.Vm)
      sendHello(Entry.RouterPeer);
}

void PeerExchange::broadcastLeaving() {
  Leaving = true;
  broadcastHello();
}

HttpResponse PeerExchange::stateResponse() const {
  HttpResponse Response;
  Response.ContentType = "application/cbor";
  Response.Body = encodeState(Service.state());
  return Response;
}

void PeerExchange::fetchState(const std::string &Vm,
                              const std::string &Address) {
  if (std::exchange(Fetching, true))
    return;
  spawn(Loop, fetchAndApplyState(Vm, Address));
}

boost::asio::awaitable<void>
PeerExchange::fetchAndApplyState(std::string Vm, std::string Address) {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/state";
  HttpResult CallResult =
      co_await Http.call(Address, std::move(Request), internal::FetchTimeout);
  Fetching = false;
  const HttpResponse *Response = std::get_if<HttpResponse>(&CallResult);
  if (!Response || Response->Status != 200) {
    internal::Logger.info(
        "state could not be fetched from a peer; retrying after its next "
        "hello",
        {{"peer", Vm}});
    co_return;
  }
  Result<ProxyState> State = decodeState(Response->Body);
  if (const Error *E = errorOf(State)) {
    internal::Logger.warning(
        "malformed state from a peer ignored; retrying after its next "
        "hello",
        {{"peer", Vm}, {"why", E->Message}});
    co_return;
  }
  ProxyState &Fetched = valueOf(State);
  std::uint64_t Version = Fetched.Config.Version;
  bool Applied = Service.applyConfig(
      std::make_shared<ProxyConfig>(std::move(Fetched.Config)));
  if (!StoreReachable && Fetched.TargetsRevision > Service.targetsRevision())
    Service.applyTargets(Fetched.Targets, Fetched.TargetsRevision);
  if (Applied)
    internal::Logger.info("configuration applied from a peer",
                          {{"peer", Vm}, {"version", std::to_string(Version)}});
}

} // namespace cicadawind
