#ifndef CICADAWIND_REVIEW_DEPLOYMENT3_H
#define CICADAWIND_REVIEW_DEPLOYMENT3_H

// A small deployment on loopback: proxies as processes of their own, a store
// with the promotion call, a group of databases, and clients.

#include "Database3.h"
#include "Store3.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <random>

namespace review {

using boost::asio::awaitable;
using nlohmann::json;

/// Exit codes of a case.
constexpr int Held = 0, Broken = 1, CouldNotRun = 2;

inline bool hasTrouble() {
  const char *Text = std::getenv("TROUBLE");
  return !Text || std::string(Text) != "0";
}

inline awaitable<void> pause(Ms Time) {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor);
  Timer.expires_after(Time);
  co_await Timer.async_wait(boost::asio::use_awaitable);
}

/// The file record.txt of a case: what was sent, answered and run.
class RecordFile {
public:
  explicit RecordFile(const std::string &Path) : Out(Path), Start(BootClock::now()) {}
  void line(const std::string &Text) {
    char Time[32];
    std::snprintf(Time, sizeof Time, "%9.3f ", std::chrono::duration<double>(BootClock::now() - Start).count());
    Out << Time << Text << "\n" << std::flush;
  }
  void result(const std::string &Text) {
    line(Text);
    std::cout << Text << std::endl;
  }

private:
  std::ofstream Out;
  TimePoint Start;
};

/// The addresses and ports of all machines. The ports are the same on each.
struct Ports {
  static constexpr int Count = 8;
  int First = 0;
  int callers() const { return First; }
  int readiness() const { return First + 1; }
  int control() const { return First + 2; }
  int metrics() const { return First + 3; }
  int peers() const { return First + 4; }

  static bool isFree(const std::string &Ip, int Port) {
    boost::asio::io_context Loop;
    boost::system::error_code Code;
    auto Address = boost::asio::ip::make_address(Ip);
    Tcp::acceptor A(Loop);
    A.open(Tcp::v4());
    A.set_option(Tcp::acceptor::reuse_address(true));
    A.bind({Address, static_cast<std::uint16_t>(Port)}, Code);
    if (Code)
      return false;
    boost::asio::ip::udp::socket U(Loop);
    U.open(boost::asio::ip::udp::v4());
    U.bind({Address, static_cast<std::uint16_t>(Port)}, Code);
    return !Code;
  }
  /// Ports below those that outgoing connections use.
  static Ports find(const std::vector<std::string> &Ips) {
    std::random_device Device;
    for (int Try = 0; Try < 200; ++Try) {
      Ports Out{.First = 20000 + static_cast<int>(Device() % 1200) * 10};
      bool AllFree = true;
      for (const std::string &Ip : Ips)
        for (int I = 0; I < Count && AllFree; ++I)
          AllFree = isFree(Ip, Out.First + I);
      if (AllFree)
        return Out;
    }
    throw std::runtime_error("no free ports");
  }
};

/// The process of one machine.
class Proxy {
public:
  std::string Name, Ip, Zone, Region, Settings;
  pid_t Pid = 0;

  void start(const std::string &Folder) {
    std::string Variable = "CICADAWIND_BOOT=" + Settings;
    std::string Log = Folder + "/" + Name + ".log";
    Pid = fork();
    if (Pid != 0)
      return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::freopen(Log.c_str(), "a", stdout);
    dup2(STDOUT_FILENO, STDERR_FILENO);
    // Sockets of the stand-ins must not stay open in the machine's process.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    char Program[] = "target/cicadawind-proxy";
    char *Arguments[] = {Program, nullptr};
    char *Environment[] = {Variable.data(), nullptr};
    execve(Program, Arguments, Environment);
    _exit(127);
  }
  void signal(int Number) const {
    if (Pid > 0)
      ::kill(Pid, Number);
  }
  bool hasEnded() {
    if (Pid > 0 && waitpid(Pid, nullptr, WNOHANG) == Pid)
      Pid = 0;
    return Pid == 0;
  }
  void kill() {
    signal(SIGKILL);
    if (Pid > 0)
      waitpid(Pid, nullptr, 0);
    Pid = 0;
  }
};

/// A client's connection to a proxy.
class Client {
public:
  Client(boost::asio::io_context &Loop, RecordFile &Record, std::string Name)
      : Socket(Loop), Record(Record), Name(std::move(Name)) {}

  awaitable<bool> open(std::string Ip, int Port, std::string Database) {
    close();
    Socket = Tcp::socket(Socket.get_executor());
    Buffer.clear();
    boost::system::error_code Code;
    auto Guard = limit(Ms(2000));
    co_await Socket.async_connect({boost::asio::ip::make_address(Ip), static_cast<std::uint16_t>(Port)},
                                  boost::asio::redirect_error(boost::asio::use_awaitable, Code));
    if (Code)
      co_return false;
    Socket.set_option(Tcp::no_delay(true), Code);
    std::string First = co_await exchange("STARTUP " + Database + " " + Name + "\r\n");
    co_return First == "READY";
  }

  /// Sends a request and returns the first word of its outcome and what follows
  /// it, or an empty text without a whole answer.
  awaitable<std::string> ask(std::string Id, std::string Text, Ms Time = Ms(2000)) {
    Record.line(Name + " sends " + Id + " '" + Text.substr(0, 60) + "'");
    auto Guard = limit(Time);
    std::string Outcome = co_await exchange("QUERY " + Id + " " + Text + "\r\n");
    Record.line(Name + " gets " + Id + " -> " + (Outcome.empty() ? "no answer" : Outcome));
    co_return Outcome;
  }

  bool isOpen() const { return Socket.is_open(); }
  void close() {
    boost::system::error_code Ignored;
    Socket.close(Ignored);
  }
  std::vector<std::string> Rows;

private:
  std::shared_ptr<boost::asio::steady_timer> limit(Ms Time) {
    struct Cancel {
      void operator()(boost::asio::steady_timer *T) const { delete T; }
    };
    std::shared_ptr<boost::asio::steady_timer> Timer(new boost::asio::steady_timer(Socket.get_executor()), Cancel());
    Timer->expires_after(Time);
    Timer->async_wait([this](const auto &Code) {
      if (!Code)
        close();
    });
    return Timer;
  }

  awaitable<std::string> exchange(std::string Bytes) {
    boost::system::error_code Code;
    co_await boost::asio::async_write(Socket, boost::asio::buffer(Bytes),
                                      boost::asio::redirect_error(boost::asio::use_awaitable, Code));
    Rows.clear();
    std::string Outcome;
    while (!Code) {
      std::size_t Size = co_await boost::asio::async_read_until(
          Socket, boost::asio::dynamic_buffer(Buffer), "\r\n",
          boost::asio::redirect_error(boost::asio::use_awaitable, Code));
      if (Code)
        break;
      std::string Line = Buffer.substr(0, Size - 2);
      Buffer.erase(0, Size);
      if (Line.starts_with("READY"))
        co_return Outcome.empty() ? "READY" : Outcome;
      if (Line.starts_with("ROW "))
        Rows.push_back(Line.substr(4));
      else
        Outcome = Line;
    }
    close();
    co_return std::string();
  }

  Tcp::socket Socket;
  RecordFile &Record;
  std::string Name, Buffer;
};

/// Zones of a small site.
struct Place {
  const char *Zone, *Region;
};
constexpr Place Places[] = {{"oaxaca", "centro-sur"}, {"puebla", "centro-sur"}, {"queretaro", "bajio"}};

class Deployment {
public:
  Deployment(boost::asio::io_context &Loop, RecordFile &Record, Group::Options DbOpts, unsigned Machines)
      : Loop(Loop), Record(Record), Objects(Loop),
        Db(Loop, DbOpts, {{"i-a", Places[0].Zone}, {"i-b", Places[1].Zone}, {"i-c", Places[2].Zone}},
           [this](const std::string &Text) { this->Record.line(Text); }) {
    char Template[] = "/tmp/cicadawind-review-XXXXXX";
    if (!mkdtemp(Template))
      throw std::runtime_error("no folder");
    Folder = Template;
    std::vector<std::string> Ips;
    for (unsigned I = 0; I < Machines; ++I) {
      const Place &P = Places[I % 3];
      Proxies.push_back({.Name = "front-" + std::string(P.Zone) + "-" + std::to_string(I / 3 + 1),
                         .Ip = "127.0.0." + std::to_string(11 + I),
                         .Zone = P.Zone,
                         .Region = P.Region,
                         .Settings = Folder + "/front-" + std::to_string(I) + ".toml"});
      Ips.push_back(Proxies.back().Ip);
    }
    Numbers = Ports::find(Ips);
    Objects.Promote = [this](const std::string &, const std::string &Id) {
      this->Record.line("platform: POST /promote " + Id);
      ++Promotes;
      return Db.promote(Id);
    };
    Db.OnChange = [this] { registerAll(); };
    registerAll();
    boost::asio::co_spawn(Loop, heartbeats(), boost::asio::detached);
  }

  ~Deployment() {
    for (Proxy &Each : Proxies)
      Each.kill();
    std::error_code Ignored;
    if (!std::getenv("KEEP_LOGS"))
      std::filesystem::remove_all(Folder, Ignored);
  }

  void startAll() {
    Objects.put("config", "main", configuration());
    for (Proxy &Each : Proxies) {
      writeSettings(Each);
      Each.start(Folder);
    }
  }
  void start(Proxy &Each) { Each.start(Folder); }

  /// Whether the readiness address of \p Each answers with 200.
  awaitable<bool> isReady(const Proxy &Each) {
    Tcp::socket Socket(Loop);
    boost::system::error_code Code;
    auto Token = boost::asio::redirect_error(boost::asio::use_awaitable, Code);
    co_await Socket.async_connect(
        {boost::asio::ip::make_address(Each.Ip), static_cast<std::uint16_t>(Numbers.readiness())}, Token);
    std::string Bytes = "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    if (!Code)
      co_await boost::asio::async_write(Socket, boost::asio::buffer(Bytes), Token);
    std::string Answer;
    if (!Code)
      co_await boost::asio::async_read_until(Socket, boost::asio::dynamic_buffer(Answer), "\r\n", Token);
    co_return Answer.find(" 200 ") != std::string::npos;
  }
  awaitable<bool> awaitReady(const Proxy &Each) {
    for (int I = 0; I < 100; ++I) {
      if (co_await isReady(Each))
        co_return true;
      co_await pause(Ms(100));
    }
    co_return false;
  }
  awaitable<bool> awaitAllReady() {
    for (Proxy &Each : Proxies)
      if (!co_await awaitReady(Each))
        co_return false;
    co_return true;
  }

  boost::asio::io_context &Loop;
  RecordFile &Record;
  Store Objects;
  Group Db;
  std::vector<Proxy> Proxies;
  Ports Numbers;
  std::string Folder;
  int Promotes = 0;
  unsigned StatementTimeoutMs = 800;
  /// Tenants of the desired state; none if null.
  json Tenants;

  void registerAll() {
    for (auto &[Id, I] : Db.all()) {
      if (!I.Up)
        continue;
      Objects.put("servers", Id,
                {{"service", Db.options().Service},
                 {"address", I.address()},
                 {"zone", I.Zone},
                 {"configVersion", "v1"},
                 {"slots", Db.options().Slots},
                 {"state", I.Leaving ? "draining" : "ready"},
                 {"coldRemainingMs", 0},
                 {"dbRole", I.IsPrimary ? "primary" : "replica"},
                 {"born", I.Born},
                 {"seqNo", ++I.Seq}});
    }
  }

private:
  json configuration() const {
    auto Route = [&](const char *Name, const char *Type, int Priority) {
      return json{{"name", "r-" + std::string(Name)},
                  {"host", Name},
                  {"pathPrefix", "/"},
                  {"routeType", Type},
                  {"timeoutMs", StatementTimeoutMs},
                  {"targetLatencyMs", 500},
                  {"priority", Priority},
                  {"service", Db.options().Service},
                  {"attempts", 2},
                  {"maxStalenessMs", 1500}};
    };
    json Service{{"name", Db.options().Service}, {"healthPath", "/health"}, {"maxConns", Db.options().MaxConnections},
                 {"protocol", "h1"},             {"tls", false},            {"syncReplicas", Db.options().SyncReplicas}};
    json Out{{"configVersion", 7},
            {"routes",
             {Route("pedidos", "primary", 1), Route("catalogo", "bounded", 2),
              Route("precios", "read_your_writes", 2)}},
            {"services", {Service}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 262144},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000},
              {"txIdleMs", 3000}}}};
    if (!Tenants.is_null())
      Out["tenants"] = Tenants;
    return Out;
  }

  awaitable<void> heartbeats() {
    std::map<std::string, int> Missed;
    while (true) {
      co_await pause(Ms(1200));
      registerAll();
      for (auto &[Id, I] : Db.all())
        if (!I.Up && ++Missed[Id] == 3)
          Objects.remove("servers", Id);
    }
  }

  /// The text that the platform makes of deploy/settings.toml.in.
  void writeSettings(const Proxy &P) const {
    auto At = [&](int Port) { return "\"" + P.Ip + ":" + std::to_string(Port) + "\"\n"; };
    std::ofstream Out(P.Settings);
    Out << "[daemon]\nvm = \"" << P.Name << "\"\nfailure_domain = \"" << P.Zone << "\"\nregion = \"" << P.Region
        << "\"\nregions = [";
    for (const Place &Each : Places)
      Out << (&Each == Places ? "" : ",") << "\"" << Each.Zone << "=" << Each.Region << "\"";
    Out << "]\nlog_level = \"info\"\n\n[listen]\naddress = \"" << P.Ip << "\"\ncallers = " << At(Numbers.callers())
        << "readiness = " << At(Numbers.readiness()) << "operators = " << At(Numbers.control())
        << "metrics = " << At(Numbers.metrics()) << "\n[peers]\nfirst_port = " << Numbers.peers()
        << "\nlast_port = " << Numbers.peers() + 3 << "\nseeds = [";
    for (unsigned I = 0; I < 3 && I < Proxies.size(); ++I)
      Out << (I ? "," : "") << "\"" << Proxies[I].Ip << ":" << Numbers.control() << "\"";
    std::string Platform = "127.0.0.1:" + std::to_string(Objects.port());
    Out << "]\n\n[platform]\nstore = \"" << Platform << "\"\norders = \"" << Platform
        << "\"\nfencing_enforced = true\ndrain_ms = 7000\n\n[targets]\npool_scarce_connections = true\n\n"
        << "[limits]\nmax_descriptors = 4300\ngrace_s = 6\n";
  }
};

/// Runs \p Case to its end, at most for \p Most, and returns its exit code.
inline int runCase(boost::asio::io_context &Loop, awaitable<int> Case, Ms Most) {
  int Code = CouldNotRun;
  boost::asio::co_spawn(Loop, std::move(Case), [&](std::exception_ptr E, int Result) {
    Code = E ? CouldNotRun : Result;
    Loop.stop();
  });
  Loop.run_for(Most);
  return Code;
}

} // namespace review

#endif
