#include "Daemons/HeldSignals.h"

#include <csignal>
#include <initializer_list>
#include <pthread.h>

namespace cicadawind {
namespace internal {

static void changeMask(int How) {
  sigset_t Signals;
  sigemptyset(&Signals);
  for (int Each : {SIGHUP, SIGTERM, SIGINT})
    sigaddset(&Signals, Each);
  pthread_sigmask(How, &Signals, nullptr);
}

} // namespace internal

void holdSignals() { internal::changeMask(SIG_BLOCK); }

void releaseSignals() { internal::changeMask(SIG_UNBLOCK); }

} // namespace cicadawind
