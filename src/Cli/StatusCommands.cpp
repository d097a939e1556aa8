#include "Cli/Commands.h"

#include "Cli/OperatorClient.h"

#include <iomanip>
#include <iostream>

namespace cicadawind {
namespace internal {

constexpr Duration OneDaemonLimit = std::chrono::seconds(1);
constexpr int NameWidth = 18;
constexpr int ColumnWidth = 12;

/// Status of every daemon; unreached ones hold only "error".
static nlohmann::json collect(OperatorClient &Client,
                              const nlohmann::json &Members) {
  nlohmann::json Daemons = nlohmann::json::array();
  for (const auto &[Name, Address] : OperatorClient::addressesOf(Members)) {
    Result<nlohmann::json> One =
        Client.callAt(Address, "/v1/status", nullptr, OneDaemonLimit);
    nlohmann::json Row{{"daemon", Name}, {"address", Address}};
    if (const Error *E = errorOf(One)) {
      Row["error"] = E->Message;
    } else {
      Row.update(valueOf(One));
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

/// Whether writes are served, as far as a pooler knows.
static const char *writesOf(const nlohmann::json &Row) {
  if (Row["lease"].get<bool>())
    return "served";
  return Row["in_use"].get<bool>() ? "refused" : "not in use";
}

static void printDatabases(const nlohmann::json &Daemons) {
  // The highest term that any pooler knows is the current one.
  std::map<std::string, nlohmann::json> Best;
  for (const nlohmann::json &Row : Daemons)
    for (const nlohmann::json &Database :
         Row.value("databases", nlohmann::json::array())) {
      nlohmann::json &Slot = Best[Database["database"].get<std::string>()];
      bool Newer =
          Slot.is_null() || Database["term"] > Slot["term"] ||
          (Database["term"] == Slot["term"] && Database["lease"].get<bool>());
      if (Newer)
        Slot = Database;
    }
  std::cout << "\n"
            << std::setw(NameWidth) << "DATABASE" << std::setw(ColumnWidth)
            << "TERM" << std::setw(NameWidth) << "PRIMARY"
            << "WRITES\n";
  for (const auto &[Name, Row] : Best)
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
    Result<nlohmann::json> One =
        Client.callAt(Address, "/v1/drain", nlohmann::json::object(),
                      internal::OneDaemonLimit);
    if (const Error *E = errorOf(One))
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
