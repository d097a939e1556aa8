#include "Cli/Commands.h"
#include "Cli/OperatorClient.h"
#include "Cli/ProxyCommands.h"
#include "Observability/Log.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

DEFINE_string(daemon, "", "peer addresses of daemons, ip:port, by comma");
DEFINE_string(operator_key_file, "", "file that holds the operator key");
DEFINE_string(proxies, "",
              "operators' addresses of proxies, ip:port, by comma");
DEFINE_string(output, "table", "table or json");
DEFINE_bool(json, false, "the same as --output=json");
DEFINE_bool(wait, false, "note submit: wait until in force everywhere");
DEFINE_int32(timeout_s, 20, "longest wait of --wait, seconds");
DEFINE_string(submission, "", "note submit: repeat this submission");
DECLARE_bool(help);
DECLARE_bool(version);

using namespace cicadawind;

static const char *const HelpText =
    R"(cicadawindctl - operates cicadawind

Usage: cicadawindctl --daemon=IP:PORT[,IP:PORT] --operator_key_file=FILE COMMAND
       cicadawindctl --proxies=IP:PORT[,IP:PORT] status
       cicadawindctl check FILE | explain ID [LOG...]

Commands for proxies
  status                 VMs, versions in force, each group's primary and term
  check FILE             check a proxy's settings file; every fault with its line
  explain ID [LOG...]    why a request ended as it did, from proxies' logs, or
                         from standard input

Commands for routers and poolers
  note check FILE        check a release note against what is in force
  note submit FILE       submit it; with --wait until every daemon has it
  note show [N]          the configuration in force, or the text of note N
  note history           the latest notes
  note diff A B          the notes after A up to B
  status                 daemons and databases
  vm drain VM            planned stop of a VM's daemons
  target drain DB/NAME   no new work for a target; its primary moves away

Flags
  --output=json, --json  for status, check, explain and note history
  --wait --timeout_s=20  for note submit and target drain
  --submission=ID        repeats a submission whose outcome is open

Exit codes
  0 done   1 refused, nothing changed   2 usage   3 not reached, nothing
  changed   4 outcome open, repeat it   5 accepted but not in force everywhere
  check: 1 for a faulty file. explain: 1 when no line names the request
)";

static std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  std::string Part;
  while (std::getline(Stream, Part, ','))
    Parts.push_back(Part);
  return Parts;
}

/// Commands that need no daemon's key; empty when \p Words is none of them.
static std::optional<ExitCode>
runProxyCommand(const CommandOptions &Opts,
                const std::vector<std::string> &Words) {
  if (Words[0] == "status" && !FLAGS_proxies.empty()) {
    OperatorClient Client({});
    return showProxies(Client, Opts, split(FLAGS_proxies));
  }
  if (Words[0] == "check" && Words.size() == 2)
    return checkSettings(Opts, Words[1]);
  if (Words[0] == "explain" && Words.size() >= 2)
    return explainRequest(Opts, Words[1], {Words.begin() + 2, Words.end()},
                          std::cin);
  return std::nullopt;
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

int main(int Argc, char **Argv) {
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineNonHelpFlags(&Argc, &Argv, true);
  std::vector<std::string> Words(Argv + 1, Argv + Argc);
  if (FLAGS_help || Words.empty() || Words[0] == "help") {
    std::cout << HelpText;
    return FLAGS_help || !Words.empty() ? 0 : static_cast<int>(ExitCode::Usage);
  }
  if (FLAGS_version) {
    std::cout << "cicadawindctl " << gflags::VersionString() << "\n";
    return 0;
  }
  CommandOptions Opts{.Json = FLAGS_json || FLAGS_output == "json",
                      .Wait = FLAGS_wait,
                      .WaitLimit = std::chrono::seconds(FLAGS_timeout_s),
                      .Submission = FLAGS_submission};
  if (std::optional<ExitCode> Code = runProxyCommand(Opts, Words))
    return static_cast<int>(*Code);
  std::ifstream KeyFile(FLAGS_operator_key_file);
  std::string Key;
  std::getline(KeyFile, Key);
  if (FLAGS_daemon.empty() || Key.empty()) {
    std::cerr << "--daemon and --operator_key_file are needed; see --help\n";
    return static_cast<int>(ExitCode::Usage);
  }
  OperatorClient Client({.Daemons = split(FLAGS_daemon), .Key = Key});
  if (Words[0] == "status")
    return static_cast<int>(showStatus(Client, Opts));
  std::string Command = Words[0] + (Words.size() > 1 ? " " + Words[1] : "");
  CommandArguments Rest;
  if (Words.size() > 2)
    Rest.assign(Words.begin() + 2, Words.end());
  ExitCode Code = runCommand(Client, Opts, Command, Rest);
  if (Code == ExitCode::Usage)
    std::cerr << "unknown command or wrong arguments; see --help\n";
  return static_cast<int>(Code);
}
