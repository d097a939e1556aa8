// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Proxy/ProxyWorld.h"

#include "Observability/Log.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <random>

namespace cicadawind::test {

using Tcp = boost::asio::ip::tcp;

/// Time after which a wait for a condition fails.
constexpr Duration WaitTimeout = std::chrono::seconds(5);
constexpr Duration SweepInterval = std::chrono::milliseconds(5);
constexpr unsigned MaxConnections = 8;

static RouteConfig routeTo(const std::string &Database, Consistency Reads,
                           Millis MaxStaleness) {
  return RouteConfig{.Database = Database,
                     .Group = "g",
                     .Reads = Reads,
                     .MaxStaleness = MaxStaleness,
                     .StatementTimeout = Millis(800),
                     .LatencyObjective = Millis(500)};
}

ProxyWorld::ProxyWorld(bool UsesSlowStart) {
  Log::start("test", LogLevel::Error);
  for (const std::string Id : {"a", "b", "c"})
    Instances[Id] = std::make_unique<emulator::EmulatedInstance>(
        Loop, Group, Id, MaxConnections);
  ProxyService::Options Opts;
  Opts.Codec = &Codec;
  Opts.FailureDomain = "d1";
  Opts.Region = "r1";
  Opts.Regions = {{"d1", "r1"}};
  auto Engine = std::make_shared<std::mt19937_64>(7);
  Opts.Random = [Engine] { return (*Engine)(); };
  Opts.Group.Links.UsesSlowStart = UsesSlowStart;
  Service = std::make_unique<ProxyService>(Loop, Opts, Meter);
  Config = std::make_shared<ProxyConfig>();
  Config->Version = 1;
  Config->Groups["g"].MaxConnections = MaxConnections;
  Config->Routes["latest"] = routeTo("latest", Consistency::Latest, Millis(0));
  Config->Routes["bounded"] =
      routeTo("bounded", Consistency::BoundedStaleness, Millis(1500));
  Config->Routes["own"] =
      routeTo("own", Consistency::ReadYourWrites, Millis(2500));
  Service->applyConfig(Config);
  applyListedTargets();
  runUntil([this] { return Service->findGroup("g")->tracker().isConfirmed(); });
}

ProxyWorld::~ProxyWorld() { Service.reset(); }

void ProxyWorld::setSynchronousReplicas(unsigned Count) {
  auto Next = std::make_shared<ProxyConfig>(*Config);
  ++Next->Version;
  Next->Groups["g"].SynchronousReplicas = Count;
  Config = Next;
  Service->applyConfig(Config);
}

std::vector<TargetEntry> ProxyWorld::listedTargets() const {
  std::vector<TargetEntry> Entries;
  for (const auto &[Id, Each] : Instances) {
    if (Group.instances().at(Id).Down)
      continue;
    bool IsLeaving =
        std::find(Leaving.begin(), Leaving.end(), Id) != Leaving.end();
    Entries.push_back(TargetEntry{.Instance = Id,
                                  .Group = "g",
                                  .Address = Each->address(),
                                  .FailureDomain = "d1",
                                  .Slots = 2,
                                  .Leaving = IsLeaving,
                                  .ClaimsPrimary = Group.primary() == Id});
  }
  return Entries;
}

void ProxyWorld::applyListedTargets() {
  Service->applyTargets(listedTargets(), Service->targetsRevision() + 1);
}

bool ProxyWorld::runUntil(const std::function<bool()> &Condition) {
  TimePoint End = BootClock::now() + WaitTimeout;
  while (!Condition()) {
    TimePoint Now = BootClock::now();
    if (Now > End)
      return false;
    if (Now - LastSweep > SweepInterval) {
      LastSweep = Now;
      Service->sweep(Now);
      if (SweepHook)
        SweepHook(Now);
    }
    Loop.restart();
    Loop.run_one_for(std::chrono::milliseconds(1));
  }
  return true;
}

void ProxyWorld::runFor(Duration Time) {
  TimePoint End = BootClock::now() + Time;
  runUntil([&] { return BootClock::now() >= End; });
}

std::vector<emulator::RunRecord>
ProxyWorld::recordsOf(const std::string &Id) const {
  std::vector<emulator::RunRecord> Out;
  for (const emulator::RunRecord &Record : callersRecords())
    if (Record.Id == Id)
      Out.push_back(Record);
  return Out;
}

std::vector<emulator::RunRecord> ProxyWorld::callersRecords() const {
  // The proxy's own requests have the id "-".
  std::vector<emulator::RunRecord> Out;
  for (const auto &[Id, Each] : Instances)
    for (const emulator::RunRecord &Record : Each->Records)
      if (Record.Id != "-")
        Out.push_back(Record);
  return Out;
}

ProxyCaller::ProxyCaller(ProxyWorld &World, ProxyService &Service,
                         const std::string &Database, const std::string &Key)
    : World(World), Socket(World.Loop) {
  Tcp::acceptor Acceptor(
      World.Loop, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  Socket.connect(Acceptor.local_endpoint());
  Service.accept(Acceptor.accept());
  Socket.non_blocking(true);
  send("STARTUP " + Database + " " + Key);
  Opening = receive();
}

void ProxyCaller::sendRaw(const std::string &Bytes) {
  // An error is ignored, since the proxy may have closed the connection.
  boost::system::error_code Code;
  Socket.write_some(boost::asio::buffer(Bytes), Code);
}

void ProxyCaller::readSome() {
  char Part[4096];
  boost::system::error_code Code;
  std::size_t Count = Socket.read_some(boost::asio::buffer(Part), Code);
  Received.append(Part, Count);
  if (Code && Code != boost::asio::error::would_block)
    ConnectionEnded = true;
}

std::vector<std::string> ProxyCaller::receive() {
  std::vector<std::string> Lines;
  World.runUntil([&] {
    readSome();
    for (std::string Line; takeLine(Line);) {
      Lines.push_back(Line);
      if (Line.starts_with("READY"))
        return true;
    }
    return ConnectionEnded;
  });
  return Lines;
}

bool ProxyCaller::takeLine(std::string &Line) {
  std::size_t End = Received.find("\r\n");
  if (End == std::string::npos)
    return false;
  Line = Received.substr(0, End);
  Received.erase(0, End + 2);
  return true;
}

std::vector<std::string> ProxyCaller::takeReceived() {
  readSome();
  std::vector<std::string> Lines;
  for (std::string Line; takeLine(Line);)
    Lines.push_back(Line);
  return Lines;
}

std::string ProxyCaller::ask(const std::string &Text) {
  static int LastNumber = 0;
  LastId = "q" + std::to_string(++LastNumber);
  send("QUERY " + LastId + " " + Text);
  std::string Out;
  for (const std::string &Line : receive())
    Out += (Out.empty() ? "" : " | ") + Line;
  return Out;
}

bool ProxyCaller::isClosed() {
  return World.runUntil([this] {
    readSome();
    return ConnectionEnded;
  });
}

} // namespace cicadawind::test
