// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "System/RelayedFleet.h"

#include "EntryDecoders.h"
#include "Membership/VmEntryCodec.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include <sys/socket.h>
#include <sys/time.h>

namespace cicadawind::test {

constexpr Duration RunInterval = std::chrono::milliseconds(20);
constexpr Duration EndTimeout = std::chrono::seconds(20);
constexpr timeval CallTimeout{.tv_sec = 2, .tv_usec = 0};

static boost::asio::ip::tcp::endpoint tcpEndpoint(const std::string &Address,
                                                  int Port) {
  return {boost::asio::ip::make_address(Address),
          static_cast<std::uint16_t>(Port)};
}

static boost::asio::ip::udp::endpoint udpEndpoint(const std::string &Address,
                                                  int Port) {
  return {boost::asio::ip::make_address(Address),
          static_cast<std::uint16_t>(Port)};
}

std::string RelayedFleet::boundAddress(std::size_t Index) {
  return "127.0.78." + std::to_string(Index + 1);
}

std::string RelayedFleet::relayAddress(std::size_t Index) {
  return "127.0.77." + std::to_string(Index + 1);
}

RelayedFleet::RelayedFleet(Options Opts)
    : Accounts(Opts.Accounts), Store(Loop, "127.0.0.1", 0) {
  int PeerPort = Ports.nextPair();
  int StorePort = Ports.next();
  StoreRelay =
      std::make_unique<TcpRelay>(Loop, tcpEndpoint("127.0.0.1", StorePort),
                                 tcpEndpoint("127.0.0.1", Store.port()));
  addDatabase();
  listLostVms(Opts.LostVms, PeerPort);
  std::vector<std::string> Seeds;
  for (std::size_t I = 0; I < Opts.Vms; ++I)
    Seeds.push_back(relayAddress(I) + ":" + std::to_string(PeerPort));
  for (std::size_t I = 0; I < Opts.Vms; ++I) {
    PeerRelays.push_back(
        std::make_unique<TcpRelay>(Loop, tcpEndpoint(relayAddress(I), PeerPort),
                                   tcpEndpoint(boundAddress(I), PeerPort)));
    DatagramRelays.push_back(
        std::make_unique<UdpRelay>(Loop, udpEndpoint(relayAddress(I), PeerPort),
                                   udpEndpoint(boundAddress(I), PeerPort)));
    ProxyProcess::Options Process;
    Process.Programs = Opts.Programs;
    Process.Vm = "vm-" + std::to_string(I);
    Process.Address = relayAddress(I);
    Process.BindAddress = boundAddress(I);
    Process.Seeds = Seeds;
    Process.StoreAddress = "127.0.0.1:" + std::to_string(StorePort);
    Process.PeerPort = PeerPort;
    Processes.push_back(std::make_unique<ProxyProcess>(Process));
    if (I < Opts.Started)
      Processes.back()->start();
  }
}

void RelayedFleet::listLostVms(std::size_t Count, int PeerPort) {
  for (std::size_t I = 0; I < Count; ++I) {
    std::string Address = "127.0." + std::to_string(100 + I / 200) + "." +
                          std::to_string(1 + I % 200) + ":";
    VmEntry Lost{.Vm = "lost-" + std::to_string(I),
                 .FailureDomain = "d1",
                 .Region = "r1",
                 .RouterPeer = Address + std::to_string(PeerPort),
                 .PoolerPeer = Address + std::to_string(PeerPort + 1),
                 .Incarnation = 1 + I,
                 .Provisional = true};
    Store.put("cicadawind-vms", Lost.Vm, toJson(Lost));
  }
}

std::string RelayedFleet::addDatabase() {
  ++Version;
  nlohmann::json Routes = nlohmann::json::array();
  for (std::uint64_t I = 1; I <= Version; ++I)
    Routes.push_back({{"name", "r" + std::to_string(I)},
                      {"host", "db" + std::to_string(I)},
                      {"pathPrefix", "/"},
                      {"routeType", "primary"},
                      {"timeoutMs", 800},
                      {"targetLatencyMs", 500},
                      {"priority", 1},
                      {"service", "g1"},
                      {"attempts", 2},
                      {"maxStalenessMs", 0}});
  nlohmann::json Spec;
  Spec["configVersion"] = Version;
  Spec["routes"] = std::move(Routes);
  Spec["services"] = {{{"name", "g1"}, {"maxConns", 16}, {"syncReplicas", 0}}};
  Spec["limits"] = {{"maxBodyBytes", 100000},
                    {"headerTimeoutMs", 3000},
                    {"idleTimeoutMs", 15000},
                    {"txIdleMs", 2000}};
  if (!Accounts.empty())
    Spec["tenants"] = nlohmann::json::parse(Accounts);
  Store.put(platform::ConfigKind, platform::ConfigName, std::move(Spec));
  return "db" + std::to_string(Version);
}

bool RelayedFleet::opens(std::size_t Index, const std::string &Database) const {
  using Tcp = boost::asio::ip::tcp;
  boost::asio::io_context Own;
  Tcp::socket Socket(Own);
  boost::system::error_code Code;
  Socket.connect(tcpEndpoint("127.0.0.1", Processes[Index]->callers()), Code);
  setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &CallTimeout,
             sizeof CallTimeout);
  std::string Opening = "STARTUP " + Database + " someone\r\n";
  boost::asio::write(Socket, boost::asio::buffer(Opening), Code);
  std::string Reply;
  boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Reply), '\n',
                          Code);
  return !Code && Reply.starts_with("READY");
}

bool RelayedFleet::allOpen(const std::string &Database) const {
  for (std::size_t I = 0; I < Processes.size(); ++I)
    if (!opens(I, Database))
      return false;
  return true;
}

std::optional<double> RelayedFleet::metric(std::size_t Index,
                                           const std::string &Name) const {
  using Tcp = boost::asio::ip::tcp;
  boost::asio::io_context Own;
  Tcp::socket Socket(Own);
  boost::system::error_code Code;
  Socket.connect(tcpEndpoint("127.0.0.1", Processes[Index]->metrics()), Code);
  setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &CallTimeout,
             sizeof CallTimeout);
  std::string Request =
      "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  boost::asio::write(Socket, boost::asio::buffer(Request), Code);
  std::string Reply;
  boost::asio::read(Socket, boost::asio::dynamic_buffer(Reply), Code);
  std::string Start = "\ncicadawind_" + Name + " ";
  std::size_t At = Reply.find(Start);
  if (At == std::string::npos)
    return std::nullopt;
  return std::stod(Reply.substr(At + Start.size()));
}

void RelayedFleet::signal(std::size_t Index, int Number) {
  Processes.at(Index)->signal(Number);
}

bool RelayedFleet::isListed(std::size_t Index) const {
  return Store.contains("cicadawind-vms", "vm-" + std::to_string(Index));
}

void RelayedFleet::start(std::size_t Index) { Processes.at(Index)->start(); }

bool RelayedFleet::end(std::size_t Index, int Number) {
  signal(Index, Number);
  return runUntil(EndTimeout,
                  [&] { return Processes.at(Index)->ended().has_value(); });
}

bool RelayedFleet::runUntil(Duration Timeout,
                            const std::function<bool()> &Condition) {
  TimePoint End = BootClock::now() + Timeout;
  while (!Condition()) {
    if (BootClock::now() > End)
      return false;
    Loop.restart();
    Loop.run_for(RunInterval);
  }
  return true;
}

void RelayedFleet::silencePeers() {
  for (const std::unique_ptr<TcpRelay> &Each : PeerRelays)
    Each->silenceOpen();
}

void RelayedFleet::silenceStore() { StoreRelay->silenceOpen(); }

} // namespace cicadawind::test
