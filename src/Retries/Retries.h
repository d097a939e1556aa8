/// \file
/// Retries module: decides when a failed attempt is retried, and limits the
/// additional load of retries.
#ifndef CICADAWIND_RETRIES_RETRIES_H
#define CICADAWIND_RETRIES_RETRIES_H

#include "Retries/RetryBudget.h"
#include "Retries/RetryPolicy.h"

#endif
