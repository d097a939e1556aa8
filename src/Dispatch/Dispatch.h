/// \file
/// Dispatch module: gives requests access to the targets of a group, and tracks
/// which target is the primary.
#ifndef CICADAWIND_DISPATCH_DISPATCH_H
#define CICADAWIND_DISPATCH_DISPATCH_H

#include "Dispatch/GroupDispatcher.h"
#include "Dispatch/PrimaryFailureDetector.h"

#endif
