#include "Cli/CtlProgram.h"

#include "Cli/Commands.h"
#include "Cli/ConfigCheckCommand.h"
#include "Cli/OperatorClient.h"
#include "Cli/ProxyCommands.h"
#include "Observability/Log.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

DEFINE_string(daemon, "",
              "peer addresses of daemons, ip:port, separated by commas");
DEFINE_string(operator_key_file, "", "file that holds the operator key");
DEFINE_string(proxies, "",
              "operator addresses of proxies, ip:port, separated by commas");
DEFINE_string(output, "table", "table or json");
DEFINE_bool(json, false, "the same as --output=json");
DEFINE_bool(wait, false,
            "note submit: wait until the note is active at every daemon");
DEFINE_int32(timeout_s, 20, "timeout of --wait in seconds");
DEFINE_string(submission, "",
              "note submit: id of an earlier submission to repeat");
DEFINE_string(file, "", "config check: file of the next configuration");
DEFINE_string(in_force, "", "config check: file of the configuration in force");
DEFINE_string(vm, "",
              "config check: operator address, ip:port, of a running proxy "
              "whose configuration is in force");
DECLARE_bool(help);
DECLARE_bool(version);

using namespace cicadawind;

static const char *const HelpText =
    R"(cicadawindctl - operates cicadawind

Usage: cicadawindctl --daemon=IP:PORT[,IP:PORT] --operator_key_file=FILE COMMAND
       cicadawindctl --proxies=IP:PORT[,IP:PORT] status
       cicadawindctl check FILE | explain ID [LOG...]
       cicadawindctl config check --file=FILE [--in_force=FILE | --vm=IP:PORT]

Commands for proxies
  status                 show VMs, active configuration versions, and each
                         group's primary and term
  check FILE             check a proxy's settings file and print every error
                         with its line
  config check           check a configuration before it is sent, and show
                         what differs from the one in force
  explain ID [LOG...]    show the cause of a request's outcome, from proxies'
                         logs or from standard input

Commands for routers and poolers
  note check FILE        check a release note against the active configuration
  note submit FILE       submit a release note; with --wait, wait until it is
                         active at every daemon
  note show [N]          show the active configuration, or the text of note N
  note history           list the latest release notes
  note diff A B          show the release notes after A up to B
  status                 show daemons and databases
  vm drain VM            start the planned stop of a VM's daemons
  target drain DB/NAME   send no new work to a target; if it is the primary,
                         another target becomes primary

Flags
  --output=json, --json  for status, check, config check, explain and note
                         history
  --wait --timeout_s=20  for note submit and target drain
  --submission=ID        repeat an earlier submission whose outcome is unknown

Exit codes
  0 done   1 refused, nothing changed   2 wrong usage   3 daemon or store
  unreachable, nothing changed   4 outcome unknown, repeat the submission
  5 accepted, but not active at every daemon before the timeout
  config check: 0 no findings   1 warnings only   2 errors, unreadable input or
  wrong usage   3 no errors, but the version in force cannot be had
  check: 1 if the file is invalid. explain: 1 if no line names the request
)";

/// Returns the parts of \p Text that are separated by commas.
static std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  std::string Part;
  while (std::getline(Stream, Part, ','))
    Parts.push_back(Part);
  return Parts;
}

/// Runs the command if it is one that needs no operator key, and returns its
/// exit code; returns nothing otherwise.
static std::optional<ExitCode>
runProxyCommand(const CommandOptions &Opts,
                const std::vector<std::string> &Arguments) {
  if (Arguments[0] == "status" && !FLAGS_proxies.empty()) {
    OperatorClient Client({});
    return showProxies(Client, Opts, split(FLAGS_proxies));
  }
  if (Arguments[0] == "check" && Arguments.size() == 2)
    return checkSettings(Opts, Arguments[1]);
  if (Arguments[0] == "explain" && Arguments.size() >= 2)
    return explainRequest(Opts, Arguments[1],
                          {Arguments.begin() + 2, Arguments.end()}, std::cin);
  return std::nullopt;
}

static bool isConfigCheck(const std::vector<std::string> &Arguments) {
  return Arguments.size() == 2 && Arguments[0] == "config" &&
         Arguments[1] == "check";
}

static ExitCode runCommand(OperatorClient &Client, const CommandOptions &Opts,
                           const std::string &Command,
                           const CommandArguments &Rest) {
  if (Command == "note check")
    return noteCheck(Client, Rest);
  if (Command == "note submit")
    return noteSubmit(Client, Opts, Rest);
  if (Command == "note show")
    return noteShow(Client, Rest);
  if (Command == "note history")
    return noteHistory(Client, Opts);
  if (Command == "note diff")
    return noteDiff(Client, Rest);
  if (Command == "vm drain")
    return drainVm(Client, Rest);
  if (Command == "target drain")
    return drainTarget(Client, Opts, Rest);
  return ExitCode::Usage;
}

int cicadawind::runCtl(int Argc, char **Argv, const ConfigDecoder &Decode) {
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineNonHelpFlags(&Argc, &Argv, true);
  std::vector<std::string> Arguments(Argv + 1, Argv + Argc);
  if (FLAGS_help || Arguments.empty() || Arguments[0] == "help") {
    std::cout << HelpText;
    return FLAGS_help || !Arguments.empty() ? 0
                                            : static_cast<int>(ExitCode::Usage);
  }
  if (FLAGS_version) {
    std::cout << "cicadawindctl " << gflags::VersionString() << "\n";
    return 0;
  }
  CommandOptions Opts{.Json = FLAGS_json || FLAGS_output == "json",
                      .Wait = FLAGS_wait,
                      .WaitTimeout = std::chrono::seconds(FLAGS_timeout_s),
                      .Submission = FLAGS_submission};
  if (isConfigCheck(Arguments))
    return static_cast<int>(checkConfiguration({.File = FLAGS_file,
                                                .InForce = FLAGS_in_force,
                                                .Vm = FLAGS_vm,
                                                .Json = Opts.Json},
                                               Decode));
  if (std::optional<ExitCode> Code = runProxyCommand(Opts, Arguments))
    return static_cast<int>(*Code);
  std::ifstream KeyFile(FLAGS_operator_key_file);
  std::string Key;
  std::getline(KeyFile, Key);
  if (FLAGS_daemon.empty() || Key.empty()) {
    std::cerr << "--daemon and --operator_key_file are required, and the key "
                 "file must not be empty; see --help\n";
    return static_cast<int>(ExitCode::Usage);
  }
  OperatorClient Client({.Daemons = split(FLAGS_daemon), .Key = Key});
  if (Arguments[0] == "status")
    return static_cast<int>(showStatus(Client, Opts));
  std::string Command =
      Arguments[0] + (Arguments.size() > 1 ? " " + Arguments[1] : "");
  CommandArguments Rest;
  if (Arguments.size() > 2)
    Rest.assign(Arguments.begin() + 2, Arguments.end());
  ExitCode Code = runCommand(Client, Opts, Command, Rest);
  if (Code == ExitCode::Usage)
    std::cerr << "unknown command or wrong arguments; see --help\n";
  return static_cast<int>(Code);
}
