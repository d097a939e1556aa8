/// \file
/// Net module: connections that carry lines.
#ifndef CICADAWIND_NET_NET_H
#define CICADAWIND_NET_NET_H

#include "Net/LineStream.h"

#endif
