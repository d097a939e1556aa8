// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Exchange/PeerExchange.h"

#include "Async/AsyncSignal.h"
#include "Http/HttpServer.h"
#include "Observability/Log.h"
#include "Proxy/ProxyService.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace cicadawind {
namespace internal {

static const Log Logger("peers");

} // namespace internal

static FleetGossip::Options gossipOptions(const PeerExchange::Options &Opts) {
  FleetGossip::Options Out;
  Out.OwnVm = Opts.Vm;
  Out.FailureDomain = Opts.FailureDomain;
  Out.Region = Opts.Region;
  Out.PeerTimeout = Opts.PeerTimeout;
  Out.Random = Opts.Random;
  return Out;
}

static StoreReaders::Options readerOptions(const PeerExchange::Options &Opts) {
  StoreReaders::Options Out;
  Out.OwnVm = Opts.Vm;
  Out.FailureDomain = Opts.FailureDomain;
  return Out;
}

static StateFetches::Options fetchOptions(const PeerExchange::Options &Opts) {
  StateFetches::Options Out;
  Out.FailureDomain = Opts.FailureDomain;
  return Out;
}

/// Returns what identifies the state that \p Hello announces.
static StateFetches::Versions versionsOf(const PeerHello &Hello) {
  return {.Config = Hello.ConfigVersion,
          .TargetsRevision = Hello.TargetsRevision,
          .TargetsHash = Hello.TargetsHash};
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
      Fleet(gossipOptions(Opts)),
      Readers(readerOptions(Opts), BootClock::now()), Socket(Loop),
      Incarnation(newIncarnation()), Fetches(fetchOptions(Opts)),
      Reporters({.OwnVm = Opts.Vm, .Region = Opts.Region}),
      DoubtReporters({.OwnVm = Opts.Vm}), Shared(SharedEvidence::Options{}),
      ListTimer(Loop), Voters({.OwnVm = Opts.Vm}) {}

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
  const std::string &Bound =
      Opts.BindAddress.empty() ? Opts.Address : Opts.BindAddress;
  boost::asio::ip::udp::endpoint Own(boost::asio::ip::make_address(Bound),
                                     Opts.Port);
  boost::asio::ip::udp::socket Opened(Loop, Own);
  Opened.non_blocking(true);
  HttpServer::Options ServerOpts;
  ServerOpts.Address = Bound;
  ServerOpts.Port = Opts.Port;
  ServerOpts.MaxConnections = 64;
  StateServer = std::make_unique<HttpServer>(
      Loop, ServerOpts,
      [this](HttpRequest Request) -> boost::asio::awaitable<HttpResponse> {
        co_return respond(Request);
      });
  Socket = std::move(Opened);
  receiveNext();
  StartedAt = BootClock::now();
  sendHelloToSeeds(StartedAt);
}

void PeerExchange::sendHelloToSeeds(TimePoint Now) {
  for (const std::string &Address : Opts.SeedAddresses)
    if (Address != Opts.Address)
      sendTo(Address + ":" + std::to_string(Opts.Port), makeHello(Now));
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
  else if (const auto *Quota = std::get_if<PeerQuotaMessage>(&Decoded))
    handleQuota(*Quota);
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

void PeerExchange::handleQuota(const PeerQuotaMessage &Message) {
  if (QuotaHook && Message.From != Opts.Vm)
    QuotaHook(Message.From, Message.Message);
}

void PeerExchange::send(const std::string &Vm, const QuotaMessage &Message) {
  const VmEntry *Entry = Fleet.members().find(Vm);
  auto Listed = ListedAddresses.find(Vm);
  if (Entry)
    sendTo(Entry->RouterPeer,
           PeerQuotaMessage{.From = Opts.Vm, .Message = Message});
  else if (Listed != ListedAddresses.end())
    sendTo(Listed->second,
           PeerQuotaMessage{.From = Opts.Vm, .Message = Message});
}

void PeerExchange::send(const std::set<std::string> &Vms,
                        const PeerMessage &Message) {
  std::map<std::string, std::string> Addresses = ListedAddresses;
  for (const VmEntry &Entry : Fleet.members().all())
    Addresses[Entry.Vm] = Entry.RouterPeer;
  for (const auto &[Vm, Address] : Addresses)
    if (Vm != Opts.Vm && Vms.count(Vm))
      sendTo(Address, Message);
}

void PeerExchange::handleHello(const PeerHello &Hello, TimePoint Now) {
  const VmEntry &From = Hello.Self;
  if (From.Vm == Opts.Vm)
    return;
  if (!Fleet.hasContact(From.Vm))
    internal::Logger.info("first contact with a VM",
                          {{"peer", From.Vm},
                           {"address", From.RouterPeer},
                           {"domain", From.FailureDomain}});
  for (const FleetMention &Other : Hello.Others)
    if (Other.Entry.Vm == Opts.Vm)
      adoptIncarnation(Other.Entry);
    else
      Voters.recordNamed(Other.Entry.Vm, Now - Other.ContactAge, Now);
  if (Fleet.recordHello(From, Hello.Others, Hello.Ages, Now, Hello.WantsReply))
    sendHello(From, Now);
  // A hello that arrives late does not tell yet that its sender leaves.
  Voters.recordContact(From.Vm, Fleet.members().isLeaving(From.Vm), Now);
  for (const FleetMention &Other : Hello.Others)
    Voters.recordLeaving(Other.Entry.Vm,
                         Fleet.members().isLeaving(Other.Entry.Vm), Now);
  for (const ContactAge &Each : Hello.Ages)
    if (const std::string *Vm = Fleet.findName(Each.VmHash))
      Voters.recordNamed(*Vm, Now - Each.Age, Now);
  for (const ContactAge &Each : Hello.StoreReads)
    Readers.recordRead(Each.VmHash, Now - Each.Age);
  bool IsNear = From.Region == Opts.Region;
  if (IsNear && Fleet.isIncomplete(Now))
    fetchMembers(From);
  reportLaterIncarnation(From);
  updateServicePeers(Now);
  bool ConfirmsTargets = !readsStore(Now) &&
                         Hello.TargetsRevision > Service.targetsRevision() &&
                         Hello.TargetsHash == Service.targetsHash();
  if (ConfirmsTargets)
    Service.confirmTargets(Hello.TargetsRevision);
  if (IsNear && lacksState(Hello))
    sendTo(From.RouterPeer, ownHello());
  if (!StateFetches::isNewer(versionsOf(Hello), ownState(Now)))
    return;
  recordNewerState(Hello, Now);
  fetchIfDue(Now);
}

void PeerExchange::setStoreReachable(bool Reachable) {
  StoreReachable = Reachable;
  if (!Reachable)
    Readers.recordFailure(BootClock::now());
}

bool PeerExchange::readsStore(TimePoint Now) const {
  // A VM without targets has just started, and applies whatever arrives first.
  return StoreReachable && Readers.mayRead(Now) &&
         Service.targetsRevision() != 0;
}

bool PeerExchange::lacksState(const PeerHello &Hello) const {
  bool HasOlderTargets = Hello.TargetsRevision < Service.targetsRevision() &&
                         Hello.TargetsHash != Service.targetsHash();
  return Hello.ConfigVersion < Service.config().Version || HasOlderTargets;
}

void PeerExchange::recordNewerState(const PeerHello &Hello, TimePoint Now) {
  const VmEntry &From = Hello.Self;
  if (Service.recordAnnouncedConfig(Hello.ConfigVersion, From.Vm, Now))
    internal::Logger.info(
        "newer configuration announced",
        {{"peer", From.Vm},
         {"version", std::to_string(Hello.ConfigVersion)},
         {"active", std::to_string(Service.config().Version)},
         {"reads_store", readsStore(Now) ? "true" : "false"}});
  Fetches.recordOffer({.Vm = From.Vm,
                       .Address = From.RouterPeer,
                       .FailureDomain = From.FailureDomain,
                       .Has = versionsOf(Hello)},
                      Now);
}

void PeerExchange::adoptIncarnation(const VmEntry &Other) {
  if (Other == self() || Other.Incarnation < Incarnation)
    return;
  // Either the system clock was set back before this VM started, so that peers
  // ignore its entry as outdated, or the sender does not know yet that this VM
  // is leaving. Peers accept the entry with a higher incarnation.
  Incarnation = Other.Incarnation + 1;
  announce();
}

StateFetches::OwnState PeerExchange::ownState(TimePoint Now) const {
  return {.Has = versionsOf(ownHello()), .ReadsStore = readsStore(Now)};
}

void PeerExchange::fetchIfDue(TimePoint Now) {
  while (auto Next = Fetches.startNext(ownState(Now), Now))
    spawn(Loop, fetchAndApplyState(std::move(*Next)));
}

void PeerExchange::reportLaterIncarnation(const VmEntry &From) {
  const VmEntry *Known = Fleet.members().find(From.Vm);
  if (!Known || Known->Incarnation <= From.Incarnation)
    return;
  PeerHello Hello = ownHello();
  Hello.Others.push_back({.Entry = *Known});
  sendTo(From.RouterPeer, Hello);
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

PeerHello PeerExchange::ownHello() const {
  PeerHello Hello;
  Hello.Self = self();
  Hello.ConfigVersion = Service.config().Version;
  Hello.TargetsRevision = Service.targetsRevision();
  Hello.TargetsHash = Service.targetsHash();
  return Hello;
}

PeerHello PeerExchange::makeHello(TimePoint Now) {
  PeerHello Hello = ownHello();
  Hello.Others = Fleet.chooseMentions(Now);
  Hello.Ages = Fleet.chooseAges(Now);
  Hello.StoreReads = Readers.latestReads(Now);
  if (readsStore(Now))
    Hello.StoreReads.push_back({.VmHash = FleetGossip::hashOf(Opts.Vm)});
  return Hello;
}

void PeerExchange::sendHello(const VmEntry &To, TimePoint Now) {
  Fleet.recordSent(To.Vm, Now);
  PeerHello Hello = makeHello(Now);
  Hello.WantsReply = !Fleet.hasContact(To.Vm);
  sendTo(To.RouterPeer, Hello);
}

void PeerExchange::contactListed(const std::vector<VmEntry> &Entries) {
  TimePoint Now = BootClock::now();
  HasList = true;
  for (const VmEntry &Entry : Entries) {
    if (Entry.Vm == Opts.Vm || Fleet.hasContact(Entry.Vm))
      continue;
    Voters.recordListed(Entry.Vm, Entry.Provisional);
    ListedAddresses[Entry.Vm] = Entry.RouterPeer;
  }
  std::vector<VmEntry> Known = Entries;
  for (VmEntry &Each : Known)
    Each.Provisional = false;
  for (const VmEntry &To : Fleet.recordListed(Known, Now))
    sendHello(To, Now);
  updateServicePeers(Now);
}

bool PeerExchange::knowsFleet(TimePoint Now) const {
  if (HasList)
    return true;
  bool HasSeeds = std::any_of(
      Opts.SeedAddresses.begin(), Opts.SeedAddresses.end(),
      [this](const std::string &Each) { return Each != Opts.Address; });
  return Now - StartedAt >= Opts.DiscoveryTimeout &&
         (!HasSeeds || !livePeers(Now).empty());
}

void PeerExchange::updateServicePeers(TimePoint Now) {
  // A VM that knows only a part of the fleet would take the targets'
  // connections of the others.
  if (!HasList && Now - StartedAt < Opts.DiscoveryTimeout)
    return;
  const std::vector<VmEntry> &Live = Fleet.livePeers(Now);
  if (ServiceLiveVersion == Fleet.liveVersion())
    return;
  ServiceLiveVersion = Fleet.liveVersion();
  Readers.setPeers(Live, Now);
  Service.setPeers(Live);
}

void PeerExchange::sweep(TimePoint Now) {
  dropExpiredQueries(Now);
  Shared.dropExpired(Now);
  sendDueLists(Now);
  fetchIfDue(Now);
  fetchDeparturesIfDue(Now);
  sendProbes(Now);
  if (Now < NextHello)
    return;
  NextHello = Now + Opts.HelloInterval;
  std::vector<VmEntry> Recipients = Fleet.chooseRecipients(Now);
  for (const VmEntry &To : Recipients)
    sendHello(To, Now);
  if (Recipients.empty())
    sendHelloToSeeds(Now);
  updateServicePeers(Now);
}

bool PeerExchange::isFirstOfDomain(TimePoint Now) const {
  const std::vector<VmEntry> &Live = livePeers(Now);
  return !Leaving &&
         std::none_of(Live.begin(), Live.end(), [this](const VmEntry &Each) {
           return Each.FailureDomain == Opts.FailureDomain &&
                  hashText(Each.Vm) < hashText(Opts.Vm);
         });
}

void PeerExchange::sendProbes(TimePoint Now) {
  if (Now < NextProbes)
    return;
  NextProbes = Now + Opts.ProbesInterval;
  for (const VmEntry &To : Fleet.chooseProbes(Now))
    sendHello(To, Now);
  updateServicePeers(Now);
}

void PeerExchange::announce() {
  TimePoint Now = BootClock::now();
  for (const VmEntry &To : Fleet.chooseRecipients(Now))
    sendHello(To, Now);
}

void PeerExchange::broadcastLeaving() {
  Leaving = true;
  PeerHello Hello = ownHello();
  for (const VmEntry &Entry : Fleet.members().usable())
    if (Entry.Vm != Opts.Vm)
      sendTo(Entry.RouterPeer, Hello);
}

} // namespace cicadawind
