/// \file
/// Async module: waiting and timers on the event loop.
#ifndef CICADAWIND_ASYNC_ASYNC_H
#define CICADAWIND_ASYNC_ASYNC_H

#include "Async/AsyncSignal.h"
#include "Async/LoopTimers.h"

#endif
