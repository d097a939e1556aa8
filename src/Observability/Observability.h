/// \file
/// Observability module: logs, metrics and traces.
#ifndef CICADAWIND_OBSERVABILITY_OBSERVABILITY_H
#define CICADAWIND_OBSERVABILITY_OBSERVABILITY_H

#include "Observability/LineSink.h"
#include "Observability/Log.h"
#include "Observability/LogRateLimiter.h"
#include "Observability/Metrics.h"
#include "Observability/Span.h"
#include "Observability/TraceContext.h"

#endif
