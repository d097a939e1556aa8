// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Promotion/LeasedFleet.h"

#include "Async/AsyncSignal.h"
#include "Leases/LeasedPrimaryGuard.h"
#include "Observability/Log.h"

#include <boost/asio.hpp>

#include <random>

namespace cicadawind::test {

using Tcp = boost::asio::ip::tcp;

constexpr unsigned VmCount = 3;
constexpr unsigned MaxConnections = 30;
constexpr Duration WaitTimeout = std::chrono::seconds(8);
constexpr Duration SweepInterval = std::chrono::milliseconds(5);
constexpr Duration PromotionTime = std::chrono::milliseconds(100);

boost::asio::awaitable<PromotionOutcome>
UnfencedPromotionService::promote(std::string, std::string Instance,
                                  std::string Holder, std::uint64_t Token,
                                  Duration Timeout) {
  Orders.push_back({.Instance = Instance, .Holder = Holder, .Token = Token});
  if (Late > 0) {
    --Late;
    spawn(Loop, carryOutLater(Instance));
    co_await sleepFor(Timeout);
    co_return PromotionOutcome::Unknown;
  }
  if (Group.at(Instance).Down)
    co_return PromotionOutcome::Refused;
  co_await sleepFor(PromotionTime);
  Group.promote(Instance, BootClock::now());
  co_return PromotionOutcome::Accepted;
}

boost::asio::awaitable<void>
UnfencedPromotionService::carryOutLater(std::string Instance) {
  co_await sleepFor(LateBy);
  if (!Group.at(Instance).Down)
    Group.promote(Instance, BootClock::now());
}

static RouteConfig routeTo(const std::string &Database, Consistency Reads) {
  return RouteConfig{.Database = Database,
                     .Group = "g",
                     .Reads = Reads,
                     .MaxStaleness = Millis(1500),
                     .StatementTimeout = Millis(1500),
                     .LatencyObjective = Millis(800)};
}

static std::shared_ptr<ProxyConfig> configuration() {
  auto Config = std::make_shared<ProxyConfig>();
  Config->Version = 1;
  Config->Groups["g"].MaxConnections = MaxConnections;
  Config->Routes["latest"] = routeTo("latest", Consistency::Latest);
  Config->Routes["bounded"] = routeTo("bounded", Consistency::BoundedStaleness);
  return Config;
}

LeasedFleet::Vm::Vm(LeasedFleet &Fleet, unsigned Number)
    : Name("vm-" + std::to_string(Number)) {
  std::vector<TargetEntry> Entries;
  for (const std::string Id : {"a", "b", "c"}) {
    Paths[Id] = std::make_unique<emulator::EmulatedInstance>(
        Fleet.Loop, Fleet.Group, Id, MaxConnections);
    Entries.push_back(TargetEntry{.Instance = Id,
                                  .Group = "g",
                                  .Address = Paths[Id]->address(),
                                  .FailureDomain = "d1",
                                  .Slots = 4,
                                  .ClaimsPrimary = Id == "a"});
  }
  auto Engine = std::make_shared<std::mt19937_64>(Number);
  ProxyService::Options Opts;
  Opts.Codec = &Fleet.Codec;
  Opts.Vm = Name;
  Opts.FailureDomain = "d1";
  Opts.Region = "r1";
  Opts.Regions = {{"d1", "r1"}};
  Opts.Random = [Engine] { return (*Engine)(); };
  Opts.Group.MakeGuard = [] {
    // As if the VMs had been started long ago.
    TimePoint StartedAt = BootClock::now() - std::chrono::minutes(1);
    return std::make_unique<LeasedPrimaryGuard>(LeasedPrimaryGuard::Options{},
                                                StartedAt);
  };
  Service = std::make_unique<ProxyService>(Fleet.Loop, Opts, Meter);
  PeerExchange::Options PeerOpts;
  PeerOpts.Vm = Name;
  PeerOpts.FailureDomain = "d1";
  PeerOpts.Region = "r1";
  PeerOpts.Address = "127.0.0." + std::to_string(10 + Number);
  PeerOpts.Port = Fleet.PeerPort;
  PeerOpts.RelayPort = static_cast<std::uint16_t>(Fleet.PeerPort + 1);
  PeerOpts.SeedAddresses = {"127.0.0.10", "127.0.0.11", "127.0.0.12"};
  PeerOpts.Random = Opts.Random;
  Peers = std::make_unique<PeerExchange>(Fleet.Loop, PeerOpts, Fleet.Http,
                                         *Service);
  PromotionDriver::Options DriverOpts;
  DriverOpts.Vm = Name;
  DriverOpts.PlatformFences = false;
  DriverOpts.Tokens.ReservationInterval = std::chrono::minutes(1);
  Driver = std::make_unique<PromotionDriver>(Fleet.Loop, DriverOpts, *Service,
                                             *Peers, Fleet.Store,
                                             Fleet.Promotions, Meter);
  Service->setQueryPeers(
      [this](const std::string &Group, const std::string &Instance) {
        Peers->queryPrimary(Group, Instance, BootClock::now());
      });
  Service->setLeaseHooks(
      [this](const std::string &Group, Term Leading) {
        Driver->leases().requestVotes(Group, Leading);
      },
      [this](const std::string &Group) {
        return Driver->leasePeer(Group, BootClock::now());
      },
      [this](const std::string &To, const std::string &Group, Term Leading) {
        Driver->leases().requestEvidence(To, Group, Leading);
      });
  Service->applyConfig(configuration());
  Service->applyTargets(Entries, 1);
}

bool LeasedFleet::Vm::leases(const std::string &Instance) {
  return group().guard().mayUse(Instance, BootClock::now());
}

LeasedFleet::LeasedFleet() {
  Log::start("test", LogLevel::Error);
  PeerPort = static_cast<std::uint16_t>(Ports.next());
  for (unsigned Number = 0; Number < VmCount; ++Number)
    Vms.push_back(std::make_unique<Vm>(*this, Number));
  for (auto &Each : Vms)
    Each->Peers->start();
  runUntil([this] {
    for (auto &Each : Vms)
      if (Each->Peers->livePeers(BootClock::now()).size() + 1 < VmCount)
        return false;
    return true;
  });
}

LeasedFleet::~LeasedFleet() {
  for (auto &Each : Vms) {
    Each->Driver.reset();
    Each->Peers.reset();
    Each->Service.reset();
  }
}

bool LeasedFleet::runUntil(const std::function<bool()> &Condition) {
  TimePoint End = BootClock::now() + WaitTimeout;
  while (!Condition()) {
    TimePoint Now = BootClock::now();
    if (Now > End)
      return false;
    if (Now - LastSweep > SweepInterval) {
      LastSweep = Now;
      for (auto &Each : Vms) {
        if (Each->IsFrozen)
          continue;
        Each->Service->sweep(Now);
        Each->Peers->sweep(Now);
        Each->Driver->sweep(Now);
      }
    }
    Loop.restart();
    Loop.run_one_for(std::chrono::milliseconds(1));
  }
  return true;
}

void LeasedFleet::runFor(Duration Time) {
  TimePoint End = BootClock::now() + Time;
  runUntil([&] { return BootClock::now() >= End; });
}

bool LeasedFleet::waitForLeases(const std::string &Instance) {
  return runUntil([&] {
    for (auto &Each : Vms)
      if (!Each->leases(Instance))
        return false;
    return true;
  });
}

void LeasedFleet::openProposal(const std::string &Holder, Term NewTerm) {
  constexpr std::uint64_t Token = 1;
  TimePoint Now = BootClock::now();
  for (auto &Each : Vms) {
    PrimaryGuard &Guard = Each->group().guard();
    Guard.promise()->vote(
        {.Holder = Holder, .Token = Token, .NewTerm = NewTerm}, Now);
    Guard.lease()->giveUp(NewTerm, Now);
  }
}

void LeasedFleet::cut(const std::string &Instance, int OnlyVm) {
  for (std::size_t I = 0; I < Vms.size(); ++I)
    if (OnlyVm < 0 || static_cast<int>(I) == OnlyVm)
      Vms[I]->Paths.at(Instance)->Faults.Silent = true;
}

void LeasedFleet::heal(const std::string &Instance) {
  for (auto &Each : Vms) {
    Each->Paths.at(Instance)->Faults.Silent = false;
    Each->Paths.at(Instance)->resetConnections();
  }
}

std::string LeasedFleet::ask(unsigned VmNumber, const std::string &Database,
                             const std::string &Text) {
  static int LastNumber = 0;
  LastId = "w" + std::to_string(++LastNumber);
  Tcp::socket Socket(Loop);
  Tcp::acceptor Acceptor(
      Loop, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  Socket.connect(Acceptor.local_endpoint());
  Vms[VmNumber]->Service->accept(Acceptor.accept());
  Socket.non_blocking(true);
  std::string Request = "STARTUP " + Database + " someone\r\nQUERY " + LastId +
                        " " + Text + "\r\n";
  Socket.write_some(boost::asio::buffer(Request));
  std::string Received;
  auto ReadyCount = [&] {
    std::size_t Count = 0;
    for (std::size_t At = Received.find("READY"); At != std::string::npos;
         At = Received.find("READY", At + 1))
      ++Count;
    return Count;
  };
  runUntil([&] {
    char Part[1024];
    boost::system::error_code Code;
    std::size_t Count = Socket.read_some(boost::asio::buffer(Part), Code);
    Received.append(Part, Count);
    return ReadyCount() == 2;
  });
  std::size_t First = Received.find("\r\n");
  std::string Answer =
      First == std::string::npos ? "" : Received.substr(First + 2);
  return Answer.substr(0, Answer.find("\r\n"));
}

std::size_t LeasedFleet::runsOf(const std::string &Instance,
                                const std::string &Id) {
  std::size_t Count = 0;
  for (auto &Each : Vms)
    for (const emulator::RunRecord &Record : Each->Paths.at(Instance)->Records)
      Count += Record.Id == Id ? 1 : 0;
  return Count;
}

} // namespace cicadawind::test
