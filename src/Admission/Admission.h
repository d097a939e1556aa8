/// \file
/// Admission module: which statements a target's slots serve, in which order,
/// and which are refused. Pure policy.
#ifndef CICADAWIND_ADMISSION_ADMISSION_H
#define CICADAWIND_ADMISSION_ADMISSION_H

#include "Admission/ConcurrencyLimit.h"
#include "Admission/ServiceTimes.h"
#include "Admission/SlotScheduler.h"
#include "Admission/WorkItem.h"

#endif
