#ifndef CICADAWIND_CLI_CTLPROGRAM_H
#define CICADAWIND_CLI_CTLPROGRAM_H

#include "Config/DecodedConfig.h"

namespace cicadawind {

/// Runs cicadawindctl with the arguments of main() and returns its exit code.
/// \p Decode reads a configuration in the form in which the platform stores it.
int runCtl(int Argc, char **Argv, const ConfigDecoder &Decode);

} // namespace cicadawind

#endif
