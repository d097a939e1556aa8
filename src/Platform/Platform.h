/// \file
/// Platform module: interfaces to the platform's object API, VM list and
/// promotion call, a client for the first two, and copies of stored objects.
#ifndef CICADAWIND_PLATFORM_PLATFORM_H
#define CICADAWIND_PLATFORM_PLATFORM_H

#include "Platform/ObjectChange.h"
#include "Platform/ObjectStore.h"
#include "Platform/ObjectWatcher.h"
#include "Platform/PlatformClient.h"
#include "Platform/PromotionService.h"
#include "Platform/StoreRevision.h"
#include "Platform/StoredObject.h"
#include "Platform/VmList.h"
#include "Platform/WatchTimes.h"
#include "Platform/WatchedKind.h"

#endif
