/// \file
/// Wire module: typed messages between routers and poolers.
#ifndef CICADAWIND_WIRE_WIRE_H
#define CICADAWIND_WIRE_WIRE_H

#include "Wire/ExecuteRequest.h"
#include "Wire/ExecuteResponse.h"
#include "Wire/PrimaryHint.h"

#endif
