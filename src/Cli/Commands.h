#ifndef CICADAWIND_CLI_COMMANDS_H
#define CICADAWIND_CLI_COMMANDS_H

#include "Cli/ExitCode.h"
#include "Core/Clock.h"
#include "Core/Error.h"

#include <string>
#include <vector>

namespace cicadawind {

class OperatorClient;

/// Flags that several commands share.
struct CommandOptions {
  /// Print JSON instead of text.
  bool Json = false;
  /// Wait until the release note is active at every daemon.
  bool Wait = false;
  /// Longest time that \c Wait waits.
  Duration WaitTimeout = std::chrono::seconds(20);
  /// Id of the earlier submission to repeat; empty for a new submission.
  std::string Submission;
};

/// Arguments after the words that name the command.
using CommandArguments = std::vector<std::string>;

/// Each of these functions runs one command of cicadawindctl, prints its result
/// and returns the exit code; Usage if the arguments do not fit the command.
ExitCode noteCheck(OperatorClient &Client, const CommandArguments &Arguments);
ExitCode noteSubmit(OperatorClient &Client, const CommandOptions &Opts,
                    const CommandArguments &Arguments);
ExitCode noteShow(OperatorClient &Client, const CommandArguments &Arguments);
ExitCode noteHistory(OperatorClient &Client, const CommandOptions &Opts);
ExitCode noteDiff(OperatorClient &Client, const CommandArguments &Arguments);
ExitCode showStatus(OperatorClient &Client, const CommandOptions &Opts);
ExitCode drainVm(OperatorClient &Client, const CommandArguments &Arguments);
ExitCode drainTarget(OperatorClient &Client, const CommandOptions &Opts,
                     const CommandArguments &Arguments);

/// Submits the release note \p Text and prints the result as noteSubmit does.
/// \p Origin names the source of the text in errors.
ExitCode submitText(OperatorClient &Client, const CommandOptions &Opts,
                    const std::string &Text, const std::string &Origin);

/// Prints \p E to standard error and returns the exit code for it.
ExitCode reportError(const Error &E);

} // namespace cicadawind

#endif
