#define BOOST_TEST_MODULE ConfigDifference
#include <boost/test/unit_test.hpp>

#include "Config/Config.h"

#include <chrono>
#include <functional>
#include <optional>

using namespace cicadawind;
using Kind = ConfigDifference::Kind;

namespace {

constexpr std::uint64_t VersionInForce = 7;

ClientAccount account(std::vector<std::string> Keys,
                      std::optional<RateLimit> Limit) {
  return {.Name = "a", .Keys = std::move(Keys), .Priority = 1, .Limit = Limit};
}

ProxyConfig inForce() {
  ProxyConfig Out;
  Out.Version = VersionInForce;
  Out.Groups["g"].MaxConnections = 4;
  Out.Routes["d"] = RouteConfig{.Database = "d", .Group = "g"};
  Out.Accounts.add(
      account({"k1", "k2"}, RateLimit{.PerSecond = 5, .Burst = 10}));
  return Out;
}

/// Replaces the accounts by \p Account.
void setAccount(ProxyConfig &Config, ClientAccount Account) {
  Config.Accounts = AccountDirectory();
  Config.Accounts.add(std::move(Account));
}

std::string textOf(const std::vector<ConfigDifference> &Differences) {
  std::string Out;
  for (const ConfigDifference &Each : Differences)
    Out += std::string(toString(Each.What)) + "|" + Each.Name + "|" +
           Each.Field + "|" + Each.Old + "|" + Each.New + "\n";
  return Out;
}

struct Case {
  std::function<void(ProxyConfig &)> Change;
  std::string Expected;
};

const std::vector<Case> Table{
    {[](auto &) {}, ""},
    {[](auto &C) { C.Routes["e"] = {.Database = "e"}; }, "route_added|e|||\n"},
    {[](auto &C) { C.Routes.erase("d"); }, "route_removed|d|||\n"},
    {[](auto &C) { C.Routes["d"].Group = "h"; }, "route_changed|d|group|g|h\n"},
    {[](auto &C) { C.Routes["d"].Reads = Consistency::BoundedStaleness; },
     "route_changed|d|reads|latest|bounded staleness\n"},
    {[](auto &C) { C.Routes["d"].MaxStaleness = Millis(9); },
     "route_changed|d|max_staleness|0 ms|9 ms\n"},
    {[](auto &C) { C.Routes["d"].StatementTimeout = Millis(900); },
     "route_changed|d|statement_timeout|1000 ms|900 ms\n"},
    {[](auto &C) { C.Routes["d"].LatencyObjective = Millis(400); },
     "route_changed|d|latency_objective|500 ms|400 ms\n"},
    {[](auto &C) { C.Routes["d"].Priority = 3; },
     "route_changed|d|priority|0|3\n"},
    {[](auto &C) { C.Routes["d"].Public = true; },
     "route_changed|d|public|no|yes\n"},
    {[](auto &C) { C.Groups["h"]; }, "group_added|h|||\n"},
    {[](auto &C) { C.Groups.erase("g"); }, "group_removed|g|||\n"},
    {[](auto &C) { C.Groups["g"].MaxConnections = 5; },
     "group_limit_changed|g|max_connections|4|5\n"},
    {[](auto &C) { C.Groups["g"].SynchronousReplicas = 1; },
     "group_limit_changed|g|synchronous_replicas|0|1\n"},
    {[](auto &C) { C.Callers.MaxMessageBytes = 1024; },
     "caller_limit_changed||max_message|262144 bytes|1024 bytes\n"},
    {[](auto &C) { C.Callers.IncompleteMessage = Millis(1); },
     "caller_limit_changed||incomplete_message|3000 ms|1 ms\n"},
    {[](auto &C) { C.Callers.IdleSession = Millis(1); },
     "caller_limit_changed||idle_session|15000 ms|1 ms\n"},
    {[](auto &C) { C.Callers.IdleTransaction = Millis(1); },
     "caller_limit_changed||idle_transaction|3000 ms|1 ms\n"},
    {[](auto &C) { C.Accounts = {}; },
     "accounts_disabled||||\naccount_removed|a|||\n"},
    {[](auto &C) { C.Accounts = {}, C.Accounts.enable(); },
     "account_removed|a|||\n"},
    {[](auto &C) { C.Accounts.add({.Name = "b"}); }, "account_added|b|||\n"},
    {[](auto &C) {
       ClientAccount Account = account({"k1", "k2"}, RateLimit{5, 10});
       Account.Priority = 2;
       setAccount(C, Account);
     },
     "account_priority_changed|a|priority|1|2\n"},
    {[](auto &C) {
       setAccount(C, account({"k2", "k1"}, RateLimit{5, 10}));
     },
     ""},
    {[](auto &C) {
       setAccount(C, account({"k2", "k3", "k4"}, RateLimit{5, 10}));
     },
     "keys_added|a|||2\nkeys_removed|a||1|\n"},
    {[](auto &C) {
       setAccount(C, account({"k1", "k2"}, std::nullopt));
     },
     "rate_limit_removed|a||5 a second, burst 10|\n"},
    {[](auto &C) {
       setAccount(C, account({"k1", "k2"}, RateLimit{5.5, 10}));
     },
     "rate_limit_raised|a|per_second|5|5.5\n"},
    {[](auto &C) {
       setAccount(C, account({"k1", "k2"}, RateLimit{4, 11}));
     },
     "rate_limit_lowered|a|per_second|5|4\n"
     "rate_limit_raised|a|burst|10|11\n"},
};

} // namespace

BOOST_AUTO_TEST_CASE(eachDifferenceIsListedAlone) {
  for (const Case &Each : Table) {
    ProxyConfig Next = inForce();
    Next.Version = VersionInForce + 1;
    Each.Change(Next);
    BOOST_TEST(textOf(compareConfigs(inForce(), Next)) == Each.Expected);
  }
}

// What is added in one direction is removed in the other one.
BOOST_AUTO_TEST_CASE(bothDirectionsListAsManyDifferences) {
  for (const Case &Each : Table) {
    ProxyConfig Next = inForce();
    Each.Change(Next);
    ProxyConfig Before = inForce();
    Before.Version = VersionInForce - 1;
    ProxyConfig After = Next;
    After.Version = VersionInForce + 1;
    BOOST_TEST(compareConfigs(Before, After).size() ==
               compareConfigs(Next,
                              [] {
                                ProxyConfig Out = inForce();
                                Out.Version = VersionInForce + 1;
                                return Out;
                              }())
                   .size());
  }
}

BOOST_AUTO_TEST_CASE(digestsGiveTheSameDifferencesAndHoldNoKey) {
  for (const Case &Each : Table) {
    ProxyConfig Next = inForce();
    Next.Version = VersionInForce + 1;
    Each.Change(Next);
    BOOST_TEST(textOf(compareConfigs(withKeyDigests(inForce(), "s"),
                                     withKeyDigests(Next, "s"))) ==
               Each.Expected);
  }
  ProxyConfig Shown = withKeyDigests(inForce(), "s");
  BOOST_TEST(!Shown.Accounts.findByKey("k1"));
  BOOST_TEST(Shown.Accounts.find("a")->Keys.size() == 2);
  BOOST_TEST(keyDigest("k1", "s") == keyDigest("k1", "s"));
  BOOST_TEST(keyDigest("k1", "s") != keyDigest("k1", "t"));
  BOOST_TEST(keyDigest("k1", "s") != keyDigest("k2", "s"));
}

BOOST_AUTO_TEST_CASE(aVersionThatIsNotHigherIsReported) {
  struct VersionCase {
    std::uint64_t Version;
    bool Differs;
    bool IsReported;
  };
  for (const VersionCase &Each : {VersionCase{VersionInForce + 1, true, false},
                                  VersionCase{VersionInForce, true, true},
                                  VersionCase{VersionInForce, false, false},
                                  VersionCase{VersionInForce - 1, false, true},
                                  VersionCase{VersionInForce - 1, true, true}})
    BOOST_TEST_CONTEXT(Each.Version << " " << Each.Differs) {
      ProxyConfig Next = inForce();
      Next.Version = Each.Version;
      Next.Routes["d"].Public = Each.Differs;
      std::vector<ConfigDifference> Found = compareConfigs(inForce(), Next);
      bool IsFirst =
          !Found.empty() && Found.front().What == Kind::VersionNotHigher;
      BOOST_TEST(IsFirst == Each.IsReported);
      BOOST_TEST(checkVersion(Found).has_value() == Each.IsReported);
    }
}

BOOST_AUTO_TEST_CASE(tenThousandAccountsAreComparedInASecond) {
  constexpr int Count = 10000;
  ProxyConfig Old = inForce();
  ProxyConfig Next = inForce();
  Next.Version = VersionInForce + 1;
  for (int I = 0; I < Count; ++I) {
    std::string Name = "account-" + std::to_string(I);
    Old.Accounts.add({.Name = Name, .Keys = {Name + "-old", Name}});
    Next.Accounts.add({.Name = Name, .Keys = {Name, Name + "-new"}});
  }
  auto Start = std::chrono::steady_clock::now();
  std::vector<ConfigDifference> Found =
      compareConfigs(withKeyDigests(Old, "salt"), withKeyDigests(Next, "salt"));
  auto Took = std::chrono::steady_clock::now() - Start;
  BOOST_TEST(Found.size() == std::size_t{2} * Count);
  BOOST_TEST_MESSAGE("comparison of 10,000 accounts: "
                     << std::chrono::duration_cast<Millis>(Took).count()
                     << " ms");
  BOOST_TEST((Took < std::chrono::seconds(1)));
}
