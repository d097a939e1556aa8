/// \file
/// Membership module: tracks which VMs exist and which are leaving, and assigns
/// tasks to them.
#ifndef CICADAWIND_MEMBERSHIP_MEMBERSHIP_H
#define CICADAWIND_MEMBERSHIP_MEMBERSHIP_H

#include "Membership/ContactAge.h"
#include "Membership/EntryChecks.h"
#include "Membership/EvidenceReporters.h"
#include "Membership/FleetGossip.h"
#include "Membership/FleetMention.h"
#include "Membership/MemberTable.h"
#include "Membership/ProofReporters.h"
#include "Membership/StoreReaders.h"
#include "Membership/VmEntry.h"

#endif
