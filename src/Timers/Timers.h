/// \file
/// Timers module: one timer service per daemon that parts subscribe to.
#ifndef CICADAWIND_TIMERS_TIMERS_H
#define CICADAWIND_TIMERS_TIMERS_H

#include "Timers/TimerService.h"
#include "Timers/TimerSubscription.h"

#endif
