/// \file
/// Config module: the routes and limits that operators set for the proxy.
#ifndef CICADAWIND_CONFIG_CONFIG_H
#define CICADAWIND_CONFIG_CONFIG_H

#include "Config/ConfigComparison.h"
#include "Config/ConfigDifference.h"
#include "Config/ConfigFinding.h"
#include "Config/DecodedConfig.h"
#include "Config/KeyDigest.h"
#include "Config/NewerConfigs.h"
#include "Config/ProxyConfig.h"
#include "Config/ProxyConfigCheck.h"

#endif
