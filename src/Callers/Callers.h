/// \file
/// Callers module: sessions of callers with their requests and transactions.
#ifndef CICADAWIND_CALLERS_CALLERS_H
#define CICADAWIND_CALLERS_CALLERS_H

#include "Callers/ActiveRequest.h"
#include "Callers/CallerSession.h"
#include "Callers/CallerTransaction.h"
#include "Callers/RequestReport.h"

#endif
