#include "Cli/ProxyCommands.h"

#include "Cli/OperatorClient.h"
#include "Cli/RequestExplanation.h"
#include "Settings/ProxySettings.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <set>

namespace cicadawind {
namespace internal {

using Json = nlohmann::json;

/// Timeout of the status call to one proxy.
constexpr Duration StatusTimeout = std::chrono::seconds(1);
/// Column widths in characters.
constexpr int VmWidth = 20;
constexpr int ColumnWidth = 12;
constexpr int GroupWidth = 16;

/// Returns the status of the proxies at \p Addresses and of every peer that
/// they list. A proxy that cannot be reached gets an entry with "error".
static Json collectProxies(OperatorClient &Client,
                           const std::vector<std::string> &Addresses) {
  Json Out = Json::array();
  std::set<std::string> Seen;
  std::vector<std::pair<std::string, std::string>> Pending;
  Pending.reserve(Addresses.size());
  for (const std::string &Address : Addresses)
    Pending.emplace_back("", Address);
  for (std::size_t I = 0; I < Pending.size(); ++I) {
    auto [Vm, Address] = Pending[I];
    if (!Vm.empty() && !Seen.insert(Vm).second)
      continue;
    Result<Json> Status =
        Client.callAt(Address, "/status", nullptr, StatusTimeout);
    if (const Error *E = errorOf(Status)) {
      Out.push_back({{"vm", Vm}, {"address", Address}, {"error", E->Message}});
      continue;
    }
    Json &Row = valueOf(Status);
    std::string Name = Row.value("vm", std::string());
    if (Vm.empty() && !Seen.insert(Name).second)
      continue;
    for (const Json &Peer : Row.value("peers", Json::array()))
      Pending.emplace_back(Peer.value("vm", std::string()),
                           Peer.value("address", std::string()));
    Row["address"] = Address;
    Out.push_back(std::move(Row));
  }
  return Out;
}

static void printVms(const Json &Proxies) {
  std::cout << std::left << std::setw(VmWidth) << "VM" << std::setw(VmWidth)
            << "FAILURE DOMAIN" << std::setw(ColumnWidth) << "STATE"
            << std::setw(ColumnWidth) << "CONFIG" << std::setw(ColumnWidth)
            << "SESSIONS"
            << "PEERS\n";
  for (const Json &Row : Proxies) {
    std::cout << std::setw(VmWidth) << Row.value("vm", std::string());
    if (Row.contains("error")) {
      std::cout << "not reached at " << Row["address"].get<std::string>()
                << ": " << Row["error"].get<std::string>() << "\n";
      continue;
    }
    const char *State = Row.value("leaving", false) ? "leaving"
                        : Row.value("ready", false) ? "ready"
                                                    : "not ready";
    std::cout << std::setw(VmWidth)
              << Row.value("failure_domain", std::string())
              << std::setw(ColumnWidth) << State << std::setw(ColumnWidth)
              << Row.value("config_version", std::uint64_t{0})
              << std::setw(ColumnWidth)
              << Row.value("sessions", std::uint64_t{0})
              << Row.value("peers", Json::array()).size() << "\n";
  }
}

/// The VMs' reports on one group, summarised.
struct GroupSummary {
  /// Highest term that any VM reports.
  std::uint64_t Term = 0;
  /// Number of VMs that report each primary; "none" counts VMs without one.
  std::map<std::string, int> Primaries;
  /// Number of VMs at which the primary is in doubt.
  int InDoubt = 0;
  /// Number of VMs that connect to the primary without a lease on it although
  /// they need one, and of those that a promotion blocks.
  int WithoutLease = 0;
  int Blocked = 0;
  /// Replaced primaries that were not demoted yet.
  std::set<std::string> NotDemoted;
  /// Number of VMs that cannot reach each target.
  std::map<std::string, int> NotReached;
  /// Targets that are leaving.
  std::set<std::string> Leaving;
};

static void addLease(const Json &Lease, GroupSummary &Summary) {
  if (!Lease.is_object())
    return;
  Summary.WithoutLease += Lease.value("held", true) ? 0 : 1;
  Summary.Blocked += Lease.value("blocked", false) ? 1 : 0;
  for (const Json &Target : Lease.value("replaced_primaries", Json::array()))
    Summary.NotDemoted.insert(Target.get<std::string>());
}

static std::map<std::string, GroupSummary> summarise(const Json &Proxies) {
  std::map<std::string, GroupSummary> Out;
  for (const Json &Row : Proxies)
    for (const Json &Group : Row.value("groups", Json::array())) {
      GroupSummary &Summary = Out[Group.value("group", std::string())];
      std::string Primary = Group.value("primary", std::string());
      Summary.Term =
          std::max(Summary.Term, Group.value("term", std::uint64_t{0}));
      ++Summary.Primaries[Primary.empty() ? "none" : Primary];
      Summary.InDoubt += Group.value("in_doubt", false) ? 1 : 0;
      addLease(Group.value("lease", Json()), Summary);
      for (const Json &Target : Group.value("targets", Json::array())) {
        std::string Name = Target.value("target", std::string());
        if (!Target.value("reached", true))
          ++Summary.NotReached[Name];
        if (Target.value("leaving", false))
          Summary.Leaving.insert(Name);
      }
    }
  return Out;
}

static void printGroups(const Json &Proxies) {
  std::cout << "\n"
            << std::setw(GroupWidth) << "GROUP" << std::setw(ColumnWidth)
            << "TERM"
            << "PRIMARY (VMS THAT SEE IT), TROUBLE\n";
  for (const auto &[Name, Summary] : summarise(Proxies)) {
    std::cout << std::setw(GroupWidth) << Name << std::setw(ColumnWidth)
              << Summary.Term;
    for (const auto &[Primary, Vms] : Summary.Primaries)
      std::cout << Primary << " (" << Vms << ") ";
    if (Summary.InDoubt > 0)
      std::cout << "in doubt on " << Summary.InDoubt << " VMs ";
    if (Summary.WithoutLease > 0)
      std::cout << "no lease on " << Summary.WithoutLease << " VMs ";
    if (Summary.Blocked > 0)
      std::cout << "lease blocked by a promotion on " << Summary.Blocked
                << " VMs ";
    for (const std::string &Target : Summary.NotDemoted)
      std::cout << Target << " replaced but not demoted ";
    for (const auto &[Target, Vms] : Summary.NotReached)
      std::cout << Target << " not reached by " << Vms << " VMs ";
    for (const std::string &Target : Summary.Leaving)
      std::cout << Target << " leaving ";
    std::cout << "\n";
  }
}

/// Adds the lines of \p Input to \p Logs; returns false after a read error.
static bool readLogs(RequestExplanation &Logs, std::istream &Input) {
  for (std::string Line; std::getline(Input, Line);)
    Logs.addLine(Line);
  return !Input.bad();
}

/// Prints a log line in readable form: time, VM, message and the other
/// non-empty fields except level and component.
static void printLine(const Json &Line) {
  std::cout << "  " << Line.value("time", std::string()) << " "
            << Line.value("vm", std::string()) << " "
            << Line.value("message", std::string());
  for (const auto &[Key, Value] : Line.items()) {
    bool IsSkipped = Key == "time" || Key == "vm" || Key == "message" ||
                     Key == "level" || Key == "component";
    bool IsEmpty = Value.is_string() && Value.get<std::string>().empty();
    if (!IsSkipped && !IsEmpty)
      std::cout << " " << Key << "="
                << (Value.is_string() ? Value.get<std::string>()
                                      : Value.dump());
  }
  std::cout << "\n";
}

static void printExplanation(const std::string &Id,
                             const RequestExplanation::Result &Explanation) {
  std::cout << "request  " << Id << "\n"
            << "cause    " << Explanation.Cause << "\n"
            << "to do    " << Explanation.Advice << "\n";
  if (Explanation.SuppressedLines > 0)
    std::cout << "omitted  " << Explanation.SuppressedLines
              << " log lines of unserved requests, as counted by the VMs\n";
  if (!Explanation.Request.is_null()) {
    std::cout << "\nlog line of the request\n";
    printLine(Explanation.Request);
  }
  if (!Explanation.Evidence.empty())
    std::cout << "\nrelated log lines\n";
  for (const Json &Line : Explanation.Evidence)
    printLine(Line);
}

} // namespace internal

ExitCode checkSettings(const CommandOptions &Opts, const std::string &Path) {
  Result<ProxySettings> Settings = ProxySettings::load(Path);
  const Error *E = errorOf(Settings);
  if (Opts.Json)
    std::cout << internal::Json{{"file", Path},
                                {"ok", E == nullptr},
                                {"faults", E ? E->Message : ""}}
                     .dump()
              << "\n";
  else if (E)
    std::cerr << E->Message << "\n";
  else
    std::cout << Path << ": ok\n";
  return E ? ExitCode::Refused : ExitCode::Ok;
}

ExitCode showProxies(OperatorClient &Client, const CommandOptions &Opts,
                     const std::vector<std::string> &Addresses) {
  internal::Json Proxies = internal::collectProxies(Client, Addresses);
  if (Opts.Json) {
    std::cout << Proxies.dump(2) << "\n";
  } else {
    internal::printVms(Proxies);
    internal::printGroups(Proxies);
  }
  for (const internal::Json &Row : Proxies)
    if (!Row.contains("error"))
      return ExitCode::Ok;
  std::cerr << "no proxy responded; use --proxies to give the operator "
               "address of a running proxy\n";
  return ExitCode::Unreachable;
}

ExitCode explainRequest(const CommandOptions &Opts, const std::string &Id,
                        const std::vector<std::string> &Paths,
                        std::istream &Input) {
  RequestExplanation Logs;
  if (Paths.empty())
    internal::readLogs(Logs, Input);
  for (const std::string &Path : Paths) {
    std::ifstream File(Path);
    if (!File || !internal::readLogs(Logs, File)) {
      std::cerr << Path << ": cannot read the file; no log was evaluated\n";
      return ExitCode::Usage;
    }
  }
  if (Logs.lines() == 0) {
    std::cerr << "the input holds no log line; use the standard output of the "
                 "proxies as input\n";
    return ExitCode::Refused;
  }
  RequestExplanation::Result Explanation = Logs.explain(Id);
  if (Opts.Json)
    std::cout << internal::Json{{"id", Id},
                                {"cause", Explanation.Cause},
                                {"to_do", Explanation.Advice},
                                {"request", Explanation.Request},
                                {"evidence", Explanation.Evidence},
                                {"lines_left_out", Explanation.SuppressedLines}}
                     .dump(2)
              << "\n";
  else
    internal::printExplanation(Id, Explanation);
  return Explanation.Request.is_null() ? ExitCode::Refused : ExitCode::Ok;
}

} // namespace cicadawind
