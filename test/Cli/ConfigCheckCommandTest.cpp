#define BOOST_TEST_MODULE ConfigCheckCommand
#include <boost/test/unit_test.hpp>

#include "Cli/ConfigCheckCommand.h"
#include "ConfigurationText.h"
#include "Daemons/ConfigPage.h"
#include "TestFlags.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>

using namespace cicadawind;
using namespace cicadawind::test;
using Json = nlohmann::json;

namespace {

/// All keys of the texts begin with this.
const char *const KeyStart = "sesame";
constexpr std::size_t LongNameBytes = std::size_t{64} * 1024;

/// Returns a configuration in which nothing is found.
Json inForce() {
  return Json::parse(
      R"({"configVersion":7,"routes":[{"host":"d","service":"g",)"
      R"("routeType":"primary","timeoutMs":1000,"targetLatencyMs":500}],)"
      R"("services":[{"name":"g","maxConns":4}],"tenants":[)"
      R"({"name":"a","apiKeys":["sesame-1","sesame-2"],)"
      R"("ratePerS":5,"burst":10}]})");
}

/// Returns a newer one with differences, and with errors and warnings.
Json faulty() {
  Json Out = inForce();
  Out["configVersion"] = 8;
  Out["routes"].push_back(Out["routes"][0]);
  Out["routes"][1]["targetLatencyMs"] = 1500;
  Out["services"].push_back({{"name", "h"}, {"maxConns", 2}});
  Out["tenants"][0]["apiKeys"] = {"sesame-2", "sesame-3"};
  Out["tenants"][0]["burst"] = 0.5;
  Out["tenants"].push_back({{"name", "b"}, {"apiKeys", {"sesame-2"}}});
  return Out;
}

/// A folder of files, removed by the destructor.
class Folder {
public:
  Folder()
      : Path(std::filesystem::temp_directory_path() /
             ("cicadawind-config-" + std::to_string(::getpid()))) {
    std::filesystem::create_directory(Path);
  }
  ~Folder() { std::filesystem::remove_all(Path); }
  Folder(const Folder &) = delete;
  Folder &operator=(const Folder &) = delete;

  std::string path(const std::string &Name) const { return Path / Name; }
  std::string write(const std::string &Name, const std::string &Text) const {
    std::ofstream(Path / Name) << Text;
    return path(Name);
  }

private:
  std::filesystem::path Path;
};

struct Outcome {
  ConfigCheckExit Code;
  std::string Text;
};

/// Runs the command and returns all that it prints, which contains no key.
Outcome run(const ConfigCheckOptions &Opts) {
  std::ostringstream Text;
  std::streambuf *Out = std::cout.rdbuf(Text.rdbuf());
  std::streambuf *Err = std::cerr.rdbuf(Text.rdbuf());
  ConfigCheckExit Code =
      checkConfiguration(Opts, platform::decodeConfigurationText);
  std::cout.rdbuf(Out);
  std::cerr.rdbuf(Err);
  BOOST_TEST(Text.str().find(KeyStart) == std::string::npos);
  return {Code, Text.str()};
}

bool contains(const Outcome &Seen, const std::string &Words) {
  return Seen.Text.find(Words) != std::string::npos;
}

/// Compares \p Text with the golden file \p Name. Writes the file first if the
/// flags after "--" contain --update=1.
void compare(const std::string &Name, const std::string &Text) {
  std::string Path =
      textFlag("source", ".") + "/test/Golden/" + Name + ".golden";
  if (numberFlag("update", 0) == 1)
    std::ofstream(Path) << Text;
  std::ifstream File(Path);
  std::ostringstream Expected;
  Expected << File.rdbuf();
  BOOST_TEST(Text == Expected.str(), Name);
}

} // namespace

BOOST_AUTO_TEST_CASE(exitCodesTellWhatWasFound) {
  struct Case {
    std::function<void(Json &)> Change;
    ConfigCheckExit Code;
  };
  const std::vector<Case> Table{
      {[](Json &) {}, ConfigCheckExit::Ok},
      {[](Json &J) { J["configVersion"] = 8; }, ConfigCheckExit::Ok},
      {[](Json &J) { J["configVersion"] = 8, J["tenants"] = Json::array(); },
       ConfigCheckExit::Errors},
      {[](Json &J) {
         J["configVersion"] = 8;
         J["services"][0]["maxConns"] = 5;
       },
       ConfigCheckExit::Ok},
      {[](Json &J) { J["services"][0]["maxConns"] = 5; },
       ConfigCheckExit::Errors},
      {[](Json &J) { J["configVersion"] = 6; }, ConfigCheckExit::Errors},
      {[](Json &J) {
         J["configVersion"] = 8;
         J["routes"][0]["timeoutMs"] = 400;
       },
       ConfigCheckExit::Warnings},
  };
  Folder Files;
  std::string Current = Files.write("current", inForce().dump());
  for (const Case &Each : Table) {
    Json Next = inForce();
    Each.Change(Next);
    std::string File = Files.write("next", Next.dump());
    for (bool AsJson : {false, true}) {
      Outcome Seen = run({.File = File, .InForce = Current, .Json = AsJson});
      BOOST_TEST_CONTEXT(Seen.Text) {
        BOOST_TEST(static_cast<int>(Seen.Code) == static_cast<int>(Each.Code));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(findingsAndDifferencesMatchTheGoldenFiles) {
  Folder Files;
  std::string Current = Files.write("current", inForce().dump());
  std::string Next = Files.write("next", faulty().dump());
  for (bool AsJson : {false, true}) {
    Outcome Seen = run({.File = Next, .InForce = Current, .Json = AsJson});
    BOOST_TEST((Seen.Code == ConfigCheckExit::Errors));
    compare(AsJson ? "config-check-json" : "config-check-text", Seen.Text);
  }
}

BOOST_AUTO_TEST_CASE(jsonAlwaysHasBothLists) {
  Folder Files;
  std::string Good = Files.write("good", inForce().dump());
  for (const ConfigCheckOptions &Opts :
       {ConfigCheckOptions{.File = Good},
        ConfigCheckOptions{.File = Good, .InForce = "/nowhere"},
        ConfigCheckOptions{.File = "/nowhere/\xff"}}) {
    ConfigCheckOptions AsJson = Opts;
    AsJson.Json = true;
    Json Printed = Json::parse(run(AsJson).Text);
    BOOST_TEST(Printed.size() == 2);
    BOOST_TEST(Printed.at("findings").is_array());
    BOOST_TEST(Printed.at("differences").is_array());
  }
}

BOOST_AUTO_TEST_CASE(unreadableFilesAreErrors) {
  Folder Files;
  std::string Good = inForce().dump();
  Json Deep = Json::parse(std::string(60, '[') + std::string(60, ']'));
  Json LongName = inForce();
  LongName["routes"][0]["host"] = std::string(LongNameBytes, 'n');
  Json Nested = inForce();
  Nested["routes"][0]["host"] = Deep;
  struct Case {
    std::string File;
    std::string Words;
  };
  const std::vector<Case> Table{
      {Files.path("missing"), "cannot open the file"},
      {Files.path(""), "cannot"},
      {Files.write("empty", ""), "parse error"},
      {Files.write("half", Good.substr(0, Good.size() / 2)), "parse error"},
      {Files.write("key", Good.substr(0, Good.find("sesame-1") + 8)),
       "parse error"},
      {Files.write("number", "5"), "must be a list"},
      {Files.write("long", LongName.dump()), "shorten it"},
      {Files.write("nested", Nested.dump()), "route 1: 'host' must be"},
      {Files.write("deep", std::string(1 << 20, '[')), "nested"},
      {"/dev/zero", "the file is larger"},
  };
  for (const Case &Each : Table) {
    Outcome Seen = run({.File = Each.File});
    BOOST_TEST_CONTEXT(Each.File << ": " << Seen.Text.substr(0, 300)) {
      BOOST_TEST((Seen.Code == ConfigCheckExit::Errors));
      BOOST_TEST(contains(Seen, Each.Words));
      BOOST_TEST(Seen.Text.size() < 1000);
    }
  }
}

BOOST_AUTO_TEST_CASE(aMissingVersionInForceHasACodeOfItsOwn) {
  Folder Files;
  std::string Good = Files.write("good", inForce().dump());
  std::string Bad = Files.write("bad", "{}");
  std::string Faulty = Files.write("faulty", faulty().dump());
  // Nothing listens on port 1.
  for (const ConfigCheckOptions &Opts :
       {ConfigCheckOptions{.File = Good, .InForce = Files.path("missing")},
        ConfigCheckOptions{.File = Good, .InForce = Bad},
        ConfigCheckOptions{.File = Good, .Vm = "127.0.0.1:1"},
        ConfigCheckOptions{.File = Good, .Vm = "nonsense"}}) {
    Outcome Seen = run(Opts);
    BOOST_TEST((Seen.Code == ConfigCheckExit::InForceUnavailable));
    BOOST_TEST(contains(Seen, "version in force"));
  }
  // A version with errors is not to be sent, whatever is in force.
  BOOST_TEST(
      (run({.File = Faulty, .InForce = Bad}).Code == ConfigCheckExit::Errors));
}

BOOST_AUTO_TEST_CASE(wrongUsageIsAnError) {
  BOOST_TEST((run({}).Code == ConfigCheckExit::Errors));
  BOOST_TEST((run({.File = "a", .InForce = "b", .Vm = "c"}).Code ==
              ConfigCheckExit::Errors));
}

BOOST_AUTO_TEST_CASE(textsFromTheFileCannotSteerTheTerminal) {
  Folder Files;
  Json Next = inForce();
  Next["routes"][0]["host"] = "d\x1b[2J";
  Next["configVersion"] = 8;
  std::string Current = Files.write("current", inForce().dump());
  Outcome Seen =
      run({.File = Files.write("next", Next.dump()), .InForce = Current});
  BOOST_TEST((Seen.Code == ConfigCheckExit::Errors));
  BOOST_TEST(!contains(Seen, "\x1b"));
}

BOOST_AUTO_TEST_CASE(pagesHoldDigestsAndNoKeys) {
  Result<DecodedConfig> Read =
      platform::decodeConfigurationText(faulty().dump());
  const ProxyConfig &Config = valueOf(Read).Config;
  Json Page = configPageOf(Config, "salt");
  BOOST_TEST(Page.dump().find(KeyStart) == std::string::npos);
  Result<ConfigPage> Back = readConfigPage(Page);
  BOOST_REQUIRE(!errorOf(Back));
  const ProxyConfig &Shown = valueOf(Back).Config;
  BOOST_TEST(valueOf(Back).Salt == "salt");
  BOOST_TEST(Shown.Version == Config.Version);
  BOOST_CHECK(Shown.Routes == Config.Routes);
  BOOST_CHECK(Shown.Groups == Config.Groups);
  BOOST_CHECK(Shown.Callers == Config.Callers);
  BOOST_TEST(Shown.Accounts.accounts().size() == 2);
  BOOST_TEST(Shown.Accounts.find("a")->Keys.size() == 2);
  // Without accounts there is no list of them.
  BOOST_TEST(configPageOf(ProxyConfig(), "salt")["accounts"].is_null());
}

// The page is made on the loop that serves callers.
BOOST_AUTO_TEST_CASE(pagesOfTenThousandAccountsTakeLessThanASecond) {
  constexpr int Count = 10000;
  ProxyConfig Config;
  for (int I = 0; I < Count; ++I) {
    std::string Name = "account-" + std::to_string(I);
    Config.Accounts.add({.Name = Name,
                         .Keys = {"key-" + Name},
                         .Limit = RateLimit{.PerSecond = 5, .Burst = 10}});
  }
  auto Start = std::chrono::steady_clock::now();
  std::string Text = configPageOf(Config, "salt").dump();
  auto Took = std::chrono::steady_clock::now() - Start;
  BOOST_TEST_MESSAGE("page of 10,000 accounts: "
                     << std::chrono::duration_cast<Millis>(Took).count()
                     << " ms, " << Text.size() << " bytes");
  BOOST_TEST((Took < std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_CASE(malformedPagesAreRefused) {
  Result<DecodedConfig> Read =
      platform::decodeConfigurationText(inForce().dump());
  const Json Good = configPageOf(valueOf(Read).Config, "salt");
  for (const auto &[Key, Value] : Good.items()) {
    Json Missing = Good;
    Missing.erase(Key);
    BOOST_TEST(errorOf(readConfigPage(Missing)), Key);
    Json Wrong = Good;
    Wrong[Key] = Json::array({Json::array()});
    BOOST_TEST(errorOf(readConfigPage(Wrong)), Key);
  }
  for (const char *Text : {"null", "[]", "{}", "5"})
    BOOST_TEST(errorOf(readConfigPage(Json::parse(Text))));
}
