#define BOOST_TEST_MODULE ConfigCheck
#include <boost/test/unit_test.hpp>

#include "Config/Config.h"
#include "ConfigurationText.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <chrono>
#include <functional>

using namespace cicadawind;
using Json = nlohmann::json;
using Severity = ConfigFinding::Severity;

namespace {

const char *const Key = "0f3c7a-secret-key";
constexpr std::size_t LongNameBytes = std::size_t{64} * 1024;

/// Returns a configuration in which nothing is found.
ProxyConfig good() {
  ProxyConfig Out;
  Out.Version = 7;
  Out.Groups["g"].MaxConnections = 4;
  Out.Routes["d"] = RouteConfig{.Database = "d", .Group = "g"};
  Out.Accounts.add({.Name = "a",
                    .Keys = {Key},
                    .Limit = RateLimit{.PerSecond = 5, .Burst = 10}});
  return Out;
}

/// The same as good(), as the platform stores it.
Json goodText() {
  return Json::parse(
      R"({"configVersion":7,"routes":[{"host":"d","service":"g",)"
      R"("routeType":"primary","timeoutMs":1000,"targetLatencyMs":500}],)"
      R"("services":[{"name":"g","maxConns":4}],)"
      R"("limits":{"maxBodyBytes":262144},"tenants":[{"name":"a",)"
      R"("apiKeys":["0f3c7a-secret-key"],"ratePerS":5,"burst":10}]})");
}

/// Replaces the accounts of \p Config by \p Account.
void setAccount(ProxyConfig &Config, ClientAccount Account) {
  Config.Accounts = AccountDirectory();
  Config.Accounts.add(std::move(Account));
}

/// Replaces the limit of the only account of \p Config.
void setLimit(ProxyConfig &Config, RateLimit Limit) {
  setAccount(Config, {.Name = "a", .Keys = {Key}, .Limit = Limit});
}

std::string textOf(const std::vector<ConfigFinding> &Findings) {
  std::string Out;
  for (const ConfigFinding &Each : Findings)
    Out += Each.Where + ": " + Each.Text + "\n";
  return Out;
}

std::vector<ConfigFinding> findingsOf(const std::string &Text) {
  Result<DecodedConfig> Read = platform::decodeConfigurationText(Text);
  BOOST_REQUIRE(!errorOf(Read));
  std::vector<ConfigFinding> Out = valueOf(Read).Findings;
  for (const ConfigFinding &Each : checkConfig(valueOf(Read).Config))
    Out.push_back(Each);
  return Out;
}

/// Requires that the only finding is the expected one.
void requireOnly(const std::vector<ConfigFinding> &Findings, Severity Level,
                 const std::string &Where, const std::string &Words) {
  BOOST_TEST_CONTEXT(Words << "; found: " << textOf(Findings)) {
    BOOST_REQUIRE(Findings.size() == 1);
    BOOST_TEST((Findings[0].Level == Level));
    BOOST_TEST(Findings[0].Where == Where);
    BOOST_TEST(Findings[0].Text.find(Words) != std::string::npos);
    BOOST_TEST(Findings[0].Text.find(Key) == std::string::npos);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(nothingIsFoundInACorrectConfiguration) {
  BOOST_TEST(textOf(checkConfig(good())) == "");
  BOOST_TEST(textOf(findingsOf(goodText().dump())) == "");
}

BOOST_AUTO_TEST_CASE(eachFaultIsFoundAlone) {
  struct Case {
    std::function<void(ProxyConfig &)> Change;
    Severity Level;
    std::string Where;
    std::string Words;
  };
  constexpr Severity E = Severity::Error;
  constexpr Severity W = Severity::Warning;
  const std::string Callers = "limits of callers";
  const std::vector<Case> Table{
      {[](auto &C) { C.Version = 0; }, E, "version", "number versions from 1"},
      {[](auto &C) { C.Routes["d"].Group = "h", C.Groups.clear(); }, E,
       "database 'd'", "group 'h' is not listed"},
      {[](auto &C) { C.Routes["d"].StatementTimeout = Millis(0); }, E,
       "database 'd'", "set a time limit above 0"},
      {[](auto &C) { C.Routes["d"].LatencyObjective = Millis(0); }, E,
       "database 'd'", "set one above 0"},
      {[](auto &C) { C.Routes["d"].Reads = Consistency::ReadYourWrites; }, E,
       "database 'd'", "allow an age"},
      {[](auto &C) { C.Routes["d"].StatementTimeout = Millis(499); }, W,
       "database 'd'", "499 ms, before the latency objective of 500 ms"},
      {[](auto &C) { C.Groups["g"].MaxConnections = 0; }, E, "group 'g'",
       "allow one or more"},
      {[](auto &C) { C.Groups["h"].MaxConnections = 1; }, W, "group 'h'",
       "no route uses it"},
      {[](auto &C) { C.Callers.MaxMessageBytes = 0; }, E, Callers,
       "every request is refused"},
      {[](auto &C) { C.Callers.MaxMessageBytes = 256; }, W, Callers,
       "check the unit"},
      {[](auto &C) { C.Callers.MaxMessageBytes = std::size_t{1} << 30; }, W,
       Callers, "check the unit"},
      {[](auto &C) { C.Callers.IncompleteMessage = Millis(0); }, E, Callers,
       "messages that have begun to arrive is 0"},
      {[](auto &C) { C.Callers.IdleSession = Millis(0); }, E, Callers,
       "idle sessions is 0"},
      {[](auto &C) { C.Callers.IdleTransaction = Millis(0); }, E, Callers,
       "idle transactions is 0"},
      {[](auto &C) { C.Callers.IdleTransaction = Millis(15001); }, W, Callers,
       "idle transactions (15001 ms) is longer than that of idle sessions"},
      {[](auto &C) { C.Callers.IncompleteMessage = Millis(15001); }, W, Callers,
       "begun to arrive (15001 ms) is longer than that of idle sessions"},
      {[](auto &C) { setLimit(C, {.PerSecond = 5, .Burst = 0}); }, E,
       "account 'a'", "set a burst of 1 or more"},
      {[](auto &C) { setLimit(C, {.PerSecond = 5, .Burst = 0.5}); }, E,
       "account 'a'", "set a burst of 1 or more"},
      {[](auto &C) { setLimit(C, {.PerSecond = 0, .Burst = 5}); }, W,
       "account 'a'", "only the burst is ever admitted"},
      {[](auto &C) { setLimit(C, {.PerSecond = 0, .Burst = 0}); }, W,
       "account 'a'", "each of its operations is refused"},
      {[](auto &C) { C.Accounts.add({.Name = "b"}); }, E, "account 'b'",
       "no caller can use it"},
      {[](auto &C) { C.Accounts.add({.Name = "b", .Keys = {Key}}); }, E,
       "account 'b'", "identifies only that account"},
      {[](auto &C) { C.Accounts.add({.Name = "a", .Keys = {"other"}}); }, E,
       "account 'a'", "is listed twice"},
      {[](auto &C) { C.Accounts.recordProblem("an account is malformed"); }, E,
       "accounts", "an account is malformed"},
      {[](auto &C) { C.Routes["d"].Public = true; }, W, "accounts",
       "no key is ever needed"},
      {[](auto &C) { C.Accounts = {}, C.Accounts.enable(); }, E, "accounts",
       "no account holds one"},
      {[](auto &C) { C.Routes["x y"] = {.Database = "x y", .Group = "g"}; }, E,
       "database 'x y'", "no caller can name it"},
      {[](auto &C) { C.Routes[""] = {.Group = "g"}; }, E, "database ''",
       "its name is empty"},
  };
  for (const Case &Each : Table) {
    ProxyConfig Config = good();
    Each.Change(Config);
    requireOnly(checkConfig(Config), Each.Level, Each.Where, Each.Words);
  }
}

BOOST_AUTO_TEST_CASE(aConfigurationWithoutRoutesIsAnError) {
  ProxyConfig Config = good();
  Config.Routes.clear();
  Config.Groups.clear();
  requireOnly(checkConfig(Config), Severity::Error, "routes",
              "it lists no database");
}

BOOST_AUTO_TEST_CASE(limitsAtTheirBoundsAreNotReported) {
  ProxyConfig Config = good();
  Config.Routes["d"].StatementTimeout = Config.Routes["d"].LatencyObjective;
  Config.Callers.IdleTransaction = Config.Callers.IdleSession;
  Config.Callers.IncompleteMessage = Config.Callers.IdleSession;
  setLimit(Config, {.PerSecond = 0.1, .Burst = 1});
  BOOST_TEST(textOf(checkConfig(Config)) == "");
}

// ProxyConfig cannot hold these; only the text shows them.
BOOST_AUTO_TEST_CASE(eachFaultOfTheTextIsFoundAlone) {
  struct Case {
    std::function<void(Json &)> Change;
    Severity Level;
    std::string Where;
    std::string Words;
  };
  constexpr Severity E = Severity::Error;
  constexpr Severity W = Severity::Warning;
  const std::vector<Case> Table{
      {[](Json &J) { J["routes"].push_back(J["routes"][0]); }, E,
       "database 'd'", "only the last entry is in force"},
      {[](Json &J) { J["services"].push_back(J["services"][0]); }, E,
       "group 'g'", "only the last entry is in force"},
      {[](Json &J) { J["limits"] = 5; }, E, "limits of callers",
       "the default limits are in force"},
      {[](Json &J) { J["routes"][0]["public"] = "true"; }, E, "route 1 ('d')",
       "neither true nor false"},
      {[](Json &J) { J["tenants"][0].erase("ratePerS"); }, E, "account 1 ('a')",
       "so it has no limit"},
      {[](Json &J) { J["tenants"][0]["apiKeys"].push_back(Key); }, W,
       "account 1 ('a')", "1 key more than once"},
      {[](Json &J) {
         J["tenants"][0]["apiKeys"] = Json::array({Key, 5});
       },
       E, "account 'a'", "the key is not in force"},
      {[](Json &J) { J["tenants"][0]["ratePerS"] = -1; }, E, "account 'a'",
       "it has no limit"},
      {[](Json &J) { J["tenants"].push_back(5); }, E, "accounts",
       "an account is not in force"},
  };
  for (const Case &Each : Table) {
    Json Text = goodText();
    Each.Change(Text);
    requireOnly(findingsOf(Text.dump()), Each.Level, Each.Where, Each.Words);
  }
}

BOOST_AUTO_TEST_CASE(malformedTextsGiveAnErrorThatNamesTheEntry) {
  struct Case {
    std::string Path;
    Json Value;
    std::string Words;
  };
  const std::string Long(LongNameBytes, 'n');
  const std::vector<Case> Table{
      {"/configVersion", "7", "'configVersion' must be"},
      {"/configVersion", 1e300, "version: 'configVersion' is too large"},
      {"/routes", 5, "'routes' must be a list"},
      {"/routes/0", 5, "route 1: 'host' must be"},
      {"/routes/0/host", 5, "route 1: 'host' must be"},
      {"/routes/0/timeoutMs", "x", "route 1 ('d'): 'timeoutMs' must be"},
      {"/routes/0/timeoutMs", 1e300, "route 1 ('d'): 'timeoutMs' is too large"},
      {"/routes/0/priority", 1e10, "route 1 ('d'): 'priority' is too large"},
      {"/routes/0/routeType", Long, "route 1 ('d'): unknown routeType"},
      {"/services", Json(), "'services' must be a list"},
      {"/services/0/maxConns", -1, "group 1 ('g'): 'maxConns' must be"},
      {"/services/0/maxConns", 1e300, "group 1 ('g'): 'maxConns' is too large"},
      {"/limits/idleTimeoutMs", "x", "limits of callers: 'idleTimeoutMs'"},
      {"/limits/txIdleMs", 1e300, "limits of callers: 'txIdleMs' is too large"},
      {"/tenants", Json::object(), "'tenants' must be a list"},
      {"/tenants/0/priority", 1e300, "account 1 ('a'): 'priority' is too"},
  };
  for (const Case &Each : Table) {
    Json Text = goodText();
    Text[Json::json_pointer(Each.Path)] = Each.Value;
    Result<DecodedConfig> Read = platform::decodeConfigurationText(Text.dump());
    BOOST_TEST_CONTEXT(Each.Path << " " << Each.Words) {
      const Error *E = errorOf(Read);
      BOOST_REQUIRE(E);
      BOOST_TEST(E->Message.find(Each.Words) != std::string::npos, E->Message);
      BOOST_TEST(E->Message.size() < 1024);
    }
  }
}

BOOST_AUTO_TEST_CASE(everyMalformedEntryIsNamedUpToALimit) {
  Json Text = goodText();
  Text["routes"].push_back(Json::object());
  Text["services"].push_back(Json::object());
  Result<DecodedConfig> Two = platform::decodeConfigurationText(Text.dump());
  BOOST_TEST(errorOf(Two)->Message.find("route 2: ") != std::string::npos);
  BOOST_TEST(errorOf(Two)->Message.find("group 2: ") != std::string::npos);
  for (int I = 0; I < 1000; ++I)
    Text["routes"].push_back(I);
  Result<DecodedConfig> Many = platform::decodeConfigurationText(Text.dump());
  BOOST_TEST(errorOf(Many)->Message.find("more") != std::string::npos);
  BOOST_TEST(errorOf(Many)->Message.size() < 4096);
}

BOOST_AUTO_TEST_CASE(textsThatAreNoConfigurationGiveAnError) {
  const std::string Deep(100000, '[');
  std::string InvalidUtf8 = goodText().dump();
  InvalidUtf8.insert(InvalidUtf8.find("0f3c7a"), "\xff");
  for (const std::string &Text :
       {std::string(), std::string("null"), std::string("[]"), std::string("5"),
        std::string("{}"), std::string("{"), Deep, InvalidUtf8,
        goodText().dump() + "}"})
    BOOST_TEST_CONTEXT(Text.substr(0, 40)) {
      Result<DecodedConfig> Read = platform::decodeConfigurationText(Text);
      const Error *E = errorOf(Read);
      BOOST_REQUIRE(E);
      BOOST_TEST(!E->Message.empty());
      BOOST_TEST(E->Message.find("secret") == std::string::npos);
    }
  BOOST_TEST(rc::check([](const std::string &Text) {
    platform::decodeConfigurationText(Text);
  }));
}

BOOST_AUTO_TEST_CASE(longNamesAreReportedShortened) {
  const std::string Long(LongNameBytes, 'n');
  Json Text = goodText();
  Text["routes"][0]["host"] = Long;
  std::vector<ConfigFinding> Findings = findingsOf(Text.dump());
  BOOST_REQUIRE(Findings.size() == 1);
  BOOST_TEST(Findings[0].Text.find("shorten it") != std::string::npos);
  BOOST_TEST(Findings[0].Where.find("(65536 bytes)") != std::string::npos);
  BOOST_TEST(Findings[0].Where.size() < 200);
  // No character is cut in its middle.
  BOOST_TEST(shownText("aa\u00e9\u00e9", 3) == "aa... (6 bytes)");
  BOOST_TEST(shownText("a\x1b[31m") == "a?[31m");
}

BOOST_AUTO_TEST_CASE(tenThousandAccountsAreCheckedInASecond) {
  constexpr int Count = 10000;
  Json Text = goodText();
  for (int I = 0; I < Count; ++I)
    Text["tenants"].push_back({{"name", "account-" + std::to_string(I)},
                               {"apiKeys", {"key-" + std::to_string(I)}},
                               {"ratePerS", 5},
                               {"burst", I == 0 ? 0 : 10}});
  std::string Dumped = Text.dump();
  auto Start = std::chrono::steady_clock::now();
  std::vector<ConfigFinding> Findings = findingsOf(Dumped);
  auto Took = std::chrono::steady_clock::now() - Start;
  requireOnly(Findings, Severity::Error, "account 'account-0'",
              "set a burst of 1 or more");
  BOOST_TEST_MESSAGE("check of 10,000 accounts: "
                     << std::chrono::duration_cast<Millis>(Took).count()
                     << " ms");
  BOOST_TEST((Took < std::chrono::seconds(1)));
}
