// A small deployment: seven machines in three zones, and services with an
// instance in each zone, with the figures of the site cabra-ventas.
#pragma once

#include "World.h"

#include <random>

namespace review {

constexpr long DrainMs = 7000;
constexpr long GraceMs = 6000;
constexpr long LossSlackMs = 200;

struct SmallSystem {
  /// One request of a client, and what became of it.
  struct Request {
    std::string Id;
    std::string Text;
    Vm *To = nullptr;
    long SentAt = 0;
    long EndedAt = 0;
    /// Empty if the connection ended, or the time limit passed, before.
    std::optional<std::string> Answer;
    bool TimedOut = false;
  };

  SmallSystem(int Argc, char **Argv, std::vector<std::string> Names = {"bodega"})
      : R(Argc > 2 ? Argv[2] : "record.txt"), Names(std::move(Names)),
        F(S, R, Temp.Path, Argc > 1 ? Argv[1] : "target/cicadawind-proxy") {
    startTime();
    S.onPromote([this](const std::string &Name, const std::string &Id,
                       const std::string &Holder, std::uint64_t Token) {
      auto It = Services.find(Name);
      return It == Services.end() ? 409 : It->second->promote(Id, Holder, Token);
    });
    S.put("config", "main", configuration(this->Names, 7, 16));
    for (const std::string &Name : this->Names) {
      Services[Name] = std::make_unique<Service>(
          S, R, Name, 2, 16, 16, [this] { return workMs(); }, 12);
      Service &Each = *Services[Name];
      Each.add("i-" + Name + "-a1", "oaxaca");
      Each.add("i-" + Name + "-b1", "puebla");
      Each.add("i-" + Name + "-c1", "queretaro");
    }
    for (const char *Zone : {"oaxaca", "oaxaca", "oaxaca", "queretaro",
                             "queretaro", "puebla", "puebla"})
      F.add(Zone);
  }

  /// Ends all processes, removes the temporary folder and ends this program.
  /// The threads of the stand-ins are not joined.
  [[noreturn]] void finish(int Code, const std::string &Reason) {
    R.say(Reason);
    stopClients();
    F.killAll();
    Temp.remove();
    std::fflush(nullptr);
    std::_Exit(Code);
  }

  long workMs() {
    static thread_local std::mt19937 Random(std::random_device{}());
    std::lognormal_distribution<double> Length(std::log(MeanWorkMs), 0.5);
    // A few jobs take many times longer than the rest.
    bool IsLong = HasLongWork && Random() % 100 < 3;
    return std::min(200L, std::max(1L, std::lround(Length(Random) * (IsLong ? 7 : 1))));
  }

  /// Starts clients that open a session for each operation, about \p PerS
  /// operations a second in each zone.
  void startClients(int PerS, int Threads = 8) {
    for (const char *Zone : {"oaxaca", "puebla", "queretaro"})
      for (int I = 0; I < Threads; ++I)
        Clients.emplace_back([this, Zone, I, PerS, Threads] {
          std::mt19937 Random(std::random_device{}());
          std::exponential_distribution<double> Pause(PerS / 1000.0 / Threads);
          for (int N = 0; !Ends; ++N) {
            operate(Zone, std::string(Zone) + std::to_string(I) + "n" +
                              std::to_string(N),
                    Random);
            sleepMs(std::lround(std::min(Pause(Random), 2000.0)));
          }
        });
  }
  /// Starts clients whose sessions are long and mostly idle: an operation about
  /// every 4 s, and a new session at once after a close.
  void startLongClients(int PerZone) {
    for (const char *Zone : {"oaxaca", "puebla", "queretaro"})
      for (int I = 0; I < PerZone; ++I)
        Clients.emplace_back([this, Zone, I] {
          std::mt19937 Random(std::random_device{}());
          sleepMs(static_cast<long>(Random() % 1000));
          for (int N = 0; !Ends; ++N)
            keepSession(Zone, std::string("long-") + Zone + std::to_string(I) +
                                  "n" + std::to_string(N),
                        Random);
        });
  }
  void stopClients() {
    Ends = true;
    for (std::thread &Each : Clients)
      Each.join();
    Clients.clear();
  }

  /// One operation: a read, a write, or a transaction of reads with pauses.
  void operate(const std::string &Zone, const std::string &Id,
               std::mt19937 &Random) {
    Vm *V = F.pick(Zone, static_cast<unsigned>(Random()));
    ++Asked;
    if (!V)
      return;
    const std::string &Of = Names[Random() % Names.size()];
    Client C(V->Ip, F.Port, 2000);
    unsigned Kind = Random() % 100;
    bool OnPrimary = Kind < 15;
    bool Transaction = Random() % 100 < TransactionPercent;
    if (!C.open((OnPrimary ? "pedidos-" : "precios-") + Of, "u1"))
      return;
    std::string Item = "k" + std::to_string(Random() % 50);
    if (!Transaction) {
      bool Writes = OnPrimary && Random() % 2;
      ask(C, V, Id, Writes ? "WRITE " + Item + " v" + Id : "READ " + Item);
      return;
    }
    if (!ask(C, V, Id + "b", "BEGIN READ"))
      return;
    unsigned Count = 2 + Random() % 7;
    for (unsigned I = 0; I < Count; ++I) {
      if (!ask(C, V, Id + "s" + std::to_string(I), "READ " + Item)) {
        ask(C, V, Id + "r", "ROLLBACK");
        return;
      }
      sleepMs(50 + static_cast<long>(Random() % 250));
    }
    ask(C, V, Id + "c", "COMMIT");
  }

  /// Keeps one session until it is closed.
  void keepSession(const std::string &Zone, const std::string &Id,
                   std::mt19937 &Random) {
    Vm *V = F.pick(Zone, static_cast<unsigned>(Random()));
    if (!V)
      return sleepMs(200);
    Client C(V->Ip, F.Port, 2000);
    if (!C.open("precios-" + Names[Random() % Names.size()], "u2"))
      return sleepMs(200);
    for (int N = 0; !Ends; ++N) {
      if (C.endsWithin(2000 + static_cast<long>(Random() % 4000), Ends))
        return;
      if (!ask(C, V, Id + "q" + std::to_string(N),
               "READ k" + std::to_string(Random() % 50)))
        return;
    }
  }

  /// Sends one request and waits for its answer. Returns whether it succeeded.
  bool ask(Client &C, Vm *V, const std::string &Id, const std::string &Text) {
    Request Q;
    Q.Id = Id;
    Q.Text = Text;
    Q.To = V;
    Q.SentAt = nowMs();
    if (!C.send(Id, Text))
      return false;
    Q.Answer = C.answer();
    Q.EndedAt = nowMs();
    Q.TimedOut = C.timedOut();
    bool Ok = Q.Answer && Q.Answer->find("COMPLETE") != std::string::npos;
    Served += Ok ? 1 : 0;
    if (!Ok)
      R.line("client sent=%ld to=%s %s %s answer=%s", Q.SentAt, V->Name.c_str(),
             Id.c_str(), Text.c_str(),
             Q.Answer     ? Q.Answer->c_str()
             : Q.TimedOut ? "none in time"
                          : "connection ended");
    std::lock_guard<std::mutex> Lock(RequestsMutex);
    Requests.push_back(std::move(Q));
    return Ok;
  }

  TempDir Temp;
  Record R;
  Store S;
  double MeanWorkMs = 8;
  bool HasLongWork = false;
  unsigned TransactionPercent = 0;
  std::vector<std::string> Names;
  std::map<std::string, std::unique_ptr<Service>> Services;
  Fleet F;
  std::atomic<bool> Ends{false};
  std::atomic<long> Asked{0};
  std::atomic<long> Served{0};
  std::mutex RequestsMutex;
  std::vector<Request> Requests;
  std::vector<std::thread> Clients;
};

} // namespace review
