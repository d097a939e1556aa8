/// \file
/// Routing module: chooses the target of a read. Performs no input or output.
#ifndef CICADAWIND_ROUTING_ROUTING_H
#define CICADAWIND_ROUTING_ROUTING_H

#include "Routing/InstanceView.h"
#include "Routing/ReadConstraints.h"
#include "Routing/ReadRouter.h"

#endif
