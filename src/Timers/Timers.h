/// \file
/// Timers module: the timer service of a daemon, which its components use.
#ifndef CICADAWIND_TIMERS_TIMERS_H
#define CICADAWIND_TIMERS_TIMERS_H

#include "Timers/TimerService.h"
#include "Timers/TimerSubscription.h"

#endif
