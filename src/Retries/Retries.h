/// \file
/// Retries module: when a failed attempt is repeated, and at what cost.
#ifndef CICADAWIND_RETRIES_RETRIES_H
#define CICADAWIND_RETRIES_RETRIES_H

#include "Retries/RetryBudget.h"
#include "Retries/RetryPolicy.h"

#endif
