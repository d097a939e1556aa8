/// \file
/// Settings module: the TOML file of a VM's daemons.
#ifndef CICADAWIND_SETTINGS_SETTINGS_H
#define CICADAWIND_SETTINGS_SETTINGS_H

#include "Settings/DaemonSettings.h"
#include "Settings/ProxySettings.h"

#endif
