#define BOOST_TEST_MODULE EntryDecoders
#include <boost/test/unit_test.hpp>

#include "EntryDecoders.h"
#include "Links/TargetChanges.h"
#include "Observability/Log.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace cicadawind;

namespace {

const char *const Instance =
    R"({"service":"g1","address":"10.128.0.9:8080","zone":"oaxaca",)"
    R"("configVersion":"v1","slots":2,"state":"ready","coldRemainingMs":0,)"
    R"("dbRole":"replica","seqNo":4,"born":1780575724000})";

const char *const Config =
    R"({"configVersion":7,"routes":[{"name":"r1","host":"db1",)"
    R"("pathPrefix":"/","routeType":"read_your_writes","timeoutMs":800,)"
    R"("targetLatencyMs":500,"priority":2,"service":"g1","attempts":2,)"
    R"("maxStalenessMs":2500}],"services":[{"name":"g1","maxConns":16,)"
    R"("syncReplicas":0}],"limits":{"maxBodyBytes":1000,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":2000}})";

/// Returns the JSON \p Text with the value at the JSON pointer \p Path replaced
/// by \p Value.
nlohmann::json with(const char *Text, const std::string &Path,
                    const nlohmann::json &Value) {
  nlohmann::json Json = nlohmann::json::parse(Text);
  Json[nlohmann::json::json_pointer(Path)] = Value;
  return Json;
}

} // namespace

BOOST_AUTO_TEST_CASE(instanceEntriesAreDecoded) {
  Result<TargetEntry> Read = platform::decodeInstance("i-1", Instance);
  BOOST_REQUIRE(!errorOf(Read));
  const TargetEntry &Entry = valueOf(Read);
  BOOST_TEST(Entry.Instance == "i-1");
  BOOST_TEST(Entry.Group == "g1");
  BOOST_TEST(Entry.Address == "10.128.0.9:8080");
  BOOST_TEST(Entry.FailureDomain == "oaxaca");
  BOOST_TEST(Entry.Slots == 2);
  BOOST_TEST(!Entry.Leaving);
  BOOST_TEST(!Entry.ClaimsPrimary);
  BOOST_TEST(Entry.Incarnation == 1780575724000);
}

// The page says that such an entry names no instance to use.
BOOST_AUTO_TEST_CASE(anEntryWithAMemberNameThatCannotBeReadIsRefused) {
  std::string Text = with(Instance, "/\xEF\xBF\xBD", nullptr).dump();
  BOOST_TEST(errorOf(platform::decodeInstance("i-1", Text)));
}

// The time counts down, so a change of it alone must not cause messages between
// VMs.
BOOST_AUTO_TEST_CASE(theHintOfAWarmUpIsReadAndNotCompared) {
  auto Decoded = [](const nlohmann::json &Left) {
    std::string Text = with(Instance, "/coldRemainingMs", Left).dump();
    Result<TargetEntry> Read = platform::decodeInstance("i-1", Text);
    BOOST_REQUIRE(!errorOf(Read));
    return valueOf(Read);
  };
  TargetEntry Slow = Decoded(4000);
  BOOST_REQUIRE(Slow.WarmUpHint);
  BOOST_TEST(Slow.WarmUpHint->count() == 4000);
  BOOST_TEST(Decoded(1e300).WarmUpHint->count() == 3600000);
  for (const nlohmann::json &None : {nlohmann::json(0), nlohmann::json(-5),
                                     nlohmann::json("soon"), nlohmann::json()})
    BOOST_TEST(!Decoded(None).WarmUpHint);
  BOOST_TEST((Slow == Decoded(100)));
  BOOST_TEST(hashOf(std::vector{Slow}) == hashOf(std::vector{Decoded(100)}));
}

// Other programs may write objects of the same kind; none of them may be taken
// for an instance.
BOOST_AUTO_TEST_CASE(malformedInstanceEntriesAreRejected) {
  struct Case {
    std::string Path;
    nlohmann::json Value;
  };
  const std::vector<Case> Table{
      {"/service", 5},       {"/service", nullptr}, {"/address", true},
      {"/zone", 1},          {"/slots", "two"},     {"/slots", -1},
      {"/state", "resting"}, {"/state", 0},         {"/dbRole", "leader"},
      {"/dbRole", nullptr},  {"/born", "today"},
  };
  for (const Case &Each : Table)
    BOOST_TEST_CONTEXT(Each.Path << " = " << Each.Value) {
      std::string Text = with(Instance, Each.Path, Each.Value).dump();
      BOOST_TEST(errorOf(platform::decodeInstance("i-1", Text)));
    }
  for (const char *Text : {"", "null", "[]", "\"x\"", "{", "{}"})
    BOOST_TEST_CONTEXT(Text) {
      BOOST_TEST(errorOf(platform::decodeInstance("i-1", Text)));
    }
}

// Such a name would end the message that names it, to targets and relays.
BOOST_AUTO_TEST_CASE(namesWithControlCharactersAreRejected) {
  for (const char *Path : {"/service", "/address", "/zone"})
    BOOST_TEST_CONTEXT(Path) {
      std::string Text = with(Instance, Path, "g1\r\nQUERY - RESET").dump();
      BOOST_TEST(errorOf(platform::decodeInstance("i-1", Text)));
    }
  BOOST_TEST(errorOf(platform::decodeInstance("i-1\r\nQUERY", Instance)));
  BOOST_TEST(errorOf(platform::decodeInstance("i\x7f", Instance)));
}

BOOST_AUTO_TEST_CASE(malformedEntriesDoNotAffectOtherEntries) {
  Log::start("test", LogLevel::Error);
  ObjectsByName Objects;
  Objects["i-1"] = {.Value = Instance, .Version = 1};
  Objects["i-2"] = {.Value = "{}", .Version = 2};
  BOOST_TEST(platform::decodeInstances(Objects).size() == 1);
}

BOOST_AUTO_TEST_CASE(configurationsAreDecoded) {
  Result<ProxyConfig> Read = platform::decodeConfiguration(Config);
  BOOST_REQUIRE(!errorOf(Read));
  const ProxyConfig &Decoded = valueOf(Read);
  BOOST_TEST(Decoded.Version == 7);
  const RouteConfig *Route = Decoded.findRoute("db1");
  BOOST_REQUIRE(Route);
  BOOST_TEST(Route->Group == "g1");
  BOOST_TEST((Route->Reads == Consistency::ReadYourWrites));
  BOOST_TEST(Route->MaxStaleness.count() == 2500);
  BOOST_TEST(Route->StatementTimeout.count() == 800);
  BOOST_TEST(Route->LatencyObjective.count() == 500);
  BOOST_TEST(Route->Priority == 2);
  BOOST_TEST(Decoded.Groups.at("g1").MaxConnections == 16);
  BOOST_TEST(Decoded.Groups.at("g1").SynchronousReplicas == 0);
  BOOST_TEST(Decoded.Callers.IdleTransaction.count() == 2000);
  BOOST_TEST(Decoded.Callers.MaxMessageBytes == 1000);
}

// Guards against a promotion that takes every acknowledged commit for optional.
BOOST_AUTO_TEST_CASE(replicasThatACommitWaitsForAreDecoded) {
  auto Decoded = [](const nlohmann::json &Json) {
    return platform::decodeConfiguration(Json.dump());
  };
  nlohmann::json Json = with(Config, "/services/0/syncReplicas", 1);
  BOOST_REQUIRE(!errorOf(Decoded(Json)));
  BOOST_TEST(valueOf(Decoded(Json)).Groups.at("g1").SynchronousReplicas == 1);
  Json["services"][0].erase("syncReplicas");
  BOOST_REQUIRE(!errorOf(Decoded(Json)));
  BOOST_TEST(valueOf(Decoded(Json)).Groups.at("g1").SynchronousReplicas == 0);
  Json["services"][0]["syncReplicas"] = "one";
  BOOST_TEST(errorOf(Decoded(Json)));
}

BOOST_AUTO_TEST_CASE(malformedConfigurationsAreRejected) {
  struct Case {
    std::string Path;
    nlohmann::json Value;
  };
  const std::vector<Case> Table{
      {"/configVersion", "seven"},
      {"/routes", 3},
      {"/routes/0/host", 1},
      {"/routes/0/routeType", "newest"},
      {"/routes/0/maxStalenessMs", ""},
      {"/routes/0/timeoutMs", nullptr},
      {"/services", nullptr},
      {"/services/0/maxConns", "many"},
  };
  for (const Case &Each : Table)
    BOOST_TEST_CONTEXT(Each.Path << " = " << Each.Value) {
      std::string Text = with(Config, Each.Path, Each.Value).dump();
      BOOST_TEST(errorOf(platform::decodeConfiguration(Text)));
    }
}

// Errors are logged, and the text that ends too early may end in a key.
BOOST_AUTO_TEST_CASE(errorsOfTruncatedConfigurationsContainNoKey) {
  const std::string Text = R"({"configVersion":7,"routes":[],"services":[],)"
                           R"("tenants":[{"name":"a","apiKeys":["secret"]}]})";
  for (std::size_t Size = 0; Size < Text.size(); ++Size) {
    Result<ProxyConfig> Read =
        platform::decodeConfiguration(Text.substr(0, Size));
    const Error *E = errorOf(Read);
    BOOST_REQUIRE(E);
    BOOST_TEST(E->Message.find("secr") == std::string::npos);
    BOOST_TEST(E->Message.find("line 1") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(decodersHandleArbitraryText) {
  BOOST_TEST(rc::check([](const std::string &Text) {
    platform::decodeInstance("i", Text);
    platform::decodeConfiguration(Text);
  }));
}
