/// \file
/// Admission module: decides which statements run in a target's slots, in which
/// order, and which are refused. Performs no input or output.
#ifndef CICADAWIND_ADMISSION_ADMISSION_H
#define CICADAWIND_ADMISSION_ADMISSION_H

#include "Admission/ConcurrencyLimit.h"
#include "Admission/ServiceTimes.h"
#include "Admission/SlotScheduler.h"
#include "Admission/WorkItem.h"

#endif
