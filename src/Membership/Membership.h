/// \file
/// Membership module: which VMs exist, which leave, and who has which duty.
#ifndef CICADAWIND_MEMBERSHIP_MEMBERSHIP_H
#define CICADAWIND_MEMBERSHIP_MEMBERSHIP_H

#include "Membership/MemberTable.h"
#include "Membership/VmEntry.h"

#endif
