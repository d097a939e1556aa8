// A rolling restart: SIGTERM to two machines of one zone and one of another,
// one at a time. Clients keep coming to the machines that stop, because fewer
// than half of the zone's machines are in rotation.
#include "SmallSystem.h"

using namespace review;

struct Stop {
  Vm *V = nullptr;
  long At = 0;
  long EndedAt = 0;
};

int main(int Argc, char **Argv) {
  SmallSystem World(Argc, Argv, {"bodega1", "bodega2", "bodega3"});
  World.MeanWorkMs = 19;
  World.HasLongWork = true;
  World.TransactionPercent = 15;
  World.F.startAll();
  if (!World.F.awaitReady(20000))
    World.finish(CouldNotRun, "the machines are not ready");
  sleepMs(2500);
  // 292 sessions stand open in all.
  World.startLongClients(97);
  World.startClients(130, 80);
  sleepMs(6000);
  std::vector<Stop> Stops;
  std::mutex M;
  std::vector<std::thread> Watchers;
  if (hasTrouble())
    // roll_term with share 0.45, x 1 and gap_s 1.3, six rounds.
    for (int Round = 0; Round < 6; ++Round) {
      // The platform asks each machine once a second whether it is ready. The
      // second machine is out of rotation about 1 s after its SIGTERM.
      while (nowMs() % 1000 < 600 || nowMs() % 1000 > 650)
        sleepMs(5);
      for (int I : {0, 1, 3}) {
        Vm *V = World.F.Vms[static_cast<std::size_t>(I)].get();
        World.R.line("SIGTERM to %s", V->Name.c_str());
        long At = nowMs();
        kill(V->Pid, SIGTERM);
        Watchers.emplace_back([&, V, At] {
          World.F.await(*V);
          long EndedAt = nowMs();
          World.R.line("%s ended %ld ms after SIGTERM", V->Name.c_str(), EndedAt - At);
          {
            std::lock_guard<std::mutex> Lock(M);
            Stops.push_back({V, At, EndedAt});
          }
          sleepMs(300);
          World.F.start(*V);
        });
        sleepMs(1300);
      }
      for (std::thread &Each : Watchers)
        Each.join();
      Watchers.clear();
      sleepMs(6000);
    }
  else
    sleepMs(60000);
  World.stopClients();

  // When each request reached an instance.
  std::map<std::string, long> ArrivedAt;
  for (const auto &[Name, Each] : World.Services)
    for (const Service::Run &Run : Each->arrivals())
      ArrivedAt[Run.Id] = Run.At;
  long Lost = 0;
  long Cut = 0;
  for (const SmallSystem::Request &Q : World.Requests) {
    if (Q.Answer || Q.TimedOut)
      continue;
    ++Cut;
    auto Stopped = std::find_if(Stops.begin(), Stops.end(), [&](const Stop &S) {
      return S.V == Q.To && Q.SentAt >= S.At && Q.EndedAt <= S.At + GraceMs + 1000;
    });
    auto Arrived = ArrivedAt.find(Q.Id);
    if (Stopped == Stops.end() || Arrived == ArrivedAt.end())
      continue;
    // Excused: the instance was still at work in the last sixth of graceS, on a
    // request sent no later than 3 s after the SIGTERM.
    bool IsExcused = Q.SentAt <= Stopped->At + 3000 &&
                     Q.EndedAt >= Stopped->At + GraceMs * 5 / 6;
    bool IsLate = Q.EndedAt - Q.SentAt >= 800 * 7 / 10;
    if (IsExcused || IsLate)
      continue;
    ++Lost;
    World.R.line("lost: %s %s, sent to %s %ld ms after its SIGTERM, at the "
                 "instance after %ld ms, the connection ended after %ld ms, the "
                 "process %ld ms after the SIGTERM",
                 Q.Id.c_str(), Q.Text.c_str(), Q.To->Name.c_str(),
                 Q.SentAt - Stopped->At, Arrived->second - Q.SentAt,
                 Q.EndedAt - Q.SentAt, Stopped->EndedAt - Stopped->At);
  }
  World.R.say("requests " + std::to_string(World.Requests.size()) + ", served " +
              std::to_string(World.Served) + ", connection ended without an answer " +
              std::to_string(Cut) + ", of these after an instance had the request " +
              std::to_string(Lost));
  if (World.Served < 1000)
    World.finish(CouldNotRun, "too little was served");
  if (Lost > 0)
    World.finish(Broken, "LOST broken");
  World.finish(Held, "LOST held");
}
