/// \file
/// Json module: parsing of JSON and CBOR that other programs send.
#ifndef CICADAWIND_JSON_JSON_H
#define CICADAWIND_JSON_JSON_H

#include "Json/JsonParsing.h"

#endif
