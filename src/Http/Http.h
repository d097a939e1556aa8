/// \file
/// Http module: HTTP server and client that share one event loop.
#ifndef CICADAWIND_HTTP_HTTP_H
#define CICADAWIND_HTTP_HTTP_H

#include "Http/ConnectionUse.h"
#include "Http/HttpClient.h"
#include "Http/HttpConnection.h"
#include "Http/HttpFailure.h"
#include "Http/HttpMessage.h"
#include "Http/HttpServer.h"

#endif
