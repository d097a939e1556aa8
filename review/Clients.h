// Clients whose operations are counted as served or not; used by the cases that
// check RECOVER.
#ifndef REVIEW_CLIENTS_H
#define REVIEW_CLIENTS_H

#include "Loopback.h"

namespace review {

struct Operation {
  TimePoint SentAt;
  bool Served = false;
};

struct Client {
  int Number = 0;
  std::string Database;
  /// API key, or any word.
  std::string Who = "u3f1";
  bool Writes = false;
  std::vector<Operation> Done;
  std::map<std::string, int> Answers;
};

/// Sends operations, one at a time; one that is not served is retried twice,
/// each time at another machine.
inline void work(Client &Who, std::vector<std::unique_ptr<Proxy>> &Vms, Record &Log,
          std::atomic<bool> &Stop) {
  std::vector<Session> Sessions(Vms.size());
  int Number = 0;
  while (!Stop) {
    sleepMs(60);
    Operation Next{.SentAt = BootClock::now()};
    ++Number;
    std::string Last;
    std::string Text;
    for (int Attempt = 0; Attempt < 3 && !Next.Served; ++Attempt) {
      std::size_t Vm =
          static_cast<std::size_t>(Who.Number + Attempt) % Vms.size();
      Session &S = Sessions[Vm];
      std::string Id = "o" + std::to_string(Who.Number) + "-" +
                       std::to_string(Number) + "-" + std::to_string(Attempt);
      if (!S.isOpen() && !S.open(Vms[Vm]->endpoint(0), Who.Database,
                                  Who.Who)) {
        S.close();
        Last = "no connection";
        continue;
      }
      Session::Answer A =
          S.ask(Id, Who.Writes ? "WRITE lote" + std::to_string(Number) + " x"
                               : "READ lote1");
      Last = A.succeeded() ? "COMPLETE" : A.Error;
      Text = A.Text.empty() ? "" : " (" + A.Text + ")";
      Next.Served = A.succeeded();
      // A write in doubt is not sent again.
      if (Who.Writes && (Last == "INDOUBT" || Last == "CUT"))
        break;
    }
    ++Who.Answers[Last];
    Log.lineAt(Next.SentAt, "client " + std::to_string(Who.Number) + ": " +
                                Who.Database + " operation " +
                                std::to_string(Number) + " ends with " + Last +
                                Text);
    Who.Done.push_back(Next);
  }
}

struct Share {
  int Sent = 0;
  int Served = 0;
  double value() const { return Sent ? static_cast<double>(Served) / Sent : 0; }
  std::string text() const {
    return std::to_string(Served) + " of " + std::to_string(Sent);
  }
};

inline Share shareOf(const std::vector<Client> &Clients, TimePoint From,
              TimePoint To) {
  Share Out;
  for (const Client &Each : Clients)
    for (const Operation &O : Each.Done)
      if (O.SentAt >= From && O.SentAt < To) {
        ++Out.Sent;
        Out.Served += O.Served;
      }
  return Out;
}

/// Three clients for each of three machines, on threads of their own.
class Clients {
public:
  Clients(std::vector<std::unique_ptr<Proxy>> &Vms, Record &Log,
          const std::string &Who = "u3f1")
      : Vms(Vms), Log(Log) {
    for (int I = 0; I < 9; ++I) {
      const char *Databases[] = {"pedidos", "catalogo", "precios"};
      All.push_back({.Number = I,
                     .Database = Databases[I % 3],
                     .Who = Who,
                     .Writes = I % 3 == 0});
    }
  }
  ~Clients() { end(); }
  void begin() {
    Stop = false;
    for (Client &Each : All)
      Threads.emplace_back([&] { work(Each, Vms, Log, Stop); });
  }
  void end() {
    Stop = true;
    for (std::thread &Each : Threads)
      Each.join();
    Threads.clear();
  }
  /// Sends operations for the given time and returns what was served.
  Share measure(int Ms) {
    TimePoint From = BootClock::now();
    begin();
    sleepMs(Ms);
    end();
    return share(From, BootClock::now());
  }
  Share share(TimePoint From, TimePoint To) const {
    return shareOf(All, From, To);
  }
  void logTotals() {
    for (const Client &Each : All)
      for (const auto &[What, Count] : Each.Answers)
        Log.line("client " + std::to_string(Each.Number) + " " +
                 Each.Database + " " + What + ": " + std::to_string(Count));
  }

private:
  std::vector<std::unique_ptr<Proxy>> &Vms;
  Record &Log;
  std::vector<Client> All;
  std::vector<std::thread> Threads;
  std::atomic<bool> Stop = false;
};

/// Kills all processes, starts them again after \p DownMs and returns when the
/// machines were back.
inline TimePoint finalFault(std::vector<std::unique_ptr<Proxy>> &Vms,
                            int DownMs, Record &Log) {
  Log.line("final fault: all processes are killed");
  for (auto &Each : Vms)
    Each->end();
  sleepMs(DownMs);
  for (auto &Each : Vms)
    Each->start();
  TimePoint Back = BootClock::now();
  Log.lineAt(Back, "the machines are back");
  return Back;
}

/// Waits until \p CountedS after RecoveryS and checks RECOVER: less than a
/// quarter of the requests sent later than RecoveryS is served, though a
/// quarter or more was before the final fault.
inline ExitCode checkRecovery(Clients &All, Share Before, TimePoint Back,
                              double RecoveryS, double CountedS, Record &Log) {
  sleepMs(static_cast<int>(1000 * (RecoveryS + CountedS)));
  All.end();
  auto At = [&](double Seconds) {
    return Back + std::chrono::milliseconds(static_cast<int>(1000 * Seconds));
  };
  for (double S = 0; S < RecoveryS + CountedS; S += 2)
    Log.line("sent " + std::to_string(static_cast<int>(S)) + " to " +
             std::to_string(static_cast<int>(S) + 2) +
             " s after the machines are back: served " +
             All.share(At(S), At(S + 2)).text());
  Share After = All.share(At(RecoveryS), At(RecoveryS + CountedS));
  All.logTotals();
  Log.line("served before the final fault: " + Before.text() +
           "; of those sent later than recoveryS: " + After.text());
  if (Before.value() < 0.25 || After.Sent == 0)
    return CouldNotRun;
  return After.value() < 0.25 ? Broken : Held;
}

} // namespace review

#endif
