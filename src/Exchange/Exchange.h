/// \file
/// Exchange module: membership, configuration and evidence on primaries that
/// the proxies of all VMs exchange.
#ifndef CICADAWIND_EXCHANGE_EXCHANGE_H
#define CICADAWIND_EXCHANGE_EXCHANGE_H

#include "Exchange/ByteBudget.h"
#include "Exchange/PeerExchange.h"
#include "Exchange/PeerMessage.h"
#include "Exchange/SharedEvidence.h"
#include "Exchange/StateFetches.h"
#include "Exchange/VmRegistration.h"

#endif
