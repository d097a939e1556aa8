// Many machines have been replaced over time, then all processes are killed at
// once. Checks RECOVER: of the requests sent later than recoveryS after the
// machines are back, a quarter is served.
#include "Clients.h"

using namespace review;

namespace {

/// Machines that were replaced, in all.
constexpr int Replaced = 300;
/// Machines that are there at the same time while that goes on.
constexpr int Batch = 12;
constexpr double RecoveryS = 12.0;
/// Time for which requests are counted after RecoveryS.
constexpr double CountedS = 4.0;
/// Time that the machines are down in the final fault.
constexpr int DownMs = 800;

const char *const Domains[] = {"oaxaca", "puebla", "queretaro"};
const char *const Regions[] = {"centro-sur", "centro-sur", "bajio"};

int run(const std::string &Folder, Record &Log) {
  Platform World(Log);
  std::vector<std::string> Ips{"127.0.0.71", "127.0.0.72", "127.0.0.73"};
  int Base = freeBlock(Ips);
  if (!Base)
    return CouldNotRun;
  auto Make = [&](int Domain, int Number, const std::string &Ip) {
    return std::make_unique<Proxy>(Proxy::Options{
        .Vm = "front-" + std::string(Domains[Domain]) + "-" +
              std::to_string(Number),
        .Domain = Domains[Domain],
        .Region = Regions[Domain],
        .Ip = Ip,
        .StoreAddress = World.address(),
        .OrdersAddress = World.address(),
        .Folder = Folder,
        .Port = Base,
        .Seeds = Ips});
  };
  std::vector<std::unique_ptr<SilentAddress>> Removed;
  // Earlier machines: each starts, registers and is removed for good.
  int Earlier = trouble() ? Replaced : 0;
  for (int First = 0; First < Earlier; First += Batch) {
    std::vector<std::unique_ptr<Proxy>> Machines;
    for (int I = First; I < std::min(First + Batch, Earlier); ++I) {
      std::string Ip = "127.0." + std::to_string(2 + I / 200) + "." +
                       std::to_string(1 + I % 200);
      Machines.push_back(Make(I % 3, 1 + I / 3, Ip));
      Machines.back()->start();
    }
    for (auto &Each : Machines) {
      int Waited = 0;
      while (!World.on([&] {
        return World.Store->contains("cicadawind-vms", Each->options().Vm);
      })) {
        sleepMs(10);
        if ((Waited += 10) > 15000)
          return CouldNotRun;
      }
    }
    for (auto &Each : Machines) {
      Each->end();
      // The ports of peers and relays.
      for (int Offset : {4, 5}) {
        Removed.push_back(std::make_unique<SilentAddress>(
            Each->options().Ip, Base + Offset));
        if (!Removed.back()->isSilent())
          return CouldNotRun;
      }
    }
  }
  Log.line("machines that were there and were removed for good: " +
           std::to_string(Earlier));
  std::vector<std::unique_ptr<Proxy>> Vms;
  for (int I = 0; I < 3; ++I) {
    Vms.push_back(Make(I, 1 + (Replaced + 2) / 3, Ips[I]));
    Vms.back()->start();
  }
  for (auto &Each : Vms)
    if (!Each->waitReady(20000))
      return CouldNotRun;
  Log.line("three machines are ready");
  Clients All(Vms, Log);
  // Until the system serves as usual.
  Share Before;
  for (int Round = 0; Round < 25 && Before.value() < 0.9; ++Round) {
    Before = All.measure(2000);
    Log.line("served in two seconds before the final fault: " + Before.text());
  }
  All.begin();
  sleepMs(1000);
  TimePoint Back = finalFault(Vms, DownMs, Log);
  ExitCode Code = checkRecovery(All, Before, Back, RecoveryS, CountedS, Log);
  for (auto &Each : Vms)
    if (Each->hasEnded())
      return CouldNotRun;
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
