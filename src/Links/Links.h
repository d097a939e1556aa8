/// \file
/// Links module: connections to targets, directly or over relays, and the plan
/// of which VMs connect to which target.
#ifndef CICADAWIND_LINKS_LINKS_H
#define CICADAWIND_LINKS_LINKS_H

#include "Links/AccountPool.h"
#include "Links/ConnectionCount.h"
#include "Links/LinkGrant.h"
#include "Links/LinkRequest.h"
#include "Links/PreparedStatement.h"
#include "Links/RelayLine.h"
#include "Links/RelayPlan.h"
#include "Links/TargetChanges.h"
#include "Links/TargetConnections.h"
#include "Links/TargetDeparture.h"
#include "Links/TargetDirectory.h"
#include "Links/TargetEntry.h"
#include "Links/TargetHistory.h"
#include "Links/TargetLink.h"

#endif
