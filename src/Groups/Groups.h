/// \file
/// Groups module: makes all decisions about the primary of one database.
/// Performs no input or output.
#ifndef CICADAWIND_GROUPS_GROUPS_H
#define CICADAWIND_GROUPS_GROUPS_H

#include "Groups/FreshnessSamples.h"
#include "Groups/GroupCommand.h"
#include "Groups/GroupController.h"
#include "Groups/PrimaryTracker.h"
#include "Groups/ReportSchedule.h"

#endif
