#ifndef CICADAWIND_CLI_PROXYCOMMANDS_H
#define CICADAWIND_CLI_PROXYCOMMANDS_H

#include "Cli/Commands.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace cicadawind {

/// Checks the proxy's settings file \p Path and prints every validation error.
ExitCode checkSettings(const CommandOptions &Opts, const std::string &Path);

/// Prints the status of the proxies at \p Addresses and of all peers that they
/// list. The addresses are those for operators, "ip:port".
ExitCode showProxies(OperatorClient &Client, const CommandOptions &Opts,
                     const std::vector<std::string> &Addresses);

/// Prints the cause of the outcome of the request \p Id, as found in the log
/// files \p Paths, or in \p Input if \p Paths is empty.
ExitCode explainRequest(const CommandOptions &Opts, const std::string &Id,
                        const std::vector<std::string> &Paths,
                        std::istream &Input);

} // namespace cicadawind

#endif
