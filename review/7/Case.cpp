// An entry of another writer stands among those of the instances, and all
// processes are killed at once. Checks RECOVER.
#include "Clients.h"

using namespace review;

namespace {

constexpr double RecoveryS = 12.0;
/// Time for which requests are counted after RecoveryS.
constexpr double CountedS = 4.0;
/// Time that the machines are down in the final fault.
constexpr int DownMs = 800;
/// Stands for the unreadable bytes in the emulated store.
const char *const Placeholder = "@@BYTES@";
const char *const UnreadableBytes = "\xff\xfe\xc3\x28\xa0\xff\xfe\xc3";

int run(const std::string &Folder, Record &Log) {
  Platform World(Log);
  Rewriter Store(World.Store->port(), Placeholder, UnreadableBytes);
  std::vector<std::string> Ips{"127.0.0.81", "127.0.0.82", "127.0.0.83"};
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
                       .StoreAddress = Store.address(),
                       .OrdersAddress = World.address(),
                       .Folder = Folder,
                       .Port = Base,
                       .Seeds = Ips}));
    Vms.back()->start();
  }
  for (auto &Each : Vms)
    if (!Each->waitReady(20000))
      return CouldNotRun;
  Log.line("three machines are ready");
  Clients All(Vms, Log);
  All.measure(2000);
  Share Before = All.measure(2000);
  Log.line("served in two seconds before the disruption: " + Before.text());
  All.begin();
  if (trouble()) {
    World.on([&] {
      World.Store->put("servers", "i-0c11f7aa",
                       {{"service", "bodega"}, {Placeholder, 1}});
    });
    Log.line("trouble: an entry of another writer with a member name whose "
             "bytes are no UTF-8, and with fields missing");
  }
  sleepMs(3000);
  Share During = All.share(BootClock::now() - std::chrono::seconds(2),
                           BootClock::now());
  Log.line("served in the two seconds before the final fault: " +
           During.text());
  TimePoint Back = finalFault(Vms, DownMs, Log);
  ExitCode Code =
      checkRecovery(All, During, Back, RecoveryS, CountedS, Log);
  for (auto &Each : Vms) {
    Log.line(Each->options().Vm + " ready: " + (Each->isReady() ? "yes" : "no"));
    if (Each->hasEnded())
      return CouldNotRun;
  }
  return Code;
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
