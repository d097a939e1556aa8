/// \file
/// Rpc module: JSON-RPC calls between the system's own daemons.
#ifndef CICADAWIND_RPC_RPC_H
#define CICADAWIND_RPC_RPC_H

#include "Rpc/RpcDispatcher.h"

#endif
