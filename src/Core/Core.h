/// \file
/// Core module: verdicts, errors, results, log positions and the clock, which
/// all other modules use. Contains value types only. Performs no input or
/// output.
#ifndef CICADAWIND_CORE_CORE_H
#define CICADAWIND_CORE_CORE_H

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Core/ErrorCode.h"
#include "Core/LogPosition.h"
#include "Core/Random.h"
#include "Core/Result.h"
#include "Core/Verdict.h"

#endif
