/// \file
/// Settings module: the TOML settings files of a VM's daemons and proxy.
#ifndef CICADAWIND_SETTINGS_SETTINGS_H
#define CICADAWIND_SETTINGS_SETTINGS_H

#include "Settings/DaemonSettings.h"
#include "Settings/ProxySettings.h"

#endif
