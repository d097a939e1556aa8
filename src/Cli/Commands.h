#ifndef CICADAWIND_CLI_COMMANDS_H
#define CICADAWIND_CLI_COMMANDS_H

#include "Cli/ExitCode.h"
#include "Core/Clock.h"
#include "Core/Error.h"

#include <string>
#include <vector>

namespace cicadawind {

class OperatorClient;

/// Flags that commands share.
struct CommandOptions {
  bool Json = false;
  /// Wait until the note is in force everywhere.
  bool Wait = false;
  Duration WaitLimit = std::chrono::seconds(20);
  /// Repeats an earlier submission; empty makes a new one.
  std::string Submission;
};

using CommandArguments = std::vector<std::string>;

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

/// Submits \p Text, reporting as noteSubmit does.
ExitCode submitText(OperatorClient &Client, const CommandOptions &Opts,
                    const std::string &Text, const std::string &Origin);

/// Prints \p E and maps it to an exit code.
ExitCode reportError(const Error &E);

} // namespace cicadawind

#endif
