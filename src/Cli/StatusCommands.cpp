#include "Cli/Commands.h"

#include "Cli/OperatorClient.h"

#include <iomanip>
#include <iostream>

namespace cicadawind {
namespace internal {

/// Timeout of one call to one daemon.
constexpr Duration CallTimeout = std::chrono::seconds(1);
/// Column widths in characters.
constexpr int NameWidth = 18;
constexpr int ColumnWidth = 12;

/// Returns the status of every daemon. The entry of a daemon that cannot be
/// reached holds "error" instead of a status.
static nlohmann::json collect(OperatorClient &Client,
                              const nlohmann::json &Members) {
  nlohmann::json Daemons = nlohmann::json::array();
  for (const auto &[Name, Address] : OperatorClient::addressesOf(Members)) {
    Result<nlohmann::json> Status =
        Client.callAt(Address, "/v1/status", nullptr, CallTimeout);
    nlohmann::json Row{{"daemon", Name}, {"address", Address}};
    if (const Error *E = errorOf(Status)) {
      Row["error"] = E->Message;
    } else {
      Row.update(valueOf(Status));
      Row.erase("members");
    }
    Daemons.push_back(std::move(Row));
  }
  return Daemons;
}

static void printDaemons(const nlohmann::json &Daemons) {
  std::cout << std::left << std::setw(NameWidth) << "DAEMON"
            << std::setw(NameWidth) << "FAILURE DOMAIN"
            << std::setw(ColumnWidth) << "NOTE" << std::setw(ColumnWidth)
            << "READY"
            << "DRAIN\n";
  for (const nlohmann::json &Row : Daemons) {
    std::cout << std::setw(NameWidth) << Row["daemon"].get<std::string>();
    if (Row.contains("error")) {
      std::cout << "not reached: " << Row["error"].get<std::string>() << "\n";
      continue;
    }
    std::cout << std::setw(NameWidth)
              << Row["failure_domain"].get<std::string>()
              << std::setw(ColumnWidth) << Row["note"].get<std::uint64_t>()
              << std::setw(ColumnWidth)
              << (Row["ready"].get<bool>() ? "yes" : "no")
              << Row["drain"].get<std::string>() << "\n";
  }
}

/// Returns the text of the column WRITES for a pooler's report on a database.
static const char *writesOf(const nlohmann::json &Row) {
  if (Row["lease"].get<bool>())
    return "served";
  return Row["in_use"].get<bool>() ? "refused" : "not in use";
}

static void printDatabases(const nlohmann::json &Daemons) {
  // Poolers may report different terms; the highest one is the current term.
  // Among reports of the same term, the one of the lease holder is shown.
  std::map<std::string, nlohmann::json> Current;
  for (const nlohmann::json &Row : Daemons)
    for (const nlohmann::json &Database :
         Row.value("databases", nlohmann::json::array())) {
      nlohmann::json &Chosen = Current[Database["database"].get<std::string>()];
      bool IsNewer =
          Chosen.is_null() || Database["term"] > Chosen["term"] ||
          (Database["term"] == Chosen["term"] && Database["lease"].get<bool>());
      if (IsNewer)
        Chosen = Database;
    }
  std::cout << "\n"
            << std::setw(NameWidth) << "DATABASE" << std::setw(ColumnWidth)
            << "TERM" << std::setw(NameWidth) << "PRIMARY"
            << "WRITES\n";
  for (const auto &[Name, Row] : Current)
    std::cout << std::setw(NameWidth) << Name << std::setw(ColumnWidth)
              << Row["term"].get<std::uint64_t>() << std::setw(NameWidth)
              << Row["primary"].get<std::string>() << writesOf(Row) << "\n";
}

} // namespace internal

ExitCode showStatus(OperatorClient &Client, const CommandOptions &Opts) {
  Result<nlohmann::json> Answer = Client.call("/v1/status", nullptr);
  if (const Error *E = errorOf(Answer))
    return reportError(*E);
  nlohmann::json Daemons =
      internal::collect(Client, valueOf(Answer)["members"]);
  if (Opts.Json) {
    std::cout << Daemons.dump(2) << "\n";
    return ExitCode::Ok;
  }
  internal::printDaemons(Daemons);
  internal::printDatabases(Daemons);
  return ExitCode::Ok;
}

ExitCode drainVm(OperatorClient &Client, const CommandArguments &Arguments) {
  if (Arguments.size() != 1)
    return ExitCode::Usage;
  Result<nlohmann::json> Answer = Client.call("/v1/status", nullptr);
  if (const Error *E = errorOf(Answer))
    return reportError(*E);
  bool Found = false;
  ExitCode Code = ExitCode::Ok;
  for (const auto &[Name, Address] :
       OperatorClient::addressesOf(valueOf(Answer)["members"])) {
    if (Name.substr(0, Name.find(' ')) != Arguments[0])
      continue;
    Found = true;
    Result<nlohmann::json> DrainAnswer = Client.callAt(
        Address, "/v1/drain", nlohmann::json::object(), internal::CallTimeout);
    if (const Error *E = errorOf(DrainAnswer))
      Code = reportError(*E);
    else
      std::cout << Name << ": draining\n";
  }
  if (Found)
    return Code;
  std::cerr << "no VM '" << Arguments[0] << "' is known\n";
  return ExitCode::Refused;
}

} // namespace cicadawind
