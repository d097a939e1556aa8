#include "Exchange/ConfigFleet.h"

#include "Platform/StoreRevision.h"

#include <algorithm>
#include <string>

namespace cicadawind::test {

constexpr Duration LatencyInRegion = std::chrono::microseconds(1400);
constexpr Duration LatencyBetweenRegions = std::chrono::microseconds(9400);
/// Time that the store takes to answer.
constexpr Duration StoreTime = std::chrono::milliseconds(4);
constexpr Duration SweepInterval = std::chrono::milliseconds(25);
constexpr Duration HelloInterval = std::chrono::seconds(1);
/// Name of the object that holds the configuration.
static const char *const ObjectName = "main";
/// Revision of the targets of all VMs, which do not change here.
constexpr std::uint64_t TargetsRevision = 1;

static std::uint64_t revisionOf(std::uint64_t Version) {
  return StoreRevision{.Era = 1, .Number = 100 + Version}.pack();
}

ConfigFleet::ConfigFleet(Options NewOpts) : Opts(NewOpts), Random(Opts.Seed) {
  ConfirmedAt[Version] = Now;
  for (std::size_t I = 0; I < Opts.Vms; ++I)
    addVm(I);
  std::vector<VmEntry> All;
  for (const Vm &Each : Vms)
    All.push_back(Each.Entry);
  for (std::size_t I = 0; I < Vms.size(); ++I) {
    for (const VmEntry &To : Vms[I].Gossip->recordListed(All, Now))
      sendHello(I, std::stoul(To.RouterPeer));
    TimePoint First = Now + Millis(Random() % 1000);
    Vms[I].NextHello = First;
    at(First, [this, I] { sweep(I); });
  }
}

void ConfigFleet::addVm(std::size_t Index) {
  std::size_t Domain = Index % Opts.Domains;
  Vm Added;
  Added.Entry.Vm = "vm-" + std::to_string(Index);
  Added.Entry.FailureDomain = "d" + std::to_string(Domain);
  Added.Entry.Region = Domain < Opts.Domains / 2 ? "r0" : "r1";
  Added.Entry.RouterPeer = std::to_string(Index);
  Added.Entry.Incarnation = 1;
  FleetGossip::Options Gossip;
  Gossip.OwnVm = Added.Entry.Vm;
  Gossip.FailureDomain = Added.Entry.FailureDomain;
  Gossip.Region = Added.Entry.Region;
  Gossip.Random = [this] { return Random(); };
  Added.Gossip = std::make_unique<FleetGossip>(Gossip);
  StoreReaders::Options Readers;
  Readers.OwnVm = Added.Entry.Vm;
  Readers.FailureDomain = Added.Entry.FailureDomain;
  Added.Readers = std::make_unique<StoreReaders>(Readers, Now);
  Added.Copy = std::make_unique<WatchedKind>(Opts.Watching);
  StateFetches::Options Fetching;
  Fetching.FailureDomain = Added.Entry.FailureDomain;
  Added.Fetches = std::make_unique<StateFetches>(Fetching);
  Vms.push_back(std::move(Added));
}

void ConfigFleet::at(TimePoint When, std::function<void()> Work) {
  Events.emplace(When, std::move(Work));
}

void ConfigFleet::atVm(std::size_t Index, TimePoint When,
                       std::function<void()> Work) {
  at(When, [this, Index, Work = std::move(Work)] {
    if (isSuspended(Index))
      return atVm(Index, Vms[Index].SuspendedUntil, Work);
    Work();
  });
}

bool ConfigFleet::isSuspended(std::size_t Index) const {
  return Now < Vms[Index].SuspendedUntil;
}

Duration ConfigFleet::latency(std::size_t From, std::size_t To) const {
  bool IsSameRegion = Vms[From].Entry.Region == Vms[To].Entry.Region;
  return IsSameRegion ? LatencyInRegion : LatencyBetweenRegions;
}

Duration ConfigFleet::storeLatency(std::size_t Index) const {
  return Vms[Index].Entry.Region == "r0" ? LatencyInRegion
                                         : LatencyBetweenRegions;
}

void ConfigFleet::change() {
  ++Version;
  ConfirmedAt[Version] = Now;
  std::vector<HeldWatch> Answered = std::exchange(Held, {});
  for (const HeldWatch &Each : Answered)
    respond(Each);
}

void ConfigFleet::changeOften(int Count) {
  for (int I = 0; I < Count; ++I) {
    change();
    runFor(std::chrono::seconds(1));
  }
}

void ConfigFleet::silencePeerConnections(double Share) {
  std::erase_if(PeerLinks, [](const auto &Each) { return Each.expired(); });
  for (const std::weak_ptr<Connection> &Each : PeerLinks)
    if (std::shared_ptr<Connection> Link = Each.lock())
      Link->IsSilent |= toUnit(Random()) < Share;
}

void ConfigFleet::silenceStoreConnections(double Share) {
  for (Vm &Each : Vms)
    if (Each.StoreLink && toUnit(Random()) < Share)
      Each.StoreLink->IsSilent = true;
}

void ConfigFleet::suspendShare(double Share, Duration Length) {
  for (Vm &Each : Vms)
    if (toUnit(Random()) < Share)
      Each.SuspendedUntil = Now + Length;
}

void ConfigFleet::runFor(Duration Length) {
  TimePoint End = Now + Length;
  while (!Events.empty() && Events.begin()->first <= End) {
    auto Next = Events.extract(Events.begin());
    Now = std::max(Now, Next.key());
    Next.mapped()();
  }
  Now = End;
}

Duration ConfigFleet::worstLag(TimePoint From) const {
  Duration Worst = Duration::zero();
  for (const Vm &Each : Vms) {
    if (Each.SuspendedUntil > From)
      continue;
    for (const auto &[Confirmed, At] : ConfirmedAt) {
      if (At < From)
        continue;
      auto Used = std::find_if(
          Each.Uses.begin(), Each.Uses.end(),
          [V = Confirmed](const Use &U) { return U.Version >= V; });
      Worst = std::max(Worst, (Used == Each.Uses.end() ? Now : Used->At) - At);
    }
  }
  return Worst;
}

std::size_t ConfigFleet::users() const {
  return static_cast<std::size_t>(
      std::count_if(Vms.begin(), Vms.end(),
                    [this](const Vm &Each) { return Each.Config == Version; }));
}

void ConfigFleet::sweep(std::size_t Index) {
  Vm &Self = Vms[Index];
  const std::vector<VmEntry> &Peers = Self.Gossip->livePeers(Now);
  std::uint64_t Live = Self.Gossip->liveVersion();
  if (std::exchange(Self.LiveVersion, Live) != Live)
    Self.Readers->setPeers(Peers, Now);
  startDueFetches(Index);
  if (Now >= Self.NextHello) {
    Self.NextHello = Now + HelloInterval;
    announce(Index);
  }
  if (!Self.IsWatching && Self.Readers->mayRead(Now)) {
    Self.IsWatching = true;
    callStore(Index);
  }
  atVm(Index, Now + SweepInterval, [this, Index] { sweep(Index); });
}

StateFetches::OwnState ConfigFleet::ownState(std::size_t Index) const {
  const Vm &Self = Vms[Index];
  return {.Has = {.Config = Self.Config, .TargetsRevision = TargetsRevision},
          .ReadsStore = Self.Readers->mayRead(Now)};
}

ConfigFleet::Hello ConfigFleet::helloOf(std::size_t Index) {
  Vm &Self = Vms[Index];
  Hello Out;
  Out.From = Index;
  Out.Config = Self.Config;
  Out.Mentions = Self.Gossip->chooseMentions(Now);
  Out.Ages = Self.Gossip->chooseAges(Now);
  Out.StoreReads = Self.Readers->latestReads(Now);
  if (Self.Readers->mayRead(Now))
    Out.StoreReads.push_back({.VmHash = FleetGossip::hashOf(Self.Entry.Vm)});
  return Out;
}

void ConfigFleet::sendHello(std::size_t From, std::size_t To) {
  FleetGossip &Gossip = *Vms[From].Gossip;
  Gossip.recordSent(Vms[To].Entry.Vm, Now);
  Hello Sent = helloOf(From);
  Sent.WantsReply = !Gossip.hasContact(Vms[To].Entry.Vm);
  atVm(To, Now + latency(From, To),
       [this, To, Sent = std::move(Sent)] { receive(To, Sent); });
}

void ConfigFleet::announce(std::size_t Index) {
  for (const VmEntry &To : Vms[Index].Gossip->chooseRecipients(Now))
    sendHello(Index, std::stoul(To.RouterPeer));
}

void ConfigFleet::receive(std::size_t Index, const Hello &Received) {
  Vm &Self = Vms[Index];
  const VmEntry &From = Vms[Received.From].Entry;
  if (Self.Gossip->recordHello(From, Received.Mentions, Received.Ages, Now,
                               Received.WantsReply))
    sendHello(Index, Received.From);
  for (const ContactAge &Each : Received.StoreReads)
    Self.Readers->recordRead(Each.VmHash, Now - Each.Age);
  bool IsNear = From.Region == Self.Entry.Region;
  if (IsNear && Received.Config < Self.Config)
    sendHello(Index, Received.From);
  StateFetches::Offer Offered{
      .Vm = From.Vm,
      .Address = From.RouterPeer,
      .FailureDomain = From.FailureDomain,
      .Has = {.Config = Received.Config, .TargetsRevision = TargetsRevision}};
  if (!StateFetches::isNewer(Offered.Has, ownState(Index)))
    return;
  Self.Fetches->recordOffer(Offered, Now);
  startDueFetches(Index);
}

void ConfigFleet::startDueFetches(std::size_t Index) {
  while (auto Next = Vms[Index].Fetches->startNext(ownState(Index), Now))
    fetch(Index, *Next);
}

void ConfigFleet::fetch(std::size_t Index, const StateFetches::Attempt &From) {
  std::size_t To = std::stoul(From.Address);
  std::shared_ptr<Connection> &Kept = KeptLinks[{Index, To}];
  std::shared_ptr<Connection> Link = From.OnNewConnection ? nullptr : Kept;
  Duration RoundTrip = 2 * latency(Index, To);
  Duration Elapsed = RoundTrip;
  if (!Link) {
    Link = std::make_shared<Connection>();
    PeerLinks.push_back(Link);
    Elapsed += RoundTrip;
  }
  if (!From.OnNewConnection)
    Kept = Link;
  auto HasEnded = std::make_shared<bool>(false);
  atVm(To, Now + Elapsed, [this, Index, To, Link, HasEnded] {
    if (Link->IsSilent)
      return;
    atVm(Index, Now, [this, Index, To, HasEnded, Fetched = Vms[To].Config] {
      if (std::exchange(*HasEnded, true))
        return;
      Vms[Index].Fetches->recordEnd(Vms[To].Entry.Vm, true, Now);
      use(Index, Fetched);
    });
  });
  atVm(Index, Now + From.Timeout, [this, Index, To, Link, HasEnded] {
    if (std::exchange(*HasEnded, true))
      return;
    KeptLinks.erase({Index, To});
    Vms[Index].Fetches->recordEnd(Vms[To].Entry.Vm, false, Now);
    startDueFetches(Index);
  });
}

void ConfigFleet::use(std::size_t Index, std::uint64_t Fetched) {
  Vm &Self = Vms[Index];
  if (Fetched <= Self.Config)
    return;
  Self.Config = Fetched;
  Self.Uses.push_back({.Version = Fetched, .At = Now});
  announce(Index);
}

void ConfigFleet::callStore(std::size_t Index) {
  Vm &Self = Vms[Index];
  if (!Self.Readers->mayRead(Now)) {
    Self.Copy->recordGap();
    Self.IsWatching = false;
    return;
  }
  WatchedKind::Call Call = Self.Copy->nextCall();
  std::uint64_t Number = ++Self.StoreCall;
  Duration Elapsed = 2 * storeLatency(Index) + StoreTime;
  if (!Self.StoreLink) {
    Self.StoreLink = std::make_shared<Connection>();
    Elapsed += 2 * storeLatency(Index);
  }
  bool IsList = Call.Kind == WatchedKind::Operation::List;
  HeldWatch Watch{.Vm = Index,
                  .Call = Number,
                  .Since = StoreRevision::unpack(Call.Since).Number,
                  .Link = Self.StoreLink};
  at(Now + Elapsed, [this, Watch, IsList, Wait = Call.Wait] {
    if (Watch.Link->IsSilent)
      return;
    if (IsList)
      return atVm(Watch.Vm, Now, [this, Watch, Listed = Version] {
        finishStoreCall(Watch.Vm, Watch.Call, WatchedKind::Operation::List,
                        Listed);
      });
    if (Watch.Since < StoreRevision::unpack(revisionOf(Version)).Number)
      return respond(Watch);
    Held.push_back(Watch);
    at(Now + Wait, [this, Watch] {
      std::erase_if(Held, [&](const HeldWatch &Each) {
        return Each.Vm == Watch.Vm && Each.Call == Watch.Call;
      });
      respond(Watch);
    });
  });
  atVm(Index, Now + Call.Timeout, [this, Index, Number] {
    Vm &Waiting = Vms[Index];
    if (Waiting.StoreCall != Number)
      return;
    ++Waiting.StoreCall;
    Waiting.StoreLink.reset();
    Waiting.Copy->recordFailure();
    Waiting.Readers->recordFailure(Now);
    scheduleStoreCall(Index);
  });
}

void ConfigFleet::respond(const HeldWatch &To) {
  atVm(To.Vm, Now + storeLatency(To.Vm), [this, To, Sent = Version] {
    if (!To.Link->IsSilent)
      finishStoreCall(To.Vm, To.Call, WatchedKind::Operation::Watch, Sent);
  });
}

void ConfigFleet::finishStoreCall(std::size_t Index, std::uint64_t Call,
                                  WatchedKind::Operation Kind,
                                  std::uint64_t Read) {
  Vm &Self = Vms[Index];
  if (Self.StoreCall != Call)
    return;
  ++Self.StoreCall;
  StoredObject Object{.Value = std::to_string(Read),
                      .Version = revisionOf(Read)};
  if (Kind == WatchedKind::Operation::List) {
    Self.Copy->recordList({{ObjectName, Object}}, revisionOf(Read));
  } else {
    std::vector<ObjectChange> Changes;
    if (revisionOf(Read) > Self.Copy->revision())
      Changes.push_back({.Name = ObjectName, .Object = Object});
    Self.Copy->recordChanges(std::move(Changes), revisionOf(Read));
  }
  use(Index, Read);
  scheduleStoreCall(Index);
}

void ConfigFleet::scheduleStoreCall(std::size_t Index) {
  Duration Delay = Vms[Index].Copy->nextCall().Delay;
  atVm(Index, Now + Delay, [this, Index] { callStore(Index); });
}

} // namespace cicadawind::test
