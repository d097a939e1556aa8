// Stand-ins for the outside systems of a small deployment, and the start of the
// project's proxies as separate processes. Threads with blocking sockets; all
// addresses are loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline Clock::time_point startTime() {
  static const Clock::time_point Start = Clock::now();
  return Start;
}
inline long nowMs() {
  return std::chrono::duration_cast<Ms>(Clock::now() - startTime()).count();
}
inline void sleepMs(long Length) { std::this_thread::sleep_for(Ms(Length)); }

/// Writes record.txt: one line for each event, with the milliseconds since the
/// start.
class Record {
public:
  explicit Record(const std::string &Path) : File(std::fopen(Path.c_str(), "w")) {}
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard<std::mutex> Lock(M);
    if (!File)
      return;
    std::fprintf(File, "%7ld ", nowMs());
    va_list Args;
    va_start(Args, Format);
    std::vfprintf(File, Format, Args);
    va_end(Args);
    std::fputc('\n', File);
    std::fflush(File);
  }
  /// The same, and on standard output too.
  void say(const std::string &Text) {
    line("%s", Text.c_str());
    std::printf("%s\n", Text.c_str());
    std::fflush(stdout);
  }

private:
  std::mutex M;
  FILE *File;
};

inline sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Out.sin_addr);
  return Out;
}
inline int listenOn(const std::string &Ip, int Port) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  sockaddr_in A = addressOf(Ip, Port);
  if (bind(Fd, reinterpret_cast<sockaddr *>(&A), sizeof A) != 0 ||
      listen(Fd, 256) != 0) {
    close(Fd);
    return -1;
  }
  return Fd;
}
inline int portOf(int Fd) {
  sockaddr_in A{};
  socklen_t Size = sizeof A;
  getsockname(Fd, reinterpret_cast<sockaddr *>(&A), &Size);
  return ntohs(A.sin_port);
}
inline void setTimeout(int Fd, long Length) {
  timeval T{Length / 1000, (Length % 1000) * 1000};
  setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &T, sizeof T);
  setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &T, sizeof T);
}
inline int connectTo(const std::string &Ip, int Port, long TimeoutMs) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setTimeout(Fd, TimeoutMs);
  int One = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  sockaddr_in A = addressOf(Ip, Port);
  if (connect(Fd, reinterpret_cast<sockaddr *>(&A), sizeof A) != 0) {
    close(Fd);
    return -1;
  }
  return Fd;
}
inline bool sendAll(int Fd, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t N = send(Fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (N <= 0)
      return false;
    Sent += static_cast<std::size_t>(N);
  }
  return true;
}
inline void resetSocket(int Fd) {
  linger L{1, 0};
  setsockopt(Fd, SOL_SOCKET, SO_LINGER, &L, sizeof L);
  shutdown(Fd, SHUT_RDWR);
}

/// Reads lines, or counted bytes, from a socket.
class Reader {
public:
  explicit Reader(int Fd) : Fd(Fd) {}
  /// Reads one line, which CR LF ends, without that end; empty optional at the
  /// end of the stream.
  std::optional<std::string> line() {
    while (true) {
      std::size_t End = Buffer.find("\r\n");
      if (End != std::string::npos) {
        std::string Out = Buffer.substr(0, End);
        Buffer.erase(0, End + 2);
        return Out;
      }
      if (!fill())
        return std::nullopt;
    }
  }
  std::optional<std::string> bytes(std::size_t Count) {
    while (Buffer.size() < Count)
      if (!fill())
        return std::nullopt;
    std::string Out = Buffer.substr(0, Count);
    Buffer.erase(0, Count);
    return Out;
  }
  bool TimedOut = false;

private:
  bool fill() {
    char Bytes[16384];
    ssize_t N = recv(Fd, Bytes, sizeof Bytes, 0);
    if (N < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      TimedOut = true;
    if (N <= 0)
      return false;
    Buffer.append(Bytes, static_cast<std::size_t>(N));
    return true;
  }
  int Fd;
  std::string Buffer;
};

inline std::string takeWord(std::string &Text) {
  std::size_t Blank = Text.find(' ');
  std::string Word = Text.substr(0, Blank);
  Text = Blank == std::string::npos ? "" : Text.substr(Blank + 1);
  return Word;
}

/// The platform's store, as PROTOCOL.md describes it. A spec is kept as the
/// bytes that its writer sent.
class Store {
public:
  struct Object {
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::string Spec;
  };
  using PromoteHook =
      std::function<int(const std::string &Service, const std::string &Id,
                        const std::string &Holder, std::uint64_t Token)>;

  /// Opens an address for one machine, so that it can be cut off by itself.
  struct Door {
    int Fd = -1;
    int Port = 0;
    /// Whether every call is answered with the status 503.
    std::atomic<bool> Busy{false};
  };

  Door &addDoor() {
    Doors.emplace_back(new Door);
    Door &D = *Doors.back();
    D.Fd = listenOn("127.0.0.1", 0);
    D.Port = portOf(D.Fd);
    std::thread([this, &D] { acceptAll(D); }).detach();
    return D;
  }
  void onPromote(PromoteHook Hook) { Promote = std::move(Hook); }

  std::uint64_t put(const std::string &Kind, const std::string &Name,
                    const std::string &Spec) {
    std::lock_guard<std::mutex> Lock(M);
    return putLocked(Kind, Name, Spec);
  }
  void remove(const std::string &Kind, const std::string &Name) {
    std::lock_guard<std::mutex> Lock(M);
    auto It = Objects[Kind].find(Name);
    if (It == Objects[Kind].end())
      return;
    ++Revision;
    It->second.Revision = Revision;
    Events.push_back({Revision, Kind, true, text(Name, It->second)});
    Objects[Kind].erase(It);
    Changed.notify_all();
  }

private:
  struct Event {
    std::uint64_t Revision;
    std::string Kind;
    bool Removed;
    std::string Object;
  };

  std::uint64_t putLocked(const std::string &Kind, const std::string &Name,
                          const std::string &Spec) {
    Object &O = Objects[Kind][Name];
    if (O.Revision != 0 && O.Spec == Spec)
      return O.Revision;
    ++Revision;
    if (O.Revision == 0)
      O.Created = Revision;
    O.Revision = Revision;
    O.Spec = Spec;
    Events.push_back({Revision, Kind, false, text(Name, O)});
    Changed.notify_all();
    return Revision;
  }

  static std::string text(const std::string &Name, const Object &O) {
    return "{\"meta\":{\"name\":" + Json(Name).dump() +
           ",\"revision\":" + std::to_string(O.Revision) +
           ",\"createdRev\":" + std::to_string(O.Created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + O.Spec +
           ",\"status\":null}";
  }

  void acceptAll(Door &D) {
    while (true) {
      int Fd = accept4(D.Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        return;
      int One = 1;
      setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
      std::thread([this, &D, Fd] {
        serve(D, Fd);
        close(Fd);
      }).detach();
    }
  }

  void serve(Door &D, int Fd) {
    Reader In(Fd);
    while (true) {
      std::optional<std::string> First = In.line();
      if (!First)
        return;
      std::map<std::string, std::string> Headers;
      while (true) {
        std::optional<std::string> Line = In.line();
        if (!Line)
          return;
        if (Line->empty())
          break;
        std::size_t Colon = Line->find(':');
        std::string Key = Line->substr(0, Colon);
        std::transform(Key.begin(), Key.end(), Key.begin(), ::tolower);
        std::size_t Value = Line->find_first_not_of(' ', Colon + 1);
        Headers[Key] = Value == std::string::npos ? "" : Line->substr(Value);
      }
      std::string Body;
      if (Headers.count("content-length")) {
        auto Read = In.bytes(std::stoul(Headers["content-length"]));
        if (!Read)
          return;
        Body = *Read;
      }
      std::string Rest = *First;
      std::string Method = takeWord(Rest);
      std::string Target = takeWord(Rest);
      // A 503 means that nothing was done. A watch that waits ends with it, too.
      std::pair<int, std::string> Result{503, "{}"};
      if (!D.Busy)
        Result = handle(D, Method, Target, Headers, Body);
      const auto &[Status, Answer] = Result;
      std::string Out = "HTTP/1.1 " + std::to_string(Status) +
                        " X\r\nContent-Type: application/json\r\n"
                        "Content-Length: " +
                        std::to_string(Answer.size()) + "\r\n\r\n" + Answer;
      if (!sendAll(Fd, Out))
        return;
    }
  }

  std::pair<int, std::string> handle(const Door &D, const std::string &Method,
                                     const std::string &Target,
                                     std::map<std::string, std::string> &Headers,
                                     const std::string &Body) {
    std::size_t Mark = Target.find('?');
    std::string Path = Target.substr(0, Mark);
    std::map<std::string, std::string> Query;
    std::string Rest = Mark == std::string::npos ? "" : Target.substr(Mark + 1);
    while (!Rest.empty()) {
      std::size_t And = Rest.find('&');
      std::string Pair = Rest.substr(0, And);
      Rest = And == std::string::npos ? "" : Rest.substr(And + 1);
      std::size_t Equals = Pair.find('=');
      Query[Pair.substr(0, Equals)] =
          Equals == std::string::npos ? "" : Pair.substr(Equals + 1);
    }
    if (Path == "/promote" && Method == "POST") {
      Json In = Json::parse(Body, nullptr, false);
      if (!In.is_object() || !Promote)
        return {400, "{}"};
      int Status = Promote(In.value("service", ""), In.value("id", ""),
                           Headers["cicadawind-lease-holder"],
                           std::strtoull(Headers["cicadawind-fencing-token"].c_str(),
                                         nullptr, 10));
      return {Status, "{}"};
    }
    const std::string Prefix = "/api/objects/";
    if (Path.compare(0, Prefix.size(), Prefix) != 0)
      return {404, "{}"};
    std::string Kind = Path.substr(Prefix.size());
    std::string Name;
    std::size_t Slash = Kind.find('/');
    if (Slash != std::string::npos) {
      Name = Kind.substr(Slash + 1);
      Kind.resize(Slash);
    }
    std::unique_lock<std::mutex> Lock(M);
    if (Method == "GET" && !Name.empty()) {
      auto It = Objects[Kind].find(Name);
      if (It == Objects[Kind].end())
        return {404, "{}"};
      return {200, text(Name, It->second)};
    }
    if (Method == "GET" && Query.count("watch"))
      return watch(D, Lock, Kind, std::stoull(Query["watch"]),
                   std::stol(Query.count("waitMs") ? Query["waitMs"] : "0"));
    if (Method == "GET") {
      std::string Items;
      for (const auto &[Each, O] : Objects[Kind])
        if (Each > Query["after"])
          Items += (Items.empty() ? "" : ",") + text(Each, O);
      return {200, "{\"items\":[" + Items + "],\"hasMore\":false,\"currentRev\":" +
                       std::to_string(Revision) + "}"};
    }
    Json In = Json::parse(Body, nullptr, false);
    if (Method == "POST" || Method == "PUT") {
      if (!In.is_object() || !In.contains("meta"))
        return {400, "{}"};
      if (Method == "POST")
        Name = In["meta"].value("name", "");
      auto It = Objects[Kind].find(Name);
      bool Exists = It != Objects[Kind].end();
      if (Method == "POST" && Exists)
        return {409, text(Name, It->second)};
      if (Method == "PUT" && !Exists)
        return {404, "{}"};
      if (Method == "PUT" && In["meta"].contains("revision") &&
          In["meta"]["revision"] != It->second.Revision)
        return {409, text(Name, It->second)};
      putLocked(Kind, Name, In.value("spec", Json()).dump());
      return {200, text(Name, Objects[Kind][Name])};
    }
    return {404, "{}"};
  }

  std::pair<int, std::string> watch(const Door &D,
                                    std::unique_lock<std::mutex> &Lock,
                                    const std::string &Kind,
                                    std::uint64_t Since, long WaitMs) {
    Clock::time_point End = Clock::now() + Ms(std::min(WaitMs, 30000L));
    while (true) {
      std::string Out;
      for (const Event &Each : Events)
        if (Each.Revision > Since && Each.Kind == Kind)
          Out += std::string(Out.empty() ? "" : ",") + "{\"removed\":" +
                 (Each.Removed ? "true" : "false") +
                 ",\"object\":" + Each.Object + "}";
      if (D.Busy)
        return {503, "{}"};
      if (!Out.empty() || Clock::now() >= End)
        return {200, "{\"events\":[" + Out + "],\"currentRev\":" +
                         std::to_string(Revision) + "}"};
      Changed.wait_until(Lock, std::min(End, Clock::now() + Ms(50)));
    }
  }

  std::mutex M;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, Object>> Objects;
  std::vector<Event> Events;
  std::uint64_t Revision = 100;
  std::vector<std::unique_ptr<Door>> Doors;
  PromoteHook Promote;
};

/// One service: a primary and its replicas, which speak the line protocol.
/// Replicas receive and apply each commit at once.
class Service {
public:
  struct Instance {
    std::string Id;
    std::string Zone;
    int Fd = -1;
    int Port = 0;
    std::string State = "ready";
    bool Down = false;
    long Born = 0;
    /// Work in progress and work that waits for a slot.
    int Busy = 0;
    int Waiting = 0;
    int Connections = 0;
    std::set<int> Open;
  };
  /// The arrival of a client's request at an instance.
  struct Run {
    long At;
    std::string Instance;
    std::string Id;
    std::string Text;
  };

  Service(Store &S, Record &R, std::string Name, int Slots, int Queue,
          int MaxConns, std::function<long()> WorkMs, long HandshakeMs)
      : S(S), R(R), Name(std::move(Name)), Slots(Slots), Queue(Queue),
        MaxConns(MaxConns), WorkMs(std::move(WorkMs)), HandshakeMs(HandshakeMs) {}

  void add(const std::string &Id, const std::string &Zone) {
    std::lock_guard<std::mutex> Lock(M);
    Instance &I = Instances[Id];
    I.Id = Id;
    I.Zone = Zone;
    I.Fd = listenOn("127.0.0.1", 0);
    I.Port = portOf(I.Fd);
    I.Born = std::chrono::duration_cast<Ms>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
    if (Primary.empty() && Instances.size() == 1)
      Primary = Id;
    registerLocked(I);
    std::thread([this, &I] { acceptAll(I); }).detach();
  }
  /// Reports that an instance drains. Returns when the store accepted it.
  long drain(const std::string &Id) {
    std::lock_guard<std::mutex> Lock(M);
    Instance &I = Instances.at(Id);
    I.State = "draining";
    registerLocked(I);
    return nowMs();
  }
  /// Ends an instance and removes its entry.
  void exit(const std::string &Id) {
    std::lock_guard<std::mutex> Lock(M);
    Instance &I = Instances.at(Id);
    I.Down = true;
    shutdown(I.Fd, SHUT_RDWR);
    close(I.Fd);
    for (int Fd : I.Open)
      resetSocket(Fd);
    if (Primary == Id)
      Primary.clear();
    S.remove("servers", Id);
  }
  /// Handles POST /promote.
  int promote(const std::string &Id, const std::string &Holder,
              std::uint64_t Token) {
    std::lock_guard<std::mutex> Lock(M);
    if (Token < HighestToken) {
      R.line("promote id=%s holder=%s token=%llu refused", Id.c_str(),
             Holder.c_str(), static_cast<unsigned long long>(Token));
      return 409;
    }
    HighestToken = Token;
    auto It = Instances.find(Id);
    if (It == Instances.end() || It->second.Down)
      return 409;
    R.line("promote id=%s holder=%s token=%llu accepted", Id.c_str(),
           Holder.c_str(), static_cast<unsigned long long>(Token));
    LastHolder = Holder;
    if (Id == Primary)
      return 200;
    std::thread([this, Id] {
      sleepMs(300);
      std::lock_guard<std::mutex> Lock(M);
      Instance &I = Instances.at(Id);
      if (I.Down)
        return;
      std::string Old = Primary;
      Primary = Id;
      ++Term;
      if (!Old.empty())
        registerLocked(Instances.at(Old));
      registerLocked(I);
      R.line("primary of %s is now %s, term %d", Name.c_str(), Id.c_str(), Term);
    }).detach();
    return 200;
  }
  /// Returns the holder of the last promotion that was accepted.
  std::string lastHolder() {
    std::lock_guard<std::mutex> Lock(M);
    return LastHolder;
  }
  std::string primary() {
    std::lock_guard<std::mutex> Lock(M);
    return Primary;
  }
  std::vector<Run> arrivals() {
    std::lock_guard<std::mutex> Lock(M);
    return Runs;
  }

private:
  void registerLocked(const Instance &I) {
    if (I.Down)
      return;
    Json Spec{{"service", Name},
              {"address", "127.0.0.1:" + std::to_string(I.Port)},
              {"zone", I.Zone},
              {"configVersion", "1.4.2"},
              {"slots", Slots},
              {"state", I.State},
              {"coldRemainingMs", 0},
              {"seqNo", ++Seq},
              {"dbRole", I.Id == Primary ? "primary" : "replica"},
              {"born", I.Born}};
    S.put("servers", I.Id, Spec.dump());
  }

  void acceptAll(Instance &I) {
    while (true) {
      int Fd = accept4(I.Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        return;
      int One = 1;
      setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
      {
        std::lock_guard<std::mutex> Lock(M);
        I.Open.insert(Fd);
        ++I.Connections;
      }
      std::thread([this, &I, Fd] {
        serve(I, Fd);
        std::lock_guard<std::mutex> Lock(M);
        --I.Connections;
        I.Open.erase(Fd);
        close(Fd);
      }).detach();
    }
  }

  /// Occupies a slot for \p Length; false if too many wait already.
  bool work(std::unique_lock<std::mutex> &Lock, Instance &I, long Length) {
    if (I.Busy >= Slots && I.Waiting >= Queue)
      return false;
    ++I.Waiting;
    Free.wait(Lock, [&] { return I.Busy < Slots; });
    --I.Waiting;
    ++I.Busy;
    Lock.unlock();
    sleepMs(Length);
    Lock.lock();
    --I.Busy;
    Free.notify_all();
    return true;
  }

  std::string positionLocked() const {
    return Log.empty() ? "1.0"
                       : std::to_string(Log.back().first) + "." +
                             std::to_string(Log.size());
  }

  void serve(Instance &I, int Fd) {
    Reader In(Fd);
    std::optional<std::string> First = In.line();
    if (!First)
      return;
    std::string Word = takeWord(*First);
    std::string Service = takeWord(*First);
    takeWord(*First);
    std::string Expected = takeWord(*First);
    std::unique_lock<std::mutex> Lock(M);
    if (Word != "STARTUP" || Service != Name ||
        (!Expected.empty() && Expected != I.Id)) {
      Lock.unlock();
      sendAll(Fd, "ERROR MISROUTED " + I.Id + "\r\n");
      return;
    }
    if (I.Connections > MaxConns) {
      Lock.unlock();
      sendAll(Fd, "ERROR TOOMANY " + I.Id + "\r\n");
      return;
    }
    work(Lock, I, HandshakeMs);
    std::string Ready = "READY I " + positionLocked() + "\r\n";
    Lock.unlock();
    if (!sendAll(Fd, Ready))
      return;
    char State = 'I';
    bool ReadWrite = true;
    std::vector<std::pair<std::string, std::string>> Pending;
    std::map<std::string, std::string> Prepared;
    while (true) {
      std::optional<std::string> Line = In.line();
      if (!Line)
        return;
      std::string Rest = *Line;
      if (takeWord(Rest) != "QUERY")
        return;
      std::string Id = takeWord(Rest);
      std::string Text = Rest;
      if (Rest.compare(0, 6, "AFTER ") == 0) {
        takeWord(Rest);
        takeWord(Rest);
        Text = Rest;
      }
      Lock.lock();
      if (I.Down)
        return;
      if (Id != "-")
        Runs.push_back({nowMs(), I.Id, Id, Text});
      std::string Answer =
          run(Lock, I, Id, Text, State, ReadWrite, Pending, Prepared);
      Answer += std::string("READY ") + State + " " + positionLocked() + "\r\n";
      bool IsDown = I.Down;
      Lock.unlock();
      if (IsDown || !sendAll(Fd, Answer))
        return;
    }
  }

  std::string
  run(std::unique_lock<std::mutex> &Lock, Instance &I, const std::string &Id,
      std::string Text, char &State, bool &ReadWrite,
      std::vector<std::pair<std::string, std::string>> &Pending,
      std::map<std::string, std::string> &Prepared) {
    std::string Full = Text;
    std::string Verb = takeWord(Text);
    auto Refuse = [&](const char *Code) {
      if (State == 'T')
        State = 'E';
      return std::string("ERROR ") + Code + " " + I.Id + "\r\n";
    };
    const std::string Done = "COMPLETE -\r\n";
    bool Leads = Primary == I.Id;
    if (Verb == "ROLLBACK") {
      if (State == 'I')
        return Refuse("MALFORMED");
      State = 'I';
      Pending.clear();
      return Done;
    }
    if (State == 'E') {
      if (Verb == "COMMIT")
        State = 'I';
      return Refuse("MALFORMED");
    }
    if (Verb == "BEGIN") {
      if (State != 'I')
        return Refuse("MALFORMED");
      if (Text.empty() && !Leads)
        return Refuse("READONLY");
      State = 'T';
      ReadWrite = Text.empty();
      return Done;
    }
    if (Verb == "SET" || Verb == "RESET") {
      if (Verb == "RESET")
        Prepared.clear();
      return Done;
    }
    if (Verb == "PREPARE") {
      std::string Key = takeWord(Text);
      Prepared[Key] = takeWord(Text);
      return Done;
    }
    if (Verb == "STATUS" || Verb == "DEMOTE" || Verb == "PAUSE" ||
        Verb == "RESUME") {
      if (Verb == "STATUS" && !work(Lock, I, 1))
        return Refuse("BUSY");
      if (Verb == "DEMOTE" && Primary == I.Id && Term < std::atoi(Text.c_str())) {
        Primary.clear();
        registerLocked(I);
        R.line("%s is demoted", I.Id.c_str());
      }
      return std::string("ROW ") + (Primary == I.Id ? "primary " : "replica ") +
             std::to_string(Term) + " " + positionLocked() + " 0 0 " +
             std::to_string(I.Busy) + " " + std::to_string(I.Connections) +
             "\r\n" + Done;
    }
    if (Verb == "EXECUTE") {
      auto It = Prepared.find(takeWord(Text));
      if (It == Prepared.end())
        return Refuse("NOSTMT");
      Verb = It->second;
    }
    if (Verb == "COMMIT" && State != 'T')
      return Refuse("MALFORMED");
    bool NeedsLead = Verb == "WRITE" || (State == 'T' && ReadWrite &&
                                         (Verb != "COMMIT" || !Pending.empty()));
    if (NeedsLead && !Leads)
      return Refuse("READONLY");
    bool HasRun = work(Lock, I, WorkMs());
    if (!HasRun)
      return Refuse("BUSY");
    if (NeedsLead && Primary != I.Id)
      return Refuse("READONLY");
    std::string Receipt = "COMPLETE r-" + Id + "\r\n";
    if (Verb == "READ") {
      std::string Item = takeWord(Text);
      for (auto It = Pending.rbegin(); It != Pending.rend(); ++It)
        if (It->first == Item)
          return "ROW " + It->second + "\r\n" + Receipt;
      return "ROW " + Data[Item] + "\r\n" + Receipt;
    }
    if (Verb == "WRITE") {
      std::string Item = takeWord(Text);
      Pending.emplace_back(Item, Text);
      if (State == 'T')
        return Receipt;
    }
    if (!Pending.empty())
      Log.emplace_back(Term, Id);
    for (const auto &[Item, Value] : Pending)
      Data[Item] = Value;
    Pending.clear();
    State = 'I';
    return Receipt;
  }

  Store &S;
  Record &R;
  std::string Name;
  int Slots;
  int Queue;
  int MaxConns;
  std::function<long()> WorkMs;
  long HandshakeMs;
  std::mutex M;
  std::condition_variable Free;
  std::map<std::string, Instance> Instances;
  std::string Primary;
  int Term = 1;
  std::uint64_t HighestToken = 0;
  std::string LastHolder;
  std::uint64_t Seq = 0;
  std::vector<std::pair<int, std::string>> Log;
  std::map<std::string, std::string> Data;
  std::vector<Run> Runs;
};

/// One proxy process.
struct Vm {
  std::string Name;
  std::string Zone;
  std::string Ip;
  Store::Door *Door = nullptr;
  pid_t Pid = -1;
  std::atomic<int> Misses{0};
  std::atomic<bool> InRotation{false};
};

class Fleet {
public:
  Fleet(Store &S, Record &R, std::string TempDir, std::string Program)
      : S(S), R(R), Dir(std::move(TempDir)), Program(std::move(Program)) {
    // The ports are the same on all machines, so they must be free on all.
    for (int Base = 21000 + (getpid() * 37) % 30000;; Base += 101) {
      Port = Base % 60000;
      if (Port < 20000)
        continue;
      bool Free = true;
      for (int I = 1; I <= 9 && Free; ++I)
        for (int P : {Port, Port + 1, Port + 2, Port + 3, Port + 10, Port + 11}) {
          int Fd = listenOn(ip(I), P);
          Free = Free && Fd >= 0;
          if (Fd >= 0)
            close(Fd);
        }
      if (Free)
        break;
    }
  }
  /// Ends all processes.
  void killAll() {
    Ends = true;
    for (auto &Each : Vms)
      stop(*Each, SIGKILL);
  }
  static std::string ip(int I) { return "127.0.1." + std::to_string(I); }

  Vm &add(const std::string &Zone) {
    Vms.emplace_back(new Vm);
    Vm &V = *Vms.back();
    V.Name = "front-" + Zone + "-" + std::to_string(Vms.size());
    V.Zone = Zone;
    V.Ip = ip(static_cast<int>(Vms.size()));
    V.Door = &S.addDoor();
    return V;
  }
  void startAll() {
    for (auto &Each : Vms)
      start(*Each);
    for (auto &Each : Vms)
      std::thread([this, V = Each.get()] { probeAll(*V); }).detach();
  }
  std::string logOf(const Vm &V) const { return Dir + "/" + V.Name + ".log"; }

  void start(Vm &V) {
    std::string Path = Dir + "/" + V.Name + ".toml";
    FILE *F = std::fopen(Path.c_str(), "w");
    std::string Seeds;
    for (std::size_t I = 0; I < Vms.size() && I < 3; ++I)
      Seeds += (I ? "," : "") + ("\"" + Vms[I]->Ip + ":" + std::to_string(Port + 2) + "\"");
    std::fprintf(F,
                 "[daemon]\nvm = \"%s\"\nfailure_domain = \"%s\"\n"
                 "region = \"%s\"\nregions = [\"oaxaca=centro-sur\",\"queretaro=bajio\","
                 "\"puebla=centro-sur\"]\nlog_level = \"info\"\n\n"
                 "[listen]\naddress = \"%s\"\ncallers = \"%s:%d\"\n"
                 "readiness = \"%s:%d\"\noperators = \"%s:%d\"\nmetrics = \"%s:%d\"\n\n"
                 "[peers]\nfirst_port = %d\nlast_port = %d\nseeds = [%s]\n\n"
                 "[platform]\nstore = \"127.0.0.1:%d\"\norders = \"127.0.0.1:%d\"\n"
                 "fencing_enforced = true\n\n"
                 "[limits]\nmax_descriptors = 4300\ngrace_s = 6\n",
                 V.Name.c_str(), V.Zone.c_str(),
                 V.Zone == "queretaro" ? "bajio" : "centro-sur", V.Ip.c_str(),
                 V.Ip.c_str(), Port, V.Ip.c_str(), Port + 1, V.Ip.c_str(),
                 Port + 2, V.Ip.c_str(), Port + 3, Port + 10, Port + 25,
                 Seeds.c_str(), V.Door->Port, OrdersDoor().Port);
    std::fclose(F);
    std::string Log = logOf(V);
    pid_t Parent = getpid();
    pid_t Pid = fork();
    if (Pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != Parent)
        _exit(1);
      int Fd = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Fd, 1);
      dup2(Fd, 2);
      std::string Arg = "--settings=" + Path;
      execl(Program.c_str(), Program.c_str(), Arg.c_str(), nullptr);
      _exit(127);
    }
    V.Pid = Pid;
    R.line("started %s", V.Name.c_str());
  }
  /// Sends a signal and waits for the end. Returns the wait status.
  int stop(Vm &V, int Signal) {
    if (V.Pid <= 0)
      return 0;
    kill(V.Pid, Signal);
    return await(V);
  }
  int await(Vm &V) {
    int Status = 0;
    waitpid(V.Pid, &Status, 0);
    V.Pid = -1;
    return Status;
  }
  /// Returns the wait status if the process has ended by itself.
  std::optional<int> ended(Vm &V) {
    int Status = 0;
    if (V.Pid > 0 && waitpid(V.Pid, &Status, WNOHANG) == V.Pid) {
      V.Pid = -1;
      return Status;
    }
    return std::nullopt;
  }
  bool isReady(const Vm &V) const {
    int Fd = connectTo(V.Ip, Port + 1, 900);
    if (Fd < 0)
      return false;
    bool Ok = sendAll(Fd, "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    std::optional<std::string> Line;
    if (Ok)
      Line = Reader(Fd).line();
    close(Fd);
    return Line && Line->find(" 200") != std::string::npos;
  }
  bool awaitReady(long TimeoutMs) {
    long End = nowMs() + TimeoutMs;
    for (auto &Each : Vms)
      while (!isReady(*Each)) {
        if (nowMs() > End)
          return false;
        sleepMs(100);
      }
    return true;
  }
  /// Chooses a machine of a zone as PROTOCOL.md says, by a random number that
  /// stands for the hash of the client.
  Vm *pick(const std::string &Zone, unsigned Hash) {
    std::vector<Vm *> All;
    std::vector<Vm *> In;
    std::vector<Vm *> Near;
    for (auto &Each : Vms) {
      if (Each->Zone == Zone) {
        All.push_back(Each.get());
        if (Each->InRotation)
          In.push_back(Each.get());
      } else if (Each->InRotation) {
        Near.push_back(Each.get());
      }
    }
    std::vector<Vm *> *From = &In;
    if (In.empty())
      From = &Near;
    else if (2 * In.size() < All.size())
      From = &All;
    return From->empty() ? nullptr : (*From)[Hash % From->size()];
  }
  Store::Door &OrdersDoor() {
    if (!Orders)
      Orders = &S.addDoor();
    return *Orders;
  }

  int Port = 0;
  std::vector<std::unique_ptr<Vm>> Vms;

private:
  void probeAll(Vm &V) {
    while (!Ends) {
      if (isReady(V)) {
        V.Misses = 0;
        if (!V.InRotation.exchange(true))
          R.line("%s in rotation", V.Name.c_str());
      } else if (++V.Misses >= 2 && V.InRotation.exchange(false)) {
        R.line("%s out of rotation", V.Name.c_str());
      }
      sleepMs(1000);
    }
  }

  Store &S;
  Record &R;
  std::string Dir;
  std::string Program;
  Store::Door *Orders = nullptr;
  std::atomic<bool> Ends{false};
};

/// A client's session.
class Client {
public:
  Client(const std::string &Ip, int Port, long TimeoutMs)
      : Fd(connectTo(Ip, Port, TimeoutMs)), In(Fd) {}
  ~Client() {
    if (Fd >= 0)
      close(Fd);
  }
  bool open(const std::string &Database, const std::string &Who) {
    if (Fd < 0 || !sendAll(Fd, "STARTUP " + Database + " " + Who + "\r\n"))
      return false;
    auto Line = In.line();
    return Line && Line->compare(0, 5, "READY") == 0;
  }
  bool send(const std::string &Id, const std::string &Text) {
    return sendAll(Fd, "QUERY " + Id + " " + Text + "\r\n");
  }
  /// Reads one answer: its lines before READY, joined by " | ". Empty if the
  /// connection ended (or the time limit passed, see timedOut()) before READY.
  std::optional<std::string> answer() {
    std::string Out;
    while (true) {
      auto Line = In.line();
      if (!Line)
        return std::nullopt;
      if (Line->compare(0, 5, "READY") == 0)
        return Out;
      Out += (Out.empty() ? "" : " | ") + *Line;
    }
  }
  bool timedOut() const { return In.TimedOut; }
  /// Waits for \p Length or until \p Stops; returns whether the connection ended.
  bool endsWithin(long Length, const std::atomic<bool> &Stops) const {
    for (long End = nowMs() + Length; nowMs() < End && !Stops;) {
      pollfd P{Fd, POLLIN, 0};
      if (poll(&P, 1, static_cast<int>(std::min(200L, End - nowMs()))) > 0)
        return true;
    }
    return false;
  }

private:
  int Fd;
  Reader In;
};

/// The desired state: for each service one route of each kind, named after the
/// service. Figures as on the site cabra-ventas.
inline std::string configuration(const std::vector<std::string> &Services,
                                 int Version, int MaxConns) {
  Json Routes = Json::array();
  Json Listed = Json::array();
  for (const std::string &Service : Services) {
    auto Add = [&](const std::string &Name, const char *Type, int Timeout,
                   int Aim, int Stale, int Priority) {
      Json Out{{"name", "r-" + Name}, {"host", Name},
               {"pathPrefix", "/"},   {"routeType", Type},
               {"timeoutMs", Timeout}, {"targetLatencyMs", Aim},
               {"priority", Priority}, {"service", Service},
               {"attempts", 2}};
      if (Stale)
        Out["maxStalenessMs"] = Stale;
      Routes.push_back(Out);
    };
    Add("pedidos-" + Service, "primary", 800, 300, 0, 1);
    Add("catalogo-" + Service, "bounded", 1500, 600, 1500, 2);
    Add("precios-" + Service, "read_your_writes", 800, 500, 2500, 2);
    Listed.push_back({{"name", Service},
                      {"healthPath", "/health"},
                      {"maxConns", MaxConns},
                      {"protocol", "h1"},
                      {"tls", false},
                      {"syncReplicas", 0}});
  }
  Json Config{{"configVersion", Version},
              {"routes", Routes},
              {"services", Listed},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 262144},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000},
                {"txIdleMs", 3000}}}};
  return Config.dump();
}

/// A temporary folder; remove() removes it with its files.
class TempDir {
public:
  TempDir() {
    char Name[] = "/tmp/review-XXXXXX";
    Path = mkdtemp(Name);
  }
  void remove() const {
    if (std::getenv("KEEP_LOGS")) {
      std::printf("logs are in %s\n", Path.c_str());
      return;
    }
    std::string Command = "rm -rf '" + Path + "'";
    if (std::system(Command.c_str()) != 0)
      std::perror("rm");
  }
  std::string Path;
};

inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

} // namespace review
