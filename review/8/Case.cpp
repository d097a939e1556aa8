// Each machine has been replaced once, as planned work, and then all processes
// are killed at once. Checks RECOVER for callers of an account with a rate
// limit.
#include "Clients.h"

using namespace review;

namespace {

constexpr double RecoveryS = 15.0;
/// Time for which requests are counted after RecoveryS.
constexpr double CountedS = 4.0;
/// Time that the machines are down in the final fault.
constexpr int DownMs = 800;
/// Time between the replacements of the two machines of a zone; by then the
/// others have forgotten the machine that was replaced first.
constexpr int BetweenRoundsMs = 64000;

const char *const Zones[] = {"kigali-gasabo", "kigali-kicukiro", "huye-ngoma"};
const char *const Regions[] = {"kigali", "kigali", "huye"};
const char *const Key = "bkf83fgfwrz56aw63is4";

int run(const std::string &Folder, Record &Log) {
  json Tenants = {{{"name", "miny420"},
                   {"apiKeys", {Key}},
                   {"priority", 1},
                   {"ratePerS", 278},
                   {"burst", 278}}};
  Platform World(Log, Tenants, {Zones[0], Zones[1], Zones[2]});
  // Addresses of the machines: those of the first ones, then those of the
  // machines that take their places.
  std::vector<std::string> Ips;
  for (int I = 0; I < 12; ++I)
    Ips.push_back("127.0.0." + std::to_string(91 + I));
  int Base = freeBlock(Ips);
  if (!Base)
    return CouldNotRun;
  auto Make = [&](int Index) {
    int Zone = Index % 3;
    return std::make_unique<Proxy>(Proxy::Options{
        .Vm = "front-" + std::string(Zones[Zone]) + "-" +
              std::to_string(1 + Index / 3),
        .Domain = Zones[Zone],
        .Region = Regions[Zone],
        .Ip = Ips[static_cast<std::size_t>(Index)],
        .StoreAddress = World.address(),
        .OrdersAddress = World.address(),
        .Folder = Folder,
        .Port = Base,
        .Seeds = {Ips[0], Ips[1], Ips[2]},
        .Regions = "\"kigali-gasabo=kigali\",\"kigali-kicukiro=kigali\","
                   "\"huye-ngoma=huye\"",
        .DrainMs = 10000,
        .Limits = "quota_tolerance = 20\nquota_overage = 0.1\n"
                  "quota_window_s = 5\n"});
  };
  std::vector<std::unique_ptr<Proxy>> Vms;
  for (int I = 0; I < 6; ++I) {
    Vms.push_back(Make(I));
    Vms.back()->start();
  }
  for (auto &Each : Vms)
    if (!Each->waitReady(20000))
      return CouldNotRun;
  Log.line("six machines are ready, two in each zone");
  sleepMs(2000);
  for (int Round = 0; trouble() && Round < 2; ++Round) {
    if (Round > 0)
      sleepMs(BetweenRoundsMs);
    // One machine of each zone: the new one comes first.
    std::vector<std::unique_ptr<Proxy>> Older;
    for (int I = 0; I < 3; ++I) {
      std::unique_ptr<Proxy> &Place = Vms[static_cast<std::size_t>(3 * Round + I)];
      Older.push_back(std::move(Place));
      Place = Make(6 + 3 * Round + I);
      Place->start();
    }
    for (int I = 0; I < 3; ++I)
      if (!Vms[static_cast<std::size_t>(3 * Round + I)]->waitReady(20000))
        return CouldNotRun;
    sleepMs(1000);
    for (auto &Each : Older) {
      Log.line("planned: a new machine is ready, SIGTERM to " +
               Each->options().Vm);
      Each->signal(SIGTERM);
    }
    for (auto &Each : Older)
      if (!Each->waitForEnd(7000))
        return CouldNotRun;
    Log.line("planned: the old machines have ended and are gone for good");
  }
  Clients All(Vms, Log, Key);
  All.measure(1000);
  Share Before = All.measure(2000);
  Log.line("served in two seconds before the final fault: " + Before.text());
  All.begin();
  sleepMs(1000);
  TimePoint Back = finalFault(Vms, DownMs, Log);
  ExitCode Code = checkRecovery(All, Before, Back, RecoveryS, CountedS, Log);
  for (auto &Each : Vms) {
    Log.line(Each->options().Vm + " ready: " +
             (Each->isReady() ? "yes" : "no"));
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
