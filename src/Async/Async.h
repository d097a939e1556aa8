/// \file
/// Async module: waiting in coroutines and timers on the event loop.
#ifndef CICADAWIND_ASYNC_ASYNC_H
#define CICADAWIND_ASYNC_ASYNC_H

#include "Async/AsyncSignal.h"
#include "Async/LoopTimers.h"

#endif
