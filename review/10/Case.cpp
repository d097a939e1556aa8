// A primary leaves while both of its replicas are down, and a proxy is
// restarted meanwhile. Checks DRAIN: no statement reaches the leaving target
// later than drainMs after the store has accepted that it leaves.
#include "Clients.h"

#include <atomic>

using namespace review;

namespace {

constexpr double DrainS = 7.0;
constexpr double StableWindowS = 4.0;
/// How much longer than drainMs the leaving target serves.
constexpr double LingerS = 0.8;

struct Sender {
  Proxy *To;
  std::string Prefix;
  std::map<std::string, int> Answers;
};

void sendWrites(Sender &Who, Record &Log, std::atomic<bool> &Stop) {
  Session S;
  int Number = 0;
  while (!Stop) {
    sleepMs(20);
    if (!S.isOpen() && !S.open(Who.To->endpoint(0), "pedidos")) {
      S.close();
      continue;
    }
    std::string Id = Who.Prefix + std::to_string(++Number);
    TimePoint SentAt = BootClock::now();
    Session::Answer A = S.ask(Id, "WRITE lote" + std::to_string(Number) + " x");
    std::string What = A.succeeded() ? "COMPLETE" : A.Error;
    ++Who.Answers[What];
    Log.lineAt(SentAt, "client: " + Id + " sent; answered " + What);
  }
}

int run(const std::string &Folder, Record &Log) {
  Platform World(Log);
  std::vector<std::string> Ips{"127.0.0.61", "127.0.0.62", "127.0.0.63"};
  int Base = freeBlock(Ips);
  if (!Base)
    return CouldNotRun;
  const char *Domains[] = {"oaxaca", "puebla", "queretaro"};
  const char *Regions[] = {"centro-sur", "centro-sur", "bajio"};
  std::vector<std::unique_ptr<Proxy>> Vms;
  for (int I = 0; I < 3; ++I) {
    Vms.push_back(std::make_unique<Proxy>(
        Proxy::Options{.Vm = "front-" + std::string(Domains[I]) + "-1",
                       .Domain = Domains[I],
                       .Region = Regions[I],
                       .Ip = Ips[I],
                       .StoreAddress = World.address(),
                       .OrdersAddress = World.address(),
                       .Folder = Folder,
                       .Port = Base,
                       .Seeds = Ips}));
    Vms.back()->start();
  }
  for (auto &Each : Vms)
    if (!Each->waitReady(20000))
      return CouldNotRun;
  sleepMs(4000);
  // Time that a statement takes.
  World.on([&] {
    for (auto &[Id, Each] : World.Instances)
      Each->Faults.Work = std::chrono::milliseconds(10);
  });
  std::atomic<bool> Stop = false;
  std::vector<Sender> Senders;
  for (int I = 0; I < 3; ++I)
    Senders.push_back({Vms[I].get(), "w" + std::to_string(I + 1) + "-", {}});
  std::vector<std::thread> Threads;
  for (Sender &Each : Senders)
    Threads.emplace_back([&] { sendWrites(Each, Log, Stop); });
  auto Join = [&] {
    Stop = true;
    for (std::thread &Each : Threads)
      Each.join();
    Threads.clear();
  };
  sleepMs(5000);
  std::string Leaving = World.primary();
  if (trouble())
    for (const char *Id : {"a", "b", "c"})
      if (Id != Leaving) {
        World.crash(Id);
        Log.line(std::string("trouble: replica ") + Id + " crashes");
      }
  sleepMs(500);
  TimePoint DrainAt = World.drain(Leaving);
  Log.lineAt(DrainAt, "planned: the store has accepted that " + Leaving +
                          " is draining");
  sleepMs(100);
  Proxy &Restarted = *Vms[1];
  Restarted.signal(SIGTERM);
  Log.line("planned: SIGTERM to " + Restarted.options().Vm);
  if (!Restarted.waitForEnd(6000)) {
    Join();
    return CouldNotRun;
  }
  Restarted.start();
  Log.lineAt(Restarted.startedAt(), Restarted.options().Vm + " starts again");
  int Late = 0;
  bool IsForgotten = false;
  bool HasExited = false;
  while (true) {
    double Age =
        std::chrono::duration<double>(BootClock::now() - DrainAt).count();
    if (Age > 12)
      break;
    // Three heartbeats after the crash.
    if (trouble() && !IsForgotten && Age > 3.2) {
      IsForgotten = true;
      for (const char *Id : {"a", "b", "c"})
        if (Id != Leaving)
          World.forget(Id);
      Log.line("store: the entries of the crashed replicas are removed");
    }
    // The target serves for drainMs and a little longer, and then exits.
    if (!HasExited && Age > DrainS + LingerS) {
      HasExited = true;
      World.crash(Leaving);
      World.forget(Leaving);
      Log.line("planned: " + Leaving + " exits");
    }
    std::vector<Arrival> All = World.takeArrivals();
    for (const Arrival &Each : All) {
      bool IsStatement = !Each.Run.Id.empty() && Each.Run.Id[0] == 'w';
      if (!IsStatement || Each.Run.Instance != Leaving)
        continue;
      double Since =
          std::chrono::duration<double>(Each.At - DrainAt).count();
      if (Since <= DrainS)
        continue;
      Proxy &Via = *Vms[static_cast<std::size_t>(Each.Run.Id[1] - '1')];
      double Runs =
          std::chrono::duration<double>(Each.At - Via.startedAt()).count();
      bool InTouch = Runs > StableWindowS;
      Log.lineAt(Each.At,
                 "target " + Leaving + ": " + Each.Run.Id + " " +
                     Each.Run.Text + " arrives " + std::to_string(Since) +
                     " s after draining was accepted, through a machine that "
                     "has run for " +
                     std::to_string(Runs) + " s" +
                     (InTouch ? " (in touch): LATE" : " (not in touch)"));
      Late += InTouch ? 1 : 0;
    }
    sleepMs(5);
  }
  Join();
  for (const Sender &Each : Senders)
    for (const auto &[What, Count] : Each.Answers)
      Log.line(Each.Prefix + " " + What + ": " + std::to_string(Count));
  Log.line("primary at the end: " + World.primary());
  Log.line("late statements through machines in touch: " +
           std::to_string(Late));
  for (auto &Each : Vms)
    if (Each->hasEnded())
      return CouldNotRun;
  return Late > 0 ? Broken : Held;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 3)
    return CouldNotRun;
  std::signal(SIGPIPE, SIG_IGN);
  Record Log(Argv[2]);
  int Code = run(Argv[1], Log);
  Log.line("exit " + std::to_string(Code));
  return Code;
}
