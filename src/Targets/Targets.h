/// \file
/// Targets module: thin adapters to database groups and their connections.
#ifndef CICADAWIND_TARGETS_TARGETS_H
#define CICADAWIND_TARGETS_TARGETS_H

#include "Targets/DatabaseGroup.h"
#include "Targets/HttpDatabaseGroup.h"
#include "Targets/StatementCall.h"
#include "Targets/TargetConnection.h"

#endif
