#define BOOST_TEST_MODULE ProxyCommands
#include <boost/test/unit_test.hpp>

#include "Cli/ProxyCommands.h"
#include "Config/ProxyConfigCheck.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>

using namespace cicadawind;

namespace {

/// Captures standard output and standard error during its lifetime.
class CapturedOutput {
public:
  CapturedOutput()
      : Out(std::cout.rdbuf(Text.rdbuf())), Err(std::cerr.rdbuf(Text.rdbuf())) {
  }
  ~CapturedOutput() {
    std::cout.rdbuf(Out);
    std::cerr.rdbuf(Err);
  }
  CapturedOutput(const CapturedOutput &) = delete;
  CapturedOutput &operator=(const CapturedOutput &) = delete;
  std::string text() const { return Text.str(); }

private:
  std::ostringstream Text;
  std::streambuf *Out;
  std::streambuf *Err;
};

/// A temporary file with the given content, removed by the destructor.
class NamedFile {
public:
  explicit NamedFile(const std::string &Content)
      : Path(std::filesystem::temp_directory_path() /
             ("cicadawind-cli-" + std::to_string(::getpid()))) {
    std::ofstream(Path) << Content;
  }
  ~NamedFile() { std::filesystem::remove(Path); }
  NamedFile(const NamedFile &) = delete;
  NamedFile &operator=(const NamedFile &) = delete;
  std::string path() const { return Path.string(); }

private:
  std::filesystem::path Path;
};

const std::string Line =
    R"({"time":"2026-03-01T10:00:05.000Z","vm":"vm-1",)"
    R"("message":"request not served","id":"q1","group":"g",)"
    R"("code":"bad_request","why":"unknown statement"})";

} // namespace

BOOST_AUTO_TEST_CASE(explainReadsStandardInputOrFiles) {
  std::istringstream Input(Line + "\n");
  NamedFile File(Line + "\n");
  for (const std::vector<std::string> &Paths :
       {std::vector<std::string>{}, std::vector<std::string>{File.path()}}) {
    CapturedOutput Seen;
    BOOST_TEST((explainRequest({}, "q1", Paths, Input) == ExitCode::Ok));
    BOOST_TEST(Seen.text().find("unknown statement") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(explainPrintsJsonForPrograms) {
  std::istringstream Input(Line);
  CapturedOutput Seen;
  explainRequest({.Json = true}, "q1", {}, Input);
  nlohmann::json Json = nlohmann::json::parse(Seen.text());
  BOOST_TEST(Json["id"] == "q1");
  BOOST_TEST(Json["request"]["code"] == "bad_request");
  BOOST_TEST(Json["evidence"].is_array());
}

BOOST_AUTO_TEST_CASE(explainReportsMissingRequestsLogsAndFiles) {
  CapturedOutput Seen;
  std::istringstream Other(Line);
  BOOST_TEST((explainRequest({}, "q2", {}, Other) == ExitCode::Refused));
  std::istringstream Empty;
  BOOST_TEST((explainRequest({}, "q1", {}, Empty) == ExitCode::Refused));
  BOOST_TEST(
      (explainRequest({}, "q1", {"/nowhere/x.log"}, Empty) == ExitCode::Usage));
  BOOST_TEST(Seen.text().find("/nowhere/x.log") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(checkReportsEveryErrorOfASettingsFile) {
  NamedFile File("[daemon]\nvm = 5\n[listen]\ncallers = \"nowhere\"\n");
  CapturedOutput Seen;
  BOOST_TEST((checkSettings({}, File.path()) == ExitCode::Refused));
  BOOST_TEST(Seen.text().find("vm") != std::string::npos);
  BOOST_TEST(Seen.text().find("callers") != std::string::npos);
  CapturedOutput AsJson;
  checkSettings({.Json = true}, File.path());
  BOOST_TEST(nlohmann::json::parse(AsJson.text())["ok"] == false);
}

BOOST_AUTO_TEST_CASE(validateConfigReportsEachError) {
  ProxyConfig Good;
  Good.Version = 1;
  Good.Groups["g"].MaxConnections = 4;
  Good.Routes["d"] = RouteConfig{.Database = "d", .Group = "g"};
  BOOST_TEST(validateConfig(Good).empty());
  struct Case {
    std::function<void(ProxyConfig &)> Change;
    std::string Word;
  };
  const std::vector<Case> Table{
      {[](ProxyConfig &C) { C.Version = 0; }, "version 0"},
      {[](ProxyConfig &C) { C.Routes.clear(); }, "no database"},
      {[](ProxyConfig &C) { C.Routes["d"].Group = "h"; }, "'h' is not listed"},
      {[](ProxyConfig &C) { C.Routes["d"].StatementTimeout = Millis(0); },
       "have no time"},
      {[](ProxyConfig &C) { C.Routes["d"].LatencyObjective = Millis(0); },
       "latency objective is 0"},
      {[](ProxyConfig &C) {
         C.Routes["d"].Reads = Consistency::BoundedStaleness;
       },
       "may not be old at all"},
      {[](ProxyConfig &C) { C.Groups["g"].MaxConnections = 0; },
       "take no connections"},
  };
  for (const Case &Each : Table) {
    ProxyConfig Changed = Good;
    Each.Change(Changed);
    std::vector<std::string> Errors = validateConfig(Changed);
    BOOST_TEST_CONTEXT(Each.Word) {
      BOOST_REQUIRE(Errors.size() == 1);
      BOOST_TEST(Errors[0].find(Each.Word) != std::string::npos);
    }
  }
}
