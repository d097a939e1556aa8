/// \file
/// Proxy module: owns the sessions and groups of one VM, in one process.
#ifndef CICADAWIND_PROXY_PROXY_H
#define CICADAWIND_PROXY_PROXY_H

#include "Proxy/DrainSchedule.h"
#include "Proxy/ProxyService.h"
#include "Proxy/ProxyState.h"

#endif
