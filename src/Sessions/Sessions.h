/// \file
/// Sessions module: state for read-your-writes consistency, which callers hold
/// as a token.
#ifndef CICADAWIND_SESSIONS_SESSIONS_H
#define CICADAWIND_SESSIONS_SESSIONS_H

#include "Sessions/SessionPosition.h"
#include "Sessions/SessionState.h"
#include "Sessions/TokenCodec.h"

#endif
