#include "Cli/ConfigCheckCommand.h"

#include "Cli/OperatorClient.h"
#include "Config/ConfigComparison.h"
#include "Config/KeyDigest.h"
#include "Config/ProxyConfigCheck.h"
#include "Daemons/ConfigPage.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <utility>
#include <vector>

namespace cicadawind {
namespace internal {

using Json = nlohmann::json;
using Severity = ConfigFinding::Severity;

/// Size of the largest file that is read.
constexpr std::size_t MaxFileBytes = std::size_t{64} * 1024 * 1024;
/// Size of the parts in which it is read.
constexpr std::size_t ChunkBytes = std::size_t{64} * 1024;
/// Timeout of the call to a proxy.
constexpr Duration PageTimeout = std::chrono::seconds(5);

/// What is printed.
struct Report {
  std::vector<ConfigFinding> Findings;
  std::vector<ConfigDifference> Differences;
  /// Whether a version in force was wanted, and could not be had.
  bool IsInForceMissing = false;
  /// Whether there was a version in force to compare with.
  bool IsCompared = false;
};

static Error badInput(const std::string &Text) {
  return Error{.Code = ErrorCode::BadRequest, .Message = Text};
}

static Result<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return badInput("cannot open the file; check its path and permissions");
  std::string Out;
  std::string Chunk(ChunkBytes, '\0');
  while (Out.size() <= MaxFileBytes && File) {
    File.read(Chunk.data(), static_cast<std::streamsize>(Chunk.size()));
    Out.append(Chunk, 0, static_cast<std::size_t>(File.gcount()));
  }
  if (File.bad())
    return badInput("cannot read the file; check that it is a file");
  if (Out.size() > MaxFileBytes)
    return badInput("the file is larger than " + std::to_string(MaxFileBytes) +
                    " bytes; check that it is a configuration");
  return Out;
}

static Result<DecodedConfig> decodeFile(const std::string &Path,
                                        const ConfigDecoder &Decode) {
  Result<std::string> Text = readFile(Path);
  if (const Error *E = errorOf(Text))
    return *E;
  return Decode(valueOf(Text));
}

/// Returns the version in force as a file holds it; its keys are replaced as
/// those of a page are.
static Result<ConfigPage> pageFromFile(const std::string &Path,
                                       const ConfigDecoder &Decode) {
  Result<DecodedConfig> Read = decodeFile(Path, Decode);
  if (const Error *E = errorOf(Read))
    return *E;
  std::string Salt = makeSalt();
  return ConfigPage{.Config = withKeyDigests(valueOf(Read).Config, Salt),
                    .Salt = Salt};
}

static Result<ConfigPage> pageFromVm(const std::string &Address) {
  OperatorClient Client({});
  Result<Json> Page =
      Client.callAt(Address, ConfigPagePath, nullptr, PageTimeout);
  if (const Error *E = errorOf(Page))
    return badInput("the VM does not give its configuration (" + E->Message +
                    "); check that this is the operator address of a running "
                    "proxy, or use --in_force");
  Result<ConfigPage> Out = readConfigPage(valueOf(Page));
  if (!errorOf(Out) && valueOf(Out).Config.Version == 0)
    return badInput("no configuration is active on the VM yet; ask another "
                    "VM, or use --in_force");
  return Out;
}

static void compareWithInForce(const ConfigCheckOptions &Opts,
                               const ConfigDecoder &Decode,
                               const ProxyConfig &Next, Report &Out) {
  bool IsFile = !Opts.InForce.empty();
  Result<ConfigPage> InForce =
      IsFile ? pageFromFile(Opts.InForce, Decode) : pageFromVm(Opts.Vm);
  if (const Error *E = errorOf(InForce)) {
    Out.IsInForceMissing = true;
    Out.Findings.push_back(
        {.Level = Severity::Error,
         .Where = "version in force, " + (IsFile ? Opts.InForce : Opts.Vm),
         .Text = E->Message});
    return;
  }
  const ConfigPage &Page = valueOf(InForce);
  Out.IsCompared = true;
  Out.Differences =
      compareConfigs(Page.Config, withKeyDigests(Next, Page.Salt));
  if (std::optional<ConfigFinding> Finding = checkVersion(Out.Differences))
    Out.Findings.push_back(*Finding);
}

static const char *nameOf(Severity Level) {
  return Level == Severity::Error ? "error" : "warning";
}

static void printJson(const Report &Printed) {
  Json Findings = Json::array();
  for (const ConfigFinding &Each : Printed.Findings)
    Findings.push_back({{"severity", nameOf(Each.Level)},
                        {"where", Each.Where},
                        {"text", Each.Text}});
  Json Differences = Json::array();
  for (const ConfigDifference &Each : Printed.Differences)
    Differences.push_back({{"kind", toString(Each.What)},
                           {"name", Each.Name},
                           {"field", Each.Field},
                           {"old", Each.Old},
                           {"new", Each.New}});
  constexpr int Indent = 2;
  // A path may hold bytes that are no UTF-8.
  std::cout << Json{{"findings", Findings}, {"differences", Differences}}.dump(
                   Indent, ' ', false, Json::error_handler_t::replace)
            << "\n";
}

static std::string lineOf(const ConfigDifference &Each) {
  std::string Out = toString(Each.What);
  std::replace(Out.begin(), Out.end(), '_', ' ');
  if (!Each.Name.empty())
    Out += " '" + shownText(Each.Name) + "'";
  if (!Each.Field.empty())
    Out += " " + Each.Field;
  if (!Each.Old.empty() && !Each.New.empty())
    Out += ": " + shownText(Each.Old) + " -> " + shownText(Each.New);
  else if (!Each.Old.empty() || !Each.New.empty())
    Out += ": " + shownText(Each.Old + Each.New);
  return Out;
}

static void printText(const Report &Printed) {
  for (const ConfigFinding &Each : Printed.Findings)
    std::cout << nameOf(Each.Level) << ": " << Each.Where << ": " << Each.Text
              << "\n";
  for (const ConfigDifference &Each : Printed.Differences)
    std::cout << "differs: " << lineOf(Each) << "\n";
  std::cout << "findings: " << Printed.Findings.size();
  if (Printed.IsCompared)
    std::cout << ", differences: " << Printed.Differences.size() << "\n";
  else
    std::cout << ", not compared with a version in force\n";
}

static ConfigCheckExit exitOf(const Report &Printed) {
  auto IsError = [](const ConfigFinding &Each) {
    return Each.Level == Severity::Error;
  };
  auto Errors =
      std::count_if(Printed.Findings.begin(), Printed.Findings.end(), IsError);
  // The finding that the version in force is missing counts as an error, too.
  if (Printed.IsInForceMissing && Errors == 1)
    return ConfigCheckExit::InForceUnavailable;
  if (Errors > 0)
    return ConfigCheckExit::Errors;
  return Printed.Findings.empty() ? ConfigCheckExit::Ok
                                  : ConfigCheckExit::Warnings;
}

static Report reportOn(const ConfigCheckOptions &Opts,
                       const ConfigDecoder &Decode) {
  Report Out;
  Result<DecodedConfig> Read = decodeFile(Opts.File, Decode);
  if (const Error *E = errorOf(Read)) {
    Out.Findings.push_back(
        {.Level = Severity::Error, .Where = Opts.File, .Text = E->Message});
    return Out;
  }
  const DecodedConfig &Next = valueOf(Read);
  Out.Findings = Next.Findings;
  std::vector<ConfigFinding> Checked = checkConfig(Next.Config);
  Out.Findings.insert(Out.Findings.end(), Checked.begin(), Checked.end());
  if (!Opts.InForce.empty() || !Opts.Vm.empty())
    compareWithInForce(Opts, Decode, Next.Config, Out);
  return Out;
}

} // namespace internal

ConfigCheckExit checkConfiguration(const ConfigCheckOptions &Opts,
                                   const ConfigDecoder &Decode) {
  bool IsAmbiguous = !Opts.InForce.empty() && !Opts.Vm.empty();
  if (Opts.File.empty() || IsAmbiguous) {
    std::cerr << "config check needs --file, and at most one of --in_force "
                 "and --vm; see --help\n";
    return ConfigCheckExit::Errors;
  }
  internal::Report Printed = internal::reportOn(Opts, Decode);
  if (Opts.Json)
    internal::printJson(Printed);
  else
    internal::printText(Printed);
  return internal::exitOf(Printed);
}

} // namespace cicadawind
