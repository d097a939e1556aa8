// One entry of another writer whose field is of another type: lists inside
// lists, well below maxValueBytes.
#include "SmallSystem.h"

using namespace review;

int main(int Argc, char **Argv) {
  SmallSystem World(Argc, Argv);
  World.F.startAll();
  if (!World.F.awaitReady(20000))
    World.finish(CouldNotRun, "the machines are not ready");
  World.startClients(30);
  sleepMs(6000);
  if (World.Served < 100)
    World.finish(CouldNotRun, "too little was served");
  if (hasTrouble()) {
    constexpr int Depth = 200000;
    World.S.put("servers", "zz-other",
                "{\"service\":" + std::string(Depth, '[') +
                    std::string(Depth, ']') + "}");
    World.R.line("another writer puts servers/zz-other, %d bytes", 2 * Depth + 12);
  }
  // A process that ends is started again after a short delay.
  std::map<std::string, int> Ends;
  long ServedBefore = World.Served;
  long AskedBefore = World.Asked;
  for (long End = nowMs() + 30000; nowMs() < End; sleepMs(50))
    for (auto &Each : World.F.Vms)
      if (std::optional<int> Status = World.F.ended(*Each)) {
        ++Ends[Each->Name];
        World.R.line("%s ended by itself: %s %d", Each->Name.c_str(),
                     WIFSIGNALED(*Status) ? "signal" : "exit code",
                     WIFSIGNALED(*Status) ? WTERMSIG(*Status) : WEXITSTATUS(*Status));
        sleepMs(300);
        World.F.start(*Each);
      }
  int Machines = 0;
  int Total = 0;
  for (const auto &[Name, Count] : Ends) {
    Total += Count;
    Machines += Count >= 3 ? 1 : 0;
  }
  World.R.say("in 30 s: asked " + std::to_string(World.Asked - AskedBefore) +
              ", served " + std::to_string(World.Served - ServedBefore) +
              "; processes ended by themselves " + std::to_string(Total) +
              " times; machines where it was three times or more: " +
              std::to_string(Machines));
  if (Machines >= 2)
    World.finish(Broken, "Fault: processes end by themselves");
  World.finish(Held, "no process ended by itself three times");
}
