#include "Cli/Commands.h"

#include "Cli/OperatorClient.h"
#include "ReleaseNotes/ReleaseNote.h"

#include <fstream>
#include <iostream>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace cicadawind {
namespace internal {

/// Time between two rounds of status calls while waiting for a note to become
/// active.
constexpr auto PollInterval = std::chrono::milliseconds(100);
/// Timeout of the status call to each daemon in such a round.
constexpr Duration PollTimeout = std::chrono::milliseconds(500);

/// Returns a random submission id.
static std::string newSubmission() {
  std::random_device Device;
  std::ostringstream Text;
  Text << std::hex << Device() << Device() << Device();
  return Text.str();
}

static Result<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return Error{.Code = ErrorCode::BadRequest,
                 .Message = Path + ":1: cannot read the file"};
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// Returns the daemons at which the note \p Number is not active yet, each with
/// the reason.
static std::set<std::string> daemonsWithout(OperatorClient &Client,
                                            std::uint64_t Number) {
  std::set<std::string> Missing;
  Result<nlohmann::json> Status = Client.call("/v1/status", nullptr);
  if (errorOf(Status))
    return {"every daemon: " + errorOf(Status)->Message};
  for (const auto &[Name, Address] :
       OperatorClient::addressesOf(valueOf(Status)["members"])) {
    Result<nlohmann::json> DaemonStatus =
        Client.callAt(Address, "/v1/status", nullptr, PollTimeout);
    if (errorOf(DaemonStatus))
      Missing.insert(Name + " (not reached)");
    else if (valueOf(DaemonStatus).value("note", std::uint64_t{0}) < Number)
      Missing.insert(Name + " (not active yet)");
  }
  return Missing;
}

/// Waits up to \p Timeout until the note \p Number is active at every daemon
/// and prints the daemons at which it is not.
static ExitCode waitUntilActive(OperatorClient &Client, std::uint64_t Number,
                                Duration Timeout) {
  TimePoint End = BootClock::now() + Timeout;
  std::set<std::string> Missing = daemonsWithout(Client, Number);
  while (!Missing.empty() && BootClock::now() < End) {
    std::this_thread::sleep_for(PollInterval);
    Missing = daemonsWithout(Client, Number);
  }
  for (const std::string &Name : Missing)
    std::cout << "  " << Name << "\n";
  if (!Missing.empty())
    return ExitCode::PartiallyApplied;
  std::cout << "note " << Number << " is active at every daemon\n";
  return ExitCode::Ok;
}

} // namespace internal

ExitCode reportError(const Error &E) {
  std::cerr << E.Message << "\n";
  if (E.Outcome == Verdict::MayHaveRun)
    return ExitCode::OutcomeUnknown;
  bool IsUnreachable =
      E.Code == ErrorCode::Unreachable || E.Code == ErrorCode::StoreUnavailable;
  return IsUnreachable ? ExitCode::Unreachable : ExitCode::Refused;
}

ExitCode noteCheck(OperatorClient &Client, const CommandArguments &Arguments) {
  if (Arguments.size() != 1)
    return ExitCode::Usage;
  Result<std::string> Text = internal::readFile(Arguments[0]);
  if (const Error *E = errorOf(Text))
    return reportError(*E);
  // Syntax errors are found without calling a daemon.
  Result<ReleaseNote> Note = ReleaseNote::parse(valueOf(Text), Arguments[0]);
  if (const Error *E = errorOf(Note))
    return reportError(*E);
  nlohmann::json Body{{"note", valueOf(Text)}, {"origin", Arguments[0]}};
  Result<nlohmann::json> Answer = Client.call("/v1/notes/check", Body);
  if (const Error *E = errorOf(Answer))
    return reportError(*E);
  std::cout << Arguments[0] << ": valid\n";
  return ExitCode::Ok;
}

ExitCode submitText(OperatorClient &Client, const CommandOptions &Opts,
                    const std::string &Text, const std::string &Origin) {
  std::string Submission =
      Opts.Submission.empty() ? internal::newSubmission() : Opts.Submission;
  nlohmann::json Body{
      {"note", Text}, {"origin", Origin}, {"submission", Submission}};
  Result<nlohmann::json> Answer = Client.call("/v1/notes", Body);
  if (const Error *E = errorOf(Answer)) {
    if (E->Outcome == Verdict::MayHaveRun)
      std::cerr << "repeat with --submission=" << Submission << "\n";
    return reportError(*E);
  }
  auto Number = valueOf(Answer).at("number").get<std::uint64_t>();
  std::cout << "accepted as note " << Number << "\n";
  if (!Opts.Wait)
    return ExitCode::Ok;
  return internal::waitUntilActive(Client, Number, Opts.WaitTimeout);
}

ExitCode noteSubmit(OperatorClient &Client, const CommandOptions &Opts,
                    const CommandArguments &Arguments) {
  if (Arguments.size() != 1)
    return ExitCode::Usage;
  Result<std::string> Text = internal::readFile(Arguments[0]);
  if (const Error *E = errorOf(Text))
    return reportError(*E);
  return submitText(Client, Opts, valueOf(Text), Arguments[0]);
}

ExitCode noteShow(OperatorClient &Client, const CommandArguments &Arguments) {
  if (Arguments.size() > 1)
    return ExitCode::Usage;
  Result<nlohmann::json> Answer = Client.call("/v1/notes", nullptr);
  if (const Error *E = errorOf(Answer))
    return reportError(*E);
  if (Arguments.empty()) {
    std::cout << valueOf(Answer)["config"].dump(2) << "\n";
    return ExitCode::Ok;
  }
  for (const nlohmann::json &Note : valueOf(Answer)["notes"])
    if (std::to_string(Note["number"].get<std::uint64_t>()) == Arguments[0]) {
      std::cout << Note["note"].get<std::string>();
      return ExitCode::Ok;
    }
  std::cerr << "note " << Arguments[0] << " is not among the latest notes\n";
  return ExitCode::Refused;
}

ExitCode noteHistory(OperatorClient &Client, const CommandOptions &Opts) {
  Result<nlohmann::json> Answer = Client.call("/v1/notes", nullptr);
  if (const Error *E = errorOf(Answer))
    return reportError(*E);
  if (Opts.Json) {
    std::cout << valueOf(Answer)["notes"].dump(2) << "\n";
    return ExitCode::Ok;
  }
  for (const nlohmann::json &Row : valueOf(Answer)["notes"]) {
    Result<ReleaseNote> Note =
        ReleaseNote::parse(Row["note"].get<std::string>(), "note");
    std::cout << Row["number"] << "  ";
    if (errorOf(Note)) {
      std::cout << "malformed\n";
      continue;
    }
    std::cout << valueOf(Note).Author;
    for (const NoteEntry &Entry : valueOf(Note).Entries) {
      const char *Action =
          Entry.Action == NoteAction::Add
              ? "+"
              : (Entry.Action == NoteAction::Change ? "~" : "-");
      std::cout << "  " << Action << Entry.subject();
    }
    std::cout << "\n";
  }
  return ExitCode::Ok;
}

ExitCode noteDiff(OperatorClient &Client, const CommandArguments &Arguments) {
  if (Arguments.size() != 2)
    return ExitCode::Usage;
  Result<nlohmann::json> Answer = Client.call("/v1/notes", nullptr);
  if (const Error *E = errorOf(Answer))
    return reportError(*E);
  std::uint64_t From = std::strtoull(Arguments[0].c_str(), nullptr, 10);
  std::uint64_t To = std::strtoull(Arguments[1].c_str(), nullptr, 10);
  for (const nlohmann::json &Row : valueOf(Answer)["notes"]) {
    auto Number = Row["number"].get<std::uint64_t>();
    if (Number <= From || Number > To)
      continue;
    std::cout << "# note " << Number << "\n"
              << Row["note"].get<std::string>() << "\n";
  }
  return ExitCode::Ok;
}

ExitCode drainTarget(OperatorClient &Client, const CommandOptions &Opts,
                     const CommandArguments &Arguments) {
  std::size_t Slash =
      Arguments.size() == 1 ? Arguments[0].find('/') : std::string::npos;
  if (Slash == std::string::npos)
    return ExitCode::Usage;
  std::string Text = "author = \"cicadawindctl target drain\"\n"
                     "[[change.target]]\ndatabase = \"" +
                     Arguments[0].substr(0, Slash) + "\"\nname = \"" +
                     Arguments[0].substr(Slash + 1) + "\"\nleaving = true\n";
  return submitText(Client, Opts, Text, "target drain");
}

} // namespace cicadawind
