/// \file
/// Proxy module: serves the sessions of callers from groups of targets, in one
/// process on each VM, and exchanges membership, configuration and evidence on
/// primaries between the VMs.
#ifndef CICADAWIND_PROXY_PROXY_H
#define CICADAWIND_PROXY_PROXY_H

#include "Proxy/CallerSession.h"
#include "Proxy/GroupDispatcher.h"
#include "Proxy/PeerExchange.h"
#include "Proxy/PrimaryFailureDetector.h"
#include "Proxy/ProxyConfig.h"
#include "Proxy/ProxyService.h"
#include "Proxy/ProxyState.h"
#include "Proxy/RelayLine.h"
#include "Proxy/RelayPlan.h"
#include "Proxy/RelayService.h"
#include "Proxy/RelaySession.h"
#include "Proxy/TargetConnections.h"
#include "Proxy/TargetDirectory.h"
#include "Proxy/TargetLink.h"
#include "Proxy/VmRegistration.h"

#endif
