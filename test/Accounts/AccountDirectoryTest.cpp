#define BOOST_TEST_MODULE AccountDirectory
#include <boost/test/unit_test.hpp>

#include "Accounts/Accounts.h"
#include "EntryDecoders.h"
#include "Proxy/ProxyState.h"

#include <chrono>

using namespace cicadawind;

namespace {

/// Returns the accounts of a configuration whose list of accounts is \p List.
AccountDirectory decoded(const std::string &List) {
  Result<ProxyConfig> Config = platform::decodeConfiguration(
      R"({"configVersion":7,"routes":[],"services":[],"tenants":)" + List +
      "}");
  BOOST_REQUIRE(!errorOf(Config));
  return valueOf(Config).Accounts;
}

} // namespace

BOOST_AUTO_TEST_CASE(keysIdentifyAccounts) {
  AccountDirectory Accounts =
      decoded(R"([{"name":"a","apiKeys":["k1","k2"],"ratePerS":5,"burst":7},)"
              R"({"name":"b","apiKeys":["k3"],"priority":1}])");
  BOOST_TEST(Accounts.isEnabled());
  BOOST_TEST(Accounts.findByKey("k2")->Name == "a");
  BOOST_TEST(Accounts.findByKey("k3")->Priority == 1);
  BOOST_TEST(!Accounts.findByKey("k4"));
  BOOST_TEST(!Accounts.findByKey(""));
  BOOST_TEST(Accounts.find("a")->Limit->Burst == 7);
  BOOST_TEST(!Accounts.find("b")->Limit);
  BOOST_TEST(Accounts.problems().empty());
}

BOOST_AUTO_TEST_CASE(configurationsWithoutAccountsNeedNoKey) {
  Result<ProxyConfig> Config = platform::decodeConfiguration(
      R"({"configVersion":7,"routes":[],"services":[]})");
  BOOST_TEST(!valueOf(Config).Accounts.isEnabled());
  // The last account may be removed; that opens nothing to everybody.
  BOOST_TEST(decoded("[]").isEnabled());
}

// Each entry is malformed in one part; the account "ok" stays in force.
BOOST_AUTO_TEST_CASE(malformedPartsAreLeftOutAlone) {
  const std::vector<std::string> Table{
      R"({"name":"a","apiKeys":[]})",
      R"({"name":"a"})",
      R"({"apiKeys":["k1"]})",
      R"({"name":"","apiKeys":["k1"]})",
      R"({"name":"a b","apiKeys":["k1"]})",
      R"({"name":"a\r\n","apiKeys":["k1"]})",
      R"({"name":")" + std::string(std::size_t{64} * 1024, 'a') +
          R"(","apiKeys":["k1"]})",
      R"({"name":"a","apiKeys":["k1"],"ratePerS":-1})",
      R"({"name":"a","apiKeys":["k1"],"ratePerS":5,"burst":-1})",
      R"({"name":"a","apiKeys":["k1"],"ratePerS":"5"})",
      R"({"name":"a","apiKeys":[5]})",
      R"({"name":"ok","apiKeys":["k1"]})",
      R"({"name":"a","apiKeys":["kOk"]})",
      "5",
      "null"};
  for (const std::string &Entry : Table) {
    AccountDirectory Accounts =
        decoded(R"([{"name":"ok","apiKeys":["kOk"]},)" + Entry + "]");
    BOOST_TEST_CONTEXT(Entry.substr(0, 80)) {
      BOOST_TEST(Accounts.findByKey("kOk")->Name == "ok");
      BOOST_TEST(!Accounts.problems().empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(problemsContainNoKey) {
  AccountDirectory Accounts = decoded(R"([{"name":"a","apiKeys":["secret"]},)"
                                      R"({"name":"b","apiKeys":["secret"]}])");
  BOOST_TEST(Accounts.findByKey("secret")->Name == "a");
  for (const std::string &Problem : Accounts.problems())
    BOOST_TEST(Problem.find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(rateOfZeroIsALimit) {
  AccountDirectory Accounts =
      decoded(R"([{"name":"a","apiKeys":["k"],"ratePerS":0,"burst":0}])");
  BOOST_TEST(Accounts.find("a")->Limit->PerSecond == 0);
}

BOOST_AUTO_TEST_CASE(peersGetTheAccounts) {
  ProxyState State;
  State.Config.Version = 3;
  State.Config.Routes["db"] = {.Database = "db", .Public = true};
  State.Config.Accounts =
      decoded(R"([{"name":"a","apiKeys":["k1","k2"],"ratePerS":0.5,"burst":7},)"
              R"({"name":"b","apiKeys":["k3"],"priority":1}])");
  Result<ProxyState> Read = decodeState(encodeState(State));
  BOOST_REQUIRE(!errorOf(Read));
  const ProxyConfig &Config = valueOf(Read).Config;
  BOOST_TEST(Config.Routes.at("db").Public);
  BOOST_CHECK(Config.Accounts.accounts() == State.Config.Accounts.accounts());
  BOOST_TEST(Config.Accounts.findByKey("k3")->Name == "b");
}

// The look-up is made for each operation.
BOOST_AUTO_TEST_CASE(lookUpAmongManyAccountsTakesLessThanAMicrosecond) {
  constexpr int Count = 10000;
  constexpr int Repeats = 20;
  AccountDirectory Accounts;
  std::vector<std::string> Keys;
  for (int I = 0; I < Count; ++I) {
    Keys.push_back("key-of-an-account-" + std::to_string(I));
    Accounts.add({.Name = "account-" + std::to_string(I), .Keys = {Keys[I]}});
  }
  auto Start = std::chrono::steady_clock::now();
  std::size_t Found = 0;
  for (int R = 0; R < Repeats; ++R)
    for (const std::string &Key : Keys)
      Found += Accounts.findByKey(Key) != nullptr;
  auto Each = (std::chrono::steady_clock::now() - Start) / (Count * Repeats);
  BOOST_TEST(Found == std::size_t{Count} * Repeats);
  BOOST_TEST_MESSAGE("look-up: " << std::chrono::nanoseconds(Each).count()
                                 << " ns");
  BOOST_TEST((Each < std::chrono::microseconds(1)));
}
