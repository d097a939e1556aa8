/// \file
/// Quotas module: rate limit on the operations of client accounts over all VMs.
/// Performs no input or output.
#ifndef CICADAWIND_QUOTAS_QUOTAS_H
#define CICADAWIND_QUOTAS_QUOTAS_H

#include "Quotas/Electorate.h"
#include "Quotas/IssuerCandidacy.h"
#include "Quotas/IssuerChannel.h"
#include "Quotas/IssuerDirectory.h"
#include "Quotas/IssuerLease.h"
#include "Quotas/IssuerOrder.h"
#include "Quotas/IssuerSeat.h"
#include "Quotas/IssuerVotes.h"
#include "Quotas/LimitShares.h"
#include "Quotas/PermitBucket.h"
#include "Quotas/PermitClient.h"
#include "Quotas/PermitIssuer.h"
#include "Quotas/PermitOutcome.h"
#include "Quotas/PermitQueue.h"
#include "Quotas/QuorumWitness.h"
#include "Quotas/QuotaCounts.h"
#include "Quotas/QuotaMessage.h"
#include "Quotas/QuotaService.h"
#include "Quotas/QuotaTimes.h"
#include "Quotas/RateTolerance.h"

#endif
