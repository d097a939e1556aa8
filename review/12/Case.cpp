// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "AckedCommits3.h"

using namespace review;

// syncReplicas is 1. Each machine is stopped and started once, in turn. Later
// one replica receives nothing for 3 s, and then the primary is to be replaced:
// it reports that it leaves, and goes on serving. All instances run and answer
// throughout, and the other replica has every acknowledged commit.
static awaitable<int> run(AckedCommits *Of) {
  AckedCommits &Case = *Of;
  Case.System.startAll();
  if (!co_await Case.System.awaitAllReady())
    co_return CouldNotRun;
  Case.startWriters();
  if (!co_await Case.serve(Ms(8000)))
    co_return CouldNotRun;
  if (hasTrouble())
    for (Proxy &Each : Case.System.Proxies)
      if (!co_await Case.restart(Each))
        co_return CouldNotRun;
  co_await Case.serve(Ms(10000));
  if (hasTrouble())
    Case.makeDeaf("i-b");
  if (!co_await Case.serve(Ms(3000)))
    co_return CouldNotRun;
  // The replacement is planned work and also takes place without the trouble.
  Case.drain("i-a");
  if (!co_await Case.awaitPromotion(Ms(7000)))
    co_return CouldNotRun;
  co_return co_await Case.finish();
}

int main(int, char **Arguments) {
  AckedCommits Case(Arguments[1], {.SyncReplicas = 1}, 3);
  return runCase(Case.Loop, run(&Case), Ms(110000));
}
