/// \file
/// Leases module: decides when a VM may use the primary of a group whose
/// platform does not fence promotions, and when a promotion may be ordered
/// there. Performs no input or output.
#ifndef CICADAWIND_LEASES_LEASES_H
#define CICADAWIND_LEASES_LEASES_H

#include "Leases/FencedPrimaryGuard.h"
#include "Leases/LeasedPrimaryGuard.h"
#include "Leases/PrimaryGuard.h"
#include "Leases/PrimaryLease.h"
#include "Leases/PromotionBallot.h"
#include "Leases/PromotionPromise.h"
#include "Leases/PromotionVote.h"
#include "Leases/VoterList.h"

#endif
