/// \file
/// Net module: TCP connections for line-based protocols.
#ifndef CICADAWIND_NET_NET_H
#define CICADAWIND_NET_NET_H

#include "Net/LineStream.h"
#include "Net/TcpListener.h"

#endif
