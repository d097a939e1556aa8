/// \file
/// Statements module: typed messages between callers, the proxy and targets.
#ifndef CICADAWIND_STATEMENTS_STATEMENTS_H
#define CICADAWIND_STATEMENTS_STATEMENTS_H

#include "Statements/CallerMessage.h"
#include "Statements/Statement.h"
#include "Statements/StatementCodec.h"
#include "Statements/TargetMessage.h"
#include "Statements/TargetRequest.h"
#include "Statements/TargetStatus.h"

#endif
