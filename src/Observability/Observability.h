/// \file
/// Observability module: logs, metrics and traces.
#ifndef CICADAWIND_OBSERVABILITY_OBSERVABILITY_H
#define CICADAWIND_OBSERVABILITY_OBSERVABILITY_H

#include "Observability/Log.h"
#include "Observability/Metrics.h"
#include "Observability/Span.h"
#include "Observability/TraceContext.h"

#endif
