#ifndef CICADAWIND_CLI_CONFIGCHECKCOMMAND_H
#define CICADAWIND_CLI_CONFIGCHECKCOMMAND_H

#include "Config/DecodedConfig.h"

#include <string>

namespace cicadawind {

/// Exit codes of "cicadawindctl config check". They are documented in
/// docs/OPERATIONS.md.
enum class ConfigCheckExit : int {
  /// Nothing was found; there may be differences.
  Ok = 0,
  Warnings = 1,
  /// There are errors, the file cannot be read, or the usage is wrong.
  Errors = 2,
  /// The next version has no errors, but there is no version to compare with.
  InForceUnavailable = 3,
};

/// What is checked, and against what.
struct ConfigCheckOptions {
  /// File of the next version.
  std::string File;
  /// File of the version in force; may be empty.
  std::string InForce;
  /// Operator address, "ip:port", of a proxy that has the version in force; may
  /// be empty. At most one of the two is given.
  std::string Vm;
  bool Json = false;
};

/// Checks a configuration before it is sent, prints findings and differences to
/// the version in force, if one is given, and returns the exit code. The output
/// contains no key.
ConfigCheckExit checkConfiguration(const ConfigCheckOptions &Opts,
                                   const ConfigDecoder &Decode);

} // namespace cicadawind

#endif
