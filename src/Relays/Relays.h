/// \file
/// Relays module: serves the requests that other VMs send to targets over this
/// VM.
#ifndef CICADAWIND_RELAYS_RELAYS_H
#define CICADAWIND_RELAYS_RELAYS_H

#include "Relays/RelayService.h"
#include "Relays/RelaySession.h"

#endif
