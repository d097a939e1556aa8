#ifndef CICADAWIND_CLI_PROXYCOMMANDS_H
#define CICADAWIND_CLI_PROXYCOMMANDS_H

#include "Cli/Commands.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace cicadawind {

/// Checks the proxy's settings file \p Path and prints every fault.
ExitCode checkSettings(const CommandOptions &Opts, const std::string &Path);

/// Prints what the proxies at \p Addresses, "ip:port" of their operators'
/// ports, and the peers that they hear believe.
ExitCode showProxies(OperatorClient &Client, const CommandOptions &Opts,
                     const std::vector<std::string> &Addresses);

/// Tells why request \p Id ended as it did, from the log files \p Paths, or
/// from \p Input when there are none.
ExitCode explainRequest(const CommandOptions &Opts, const std::string &Id,
                        const std::vector<std::string> &Paths,
                        std::istream &Input);

} // namespace cicadawind

#endif
