// A small deployment on loopback for the scripts of the second review: the
// project's emulated platform and targets in this process, real proxies as
// separate processes, and a blocking client.
#ifndef REVIEW_LOOPBACK_H
#define REVIEW_LOOPBACK_H

// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Core/Clock.h"
#include "Emulator/EmulatedGroup.h"
#include "Emulator/EmulatedInstance.h"
#include "Emulator/EmulatedStore.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using namespace cicadawind;
using nlohmann::json;

inline void sleepMs(int Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

/// Exit codes of a script.
enum ExitCode { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Writes record.txt; each line begins with the seconds since the start.
class Record {
public:
  explicit Record(const std::string &Path)
      : File(Path, std::ios::trunc), Start(BootClock::now()) {}

  double seconds() const { return secondsAt(BootClock::now()); }
  double secondsAt(TimePoint At) const {
    return std::chrono::duration<double>(At - Start).count();
  }
  void line(const std::string &Text) { lineAt(BootClock::now(), Text); }
  void lineAt(TimePoint At, const std::string &Text) {
    std::lock_guard<std::mutex> Lock(Mutex);
    char Time[32];
    snprintf(Time, sizeof Time, "%8.3f  ", secondsAt(At));
    File << Time << Text << std::endl;
  }

private:
  std::mutex Mutex;
  std::ofstream File;
  TimePoint Start;
};

/// Returns a port that is free on all of the given addresses for TCP and UDP.
inline int freePort(const std::vector<std::string> &Addresses, int &Next) {
  for (int Tries = 0; Tries < 2000; ++Tries) {
    int Port = Next++;
    bool Free = true;
    for (const std::string &Ip : Addresses)
      for (int Type : {SOCK_STREAM, SOCK_DGRAM}) {
        int S = socket(AF_INET, Type, 0);
        sockaddr_in A{};
        A.sin_family = AF_INET;
        A.sin_port = htons(static_cast<std::uint16_t>(Port));
        inet_pton(AF_INET, Ip.c_str(), &A.sin_addr);
        Free &= bind(S, reinterpret_cast<sockaddr *>(&A), sizeof A) == 0;
        close(S);
      }
    if (Free)
      return Port;
  }
  return 0;
}

/// Returns the first of seven ports in a row that are free on all addresses;
/// 0 if there are none.
inline int freeBlock(const std::vector<std::string> &Ips) {
  int Next = 21000 + static_cast<int>(getpid() % 9000);
  for (int Tries = 0; Tries < 50; ++Tries) {
    int First = Next;
    bool AllFree = true;
    for (int I = 0; I < 7; ++I)
      AllFree &= freePort(Ips, Next) == First + I;
    if (AllFree)
      return First;
  }
  return 0;
}

/// The address of a machine that has been removed for good: connections to it
/// hang. A listener whose queue of new connections is full drops the opening
/// packets of further ones.
class SilentAddress {
public:
  SilentAddress(const std::string &Ip, int Port) {
    sockaddr_in A{};
    A.sin_family = AF_INET;
    A.sin_port = htons(static_cast<std::uint16_t>(Port));
    inet_pton(AF_INET, Ip.c_str(), &A.sin_addr);
    Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int On = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    IsSilent = bind(Listener, reinterpret_cast<sockaddr *>(&A), sizeof A) == 0 &&
               listen(Listener, 0) == 0;
    int Filler = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    IsSilent &=
        connect(Filler, reinterpret_cast<sockaddr *>(&A), sizeof A) == 0;
    close(Filler);
  }
  ~SilentAddress() {
    if (Listener >= 0)
      close(Listener);
  }
  SilentAddress(const SilentAddress &) = delete;
  SilentAddress &operator=(const SilentAddress &) = delete;
  bool isSilent() const { return IsSilent; }

private:
  int Listener = -1;
  bool IsSilent = false;
};

/// Passes connections on to \p Port of this host and replaces, in what comes
/// back, texts by others of the same length. The emulated store cannot hold
/// bytes that are no UTF-8 itself.
class Rewriter {
public:
  /// What is replaced, and by what; all of the same length.
  using Texts = std::vector<std::pair<std::string, std::string>>;

  Rewriter(int Port, std::string From, std::string To)
      : Rewriter(Port, Texts{{std::move(From), std::move(To)}}) {}
  Rewriter(int Port, Texts NewTexts)
      : Target(Port), Replaced(std::move(NewTexts)) {
    Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in A = loopback(0);
    bind(Listener, reinterpret_cast<sockaddr *>(&A), sizeof A);
    listen(Listener, 256);
    socklen_t Size = sizeof A;
    getsockname(Listener, reinterpret_cast<sockaddr *>(&A), &Size);
    Own = ntohs(A.sin_port);
    Threads.emplace_back([this] { acceptAll(); });
  }
  ~Rewriter() {
    Stopped = true;
    shutdown(Listener, SHUT_RDWR);
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      for (int Each : Sockets)
        shutdown(Each, SHUT_RDWR);
    }
    Threads.front().join();
    for (std::size_t I = 1; I < Threads.size(); ++I)
      Threads[I].join();
    for (int Each : Sockets)
      close(Each);
    close(Listener);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(Own); }

private:
  static sockaddr_in loopback(int Port) {
    sockaddr_in A{};
    A.sin_family = AF_INET;
    A.sin_port = htons(static_cast<std::uint16_t>(Port));
    A.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return A;
  }
  void acceptAll() {
    while (!Stopped) {
      int Near = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Near < 0)
        return;
      int Far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in A = loopback(Target);
      if (connect(Far, reinterpret_cast<sockaddr *>(&A), sizeof A) != 0) {
        close(Near);
        close(Far);
        continue;
      }
      std::lock_guard<std::mutex> Lock(Mutex);
      Sockets.push_back(Near);
      Sockets.push_back(Far);
      Threads.emplace_back([this, Near, Far] { pump(Near, Far, false); });
      Threads.emplace_back([this, Near, Far] { pump(Far, Near, true); });
    }
  }
  void pump(int In, int Out, bool Rewrites) const {
    std::string Held;
    char Bytes[65536];
    ssize_t Got = 0;
    while ((Got = recv(In, Bytes, sizeof Bytes, 0)) > 0) {
      Held.append(Bytes, static_cast<std::size_t>(Got));
      std::size_t Ready = Held.size();
      if (Rewrites) {
        std::size_t Kept = 0;
        for (const auto &[From, To] : Replaced) {
          for (std::size_t At = Held.find(From); At != std::string::npos;
               At = Held.find(From, At + To.size()))
            Held.replace(At, From.size(), To);
          // The beginning of the text may be at the end.
          std::size_t Begun = std::min(From.size() - 1, Held.size());
          while (Begun > 0 && Held.compare(Held.size() - Begun, Begun, From, 0,
                                           Begun) != 0)
            --Begun;
          Kept = std::max(Kept, Begun);
        }
        Ready -= Kept;
      }
      if (::send(Out, Held.data(), Ready, MSG_NOSIGNAL) !=
          static_cast<ssize_t>(Ready))
        break;
      Held.erase(0, Ready);
    }
    shutdown(Out, SHUT_WR);
    if (Got != 0)
      shutdown(In, SHUT_RD);
  }

  int Target;
  Texts Replaced;
  int Listener = -1;
  int Own = 0;
  std::atomic<bool> Stopped = false;
  std::mutex Mutex;
  std::vector<int> Sockets;
  std::vector<std::thread> Threads;
};

/// A statement that reached a target, and when it was noticed (at most a few
/// milliseconds after it was run).
struct Arrival {
  TimePoint At;
  emulator::RunRecord Run;
};

/// The platform's store and one group of three targets, on a thread of its own.
class Platform {
public:
  /// \p Tenants are the client accounts of the configuration; none if null.
  explicit Platform(Record &Log, json Tenants = nullptr,
                    std::vector<std::string> NewZones = {"oaxaca", "puebla",
                                                         "queretaro"})
      : Log(Log), Zones(std::move(NewZones)), Guard(boost::asio::make_work_guard(Loop)),
        Store(std::make_unique<emulator::EmulatedStore>(Loop, "127.0.0.1", 0)),
        Group("bodega", {"a", "b", "c"}) {
    for (const char *Id : {"a", "b", "c"}) {
      Group.at(Id).Lag = std::chrono::milliseconds(8);
      Instances[Id] = std::make_unique<emulator::EmulatedInstance>(
          Loop, Group, Id, MaxConnections);
      State[Id] = "ready";
      Seen[Id] = 0;
    }
    Orders = std::make_unique<emulator::EmulatedStore>(Loop, "127.0.0.1", 0);
    for (emulator::EmulatedStore *Each : {Store.get(), Orders.get()})
      Each->onPromote([this](const std::string &, const std::string &Id) {
        return promote(Id);
      });
    json Config = configuration();
    if (!Tenants.is_null())
      Config["tenants"] = std::move(Tenants);
    Store->put("config", "main", Config);
    registerAll();
    Thread = std::thread([this] { Loop.run(); });
  }
  ~Platform() {
    Loop.stop();
    Thread.join();
  }

  static constexpr unsigned MaxConnections = 16;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Store->port());
  }

  /// Runs \p Action on the loop's thread and waits for it.
  template <class F> auto on(F Action) -> decltype(Action()) {
    std::packaged_task<decltype(Action())()> Task(Action);
    auto Done = Task.get_future();
    boost::asio::post(Loop, [&Task] { Task(); });
    return Done.get();
  }

  /// A target says that it leaves. Returns when the store accepted it.
  TimePoint drain(const std::string &Id) {
    return on([this, Id] {
      State[Id] = "draining";
      registerAll();
      return BootClock::now();
    });
  }
  void crash(const std::string &Id) {
    on([this, Id] { Instances.at(Id)->crash(); });
  }
  /// Removes the entry of a target that has been silent for three heartbeats.
  void forget(const std::string &Id) {
    on([this, Id] {
      Gone.push_back(Id);
      Store->remove("servers", Id);
    });
  }
  std::string primary() {
    return on([this] { return Group.primary(); });
  }
  /// Returns the statements that have reached the targets since the last call.
  std::vector<Arrival> takeArrivals() {
    return on([this] {
      std::vector<Arrival> Out;
      TimePoint Now = BootClock::now();
      for (auto &[Id, Each] : Instances)
        for (std::size_t &I = Seen[Id]; I < Each->Records.size(); ++I)
          Out.push_back({Now, Each->Records[I]});
      return Out;
    });
  }

  Record &Log;
  std::vector<std::string> Zones;
  boost::asio::io_context Loop{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  std::unique_ptr<emulator::EmulatedStore> Store;
  /// The same calls at an address of their own, for orders while the store is
  /// away.
  std::unique_ptr<emulator::EmulatedStore> Orders;
  emulator::EmulatedGroup Group;
  /// Time from the call to promote a target until it leads.
  Duration PromoteTime = Duration::zero();
  /// Whether the targets can't write to the store now.
  bool HoldsEntries = false;
  std::map<std::string, std::unique_ptr<emulator::EmulatedInstance>> Instances;

private:
  static json configuration() {
    auto Route = [](const char *Name, const char *Type, int Timeout, int Aim) {
      return json{{"name", Name},        {"host", Name},
                  {"pathPrefix", "/"},   {"routeType", Type},
                  {"service", "bodega"}, {"timeoutMs", Timeout},
                  {"attempts", 2},       {"targetLatencyMs", Aim},
                  {"priority", 1},       {"maxStalenessMs", 1500}};
    };
    return {{"configVersion", 7},
            {"routes",
             {Route("pedidos", "primary", 800, 300),
              Route("catalogo", "bounded", 1500, 600),
              Route("precios", "read_your_writes", 800, 500)}},
            {"services",
             {{{"name", "bodega"},
               {"healthPath", "/health"},
               {"maxConns", MaxConnections},
               {"syncReplicas", 0}}}},
            {"limits",
             {{"maxBodyBytes", 262144},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000},
              {"txIdleMs", 3000}}}};
  }

public:
  void registerAll() {
    if (HoldsEntries)
      return;
    const std::map<std::string, std::string> Domains{
        {"a", Zones[0]}, {"b", Zones[1]}, {"c", Zones[2]}};
    for (const auto &[Id, Each] : Instances) {
      if (Group.at(Id).Down)
        continue;
      Store->put("servers", Id,
                 {{"service", "bodega"},
                  {"address", Each->address()},
                  {"zone", Domains.at(Id)},
                  {"configVersion", "v1"},
                  {"slots", 2},
                  {"coldRemainingMs", 0},
                  {"born", 1700000000000},
                  {"state", State[Id]},
                  {"dbRole", Group.primary() == Id ? "primary" : "replica"}});
    }
  }

private:
  bool promote(const std::string &Id) {
    auto It = Instances.find(Id);
    if (It == Instances.end() || Group.at(Id).Down)
      return false;
    if (PromoteTime == Duration::zero())
      lead(Id);
    else {
      auto Timer = std::make_shared<boost::asio::steady_timer>(Loop);
      Timer->expires_after(PromoteTime);
      Timer->async_wait([this, Id, Timer](const auto &Code) {
        if (!Code && !Group.at(Id).Down)
          lead(Id);
      });
    }
    return true;
  }
  void lead(const std::string &Id) {
    Group.promote(Id, BootClock::now());
    registerAll();
    Log.line("platform: " + Id + " leads the next term");
  }

  std::map<std::string, std::string> State;
  std::map<std::string, std::size_t> Seen;
  std::vector<std::string> Gone;
  std::thread Thread;
};

/// A proxy as a separate process, started with the command of the deploy file.
class Proxy {
public:
  struct Options {
    std::string Vm;
    std::string Domain;
    std::string Region;
    std::string Ip;
    std::string StoreAddress;
    std::string OrdersAddress;
    std::string Folder;
    int Port = 0;
    std::vector<std::string> Seeds;
    /// Entries of the setting "regions".
    std::string Regions = "\"oaxaca=centro-sur\",\"puebla=centro-sur\","
                          "\"queretaro=bajio\"";
    int DrainMs = 7000;
    /// Further lines of the section "limits".
    std::string Limits;
    /// Address that the machine announces; empty for Ip.
    std::string Announced;
  };

  explicit Proxy(Options NewOpts) : Opts(std::move(NewOpts)) {
    std::ofstream File(settingsPath());
    // deploy/settings.toml.in, filled in as for a machine of the site.
    File << "[daemon]\nvm = \"" << Opts.Vm << "\"\nfailure_domain = \""
         << Opts.Domain << "\"\nregion = \"" << Opts.Region
         << "\"\nregions = [" << Opts.Regions
         << "]\nlog_level = \"info\"\n\n[listen]\n"
         << "address = \""
         << (Opts.Announced.empty() ? Opts.Ip : Opts.Announced)
         << "\"\nbind_address = \"" << Opts.Ip << "\"\ncallers = \""
         << endpoint(0)
         << "\"\nreadiness = \"" << endpoint(1) << "\"\noperators = \""
         << endpoint(2) << "\"\nmetrics = \"" << endpoint(3)
         << "\"\n\n[peers]\nfirst_port = " << Opts.Port + 4
         << "\nlast_port = " << Opts.Port + 6 << "\nseeds = [";
    for (std::size_t I = 0; I < Opts.Seeds.size(); ++I)
      File << (I ? "," : "") << "\"" << Opts.Seeds[I] << ":" << Opts.Port + 2
           << "\"";
    File << "]\n\n[platform]\nstore = \"" << Opts.StoreAddress
         << "\"\norders = \"" << Opts.OrdersAddress
         << "\"\nfencing_enforced = true\ndrain_ms = " << Opts.DrainMs
         << "\n\n[targets]\npool_scarce_connections = true\n\n[limits]\n"
            "max_descriptors = 4300\ngrace_s = 6\n"
         << Opts.Limits;
  }
  ~Proxy() { end(); }

  std::string endpoint(int Offset) const {
    return Opts.Ip + ":" + std::to_string(Opts.Port + Offset);
  }
  const Options &options() const { return Opts; }
  TimePoint startedAt() const { return StartedAt; }

  void start() {
    std::string Log = Opts.Folder + "/" + Opts.Vm + ".log";
    std::string Boot = "CICADAWIND_BOOT=" + settingsPath();
    std::string Path = "PATH=/usr/bin:/bin";
    std::string Program = "target/cicadawind-proxy";
    StartedAt = BootClock::now();
    Pid = fork();
    if (Pid != 0)
      return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int Out = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Out, 1);
    dup2(Out, 2);
    for (int I = 3; I < 1024; ++I)
      close(I);
    char *Arguments[] = {Program.data(), nullptr};
    char *Environment[] = {Boot.data(), Path.data(), nullptr};
    execve(Program.c_str(), Arguments, Environment);
    _exit(127);
  }
  void signal(int Number) const {
    if (Pid > 0)
      ::kill(Pid, Number);
  }
  /// Waits until the process has ended; returns whether it has in time.
  bool waitForEnd(int TimeoutMs) {
    for (int Waited = 0; Pid > 0 && Waited < TimeoutMs; Waited += 10) {
      if (waitpid(Pid, nullptr, WNOHANG) == Pid)
        Pid = 0;
      else
        sleepMs(10);
    }
    return Pid == 0;
  }
  void end() {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
    Pid = 0;
  }
  /// Returns whether the process has ended by itself.
  bool hasEnded() {
    if (Pid > 0 && waitpid(Pid, nullptr, WNOHANG) == Pid)
      Pid = 0;
    return Pid == 0;
  }
  bool isReady() const;
  bool waitReady(int TimeoutMs) const {
    for (int Waited = 0; Waited < TimeoutMs; Waited += 20) {
      if (isReady())
        return true;
      sleepMs(20);
    }
    return false;
  }

private:
  std::string settingsPath() const {
    return Opts.Folder + "/" + Opts.Vm + ".toml";
  }

  Options Opts;
  pid_t Pid = 0;
  TimePoint StartedAt;
};

/// A blocking connection with a timeout for each read.
class Connection {
public:
  Connection() = default;
  ~Connection() { reset(); }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  bool connectTo(const std::string &Endpoint, int TimeoutMs) {
    reset();
    std::size_t Colon = Endpoint.find(':');
    Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval Limit{.tv_sec = TimeoutMs / 1000,
                  .tv_usec = (TimeoutMs % 1000) * 1000};
    setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
    setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
    sockaddr_in A{};
    A.sin_family = AF_INET;
    A.sin_port = htons(
        static_cast<std::uint16_t>(std::stoi(Endpoint.substr(Colon + 1))));
    inet_pton(AF_INET, Endpoint.substr(0, Colon).c_str(), &A.sin_addr);
    if (connect(Socket, reinterpret_cast<sockaddr *>(&A), sizeof A) == 0)
      return true;
    reset();
    return false;
  }
  bool isOpen() const { return Socket >= 0; }
  void reset() {
    if (Socket >= 0)
      close(Socket);
    Socket = -1;
    Buffer.clear();
  }
  bool send(const std::string &Bytes) {
    return Socket >= 0 && ::send(Socket, Bytes.data(), Bytes.size(),
                                 MSG_NOSIGNAL) ==
                              static_cast<ssize_t>(Bytes.size());
  }
  /// Reads a line; returns false on a timeout or the end of the connection.
  bool readLine(std::string &Line) {
    while (true) {
      std::size_t End = Buffer.find("\r\n");
      if (End != std::string::npos) {
        Line = Buffer.substr(0, End);
        Buffer.erase(0, End + 2);
        return true;
      }
      char Bytes[4096];
      ssize_t Got = Socket >= 0 ? recv(Socket, Bytes, sizeof Bytes, 0) : -1;
      if (Got <= 0)
        return false;
      Buffer.append(Bytes, static_cast<std::size_t>(Got));
    }
  }

  /// Reads \p Count bytes; fewer if the connection ends.
  std::string readBytes(std::size_t Count) {
    char Bytes[4096];
    while (Buffer.size() < Count) {
      ssize_t Got = Socket >= 0 ? recv(Socket, Bytes, sizeof Bytes, 0) : -1;
      if (Got <= 0)
        break;
      Buffer.append(Bytes, static_cast<std::size_t>(Got));
    }
    return Buffer.substr(0, Count);
  }

private:
  int Socket = -1;
  std::string Buffer;
};

inline bool Proxy::isReady() const {
  Connection C;
  std::string Line;
  return C.connectTo(endpoint(1), 500) &&
         C.send("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
         C.readLine(Line) && Line.find(" 200 ") != std::string::npos;
}

/// A client's session.
class Session {
public:
  struct Answer {
    std::vector<std::string> Rows;
    /// Receipt of a success.
    std::string Receipt;
    /// Code of an error; "CUT" if the connection ended or the answer did not
    /// come in time.
    std::string Error;
    /// Text of an error.
    std::string Text;
    bool succeeded() const { return Error.empty(); }
  };

  bool open(const std::string &Endpoint, const std::string &Database,
            const std::string &Who = "u3f1") {
    std::string Line;
    return Link.connectTo(Endpoint, 3000) &&
           Link.send("STARTUP " + Database + " " + Who + "\r\n") &&
           Link.readLine(Line) && Line.rfind("READY", 0) == 0;
  }
  bool isOpen() const { return Link.isOpen(); }
  void close() { Link.reset(); }

  Answer ask(const std::string &Id, const std::string &Text) {
    Answer Out;
    if (!Link.send("QUERY " + Id + " " + Text + "\r\n"))
      return cut();
    std::string Line;
    while (Link.readLine(Line)) {
      if (Line.rfind("READY", 0) == 0)
        return Out;
      if (Line.rfind("ROW ", 0) == 0)
        Out.Rows.push_back(Line.substr(4));
      else if (Line.rfind("COMPLETE ", 0) == 0)
        Out.Receipt = Line.substr(9);
      else if (Line.rfind("ERROR ", 0) == 0)
        setError(Out, Line.substr(6));
    }
    return cut();
  }

private:
  static void setError(Answer &Out, const std::string &Rest) {
    std::size_t Blank = std::min(Rest.find(' '), Rest.size());
    Out.Error = Rest.substr(0, Blank);
    Out.Text = Rest.substr(std::min(Blank + 1, Rest.size()));
  }
  Answer cut() {
    Link.reset();
    Answer Out;
    Out.Error = "CUT";
    return Out;
  }
  Connection Link;
};

inline bool trouble() {
  const char *Text = std::getenv("TROUBLE");
  return !Text || std::string(Text) != "0";
}

} // namespace review

#endif
