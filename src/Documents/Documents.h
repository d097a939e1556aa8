/// \file
/// Documents module: parsing of JSON and CBOR that other programs send.
#ifndef CICADAWIND_DOCUMENTS_DOCUMENTS_H
#define CICADAWIND_DOCUMENTS_DOCUMENTS_H

#include "Documents/JsonParsing.h"
#include "Documents/TolerantJson.h"

#endif
