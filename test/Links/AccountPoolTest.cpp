#define BOOST_TEST_MODULE AccountPool
#include <boost/test/unit_test.hpp>

#include "Links/AccountPool.h"

#include <algorithm>
#include <cmath>
#include <list>
#include <random>
#include <vector>

using namespace cicadawind;
using std::chrono::milliseconds;

namespace {

constexpr Duration NoWait = Duration::zero();

/// A target's connections at one VM, each used by one statement at a time and
/// opened in no time: counts how often a statement finds none of its account.
struct Pool {
  std::size_t Limit;
  /// Accounts of the connections, the one used last at the end.
  std::list<int> Connections = {};
  int Openings = 0;

  void use(int Account) {
    auto It = std::find(Connections.begin(), Connections.end(), Account);
    if (It != Connections.end()) {
      Connections.erase(It);
    } else {
      AccountPool::State Now{.Total = Connections.size(),
                             .Free = Connections.size(),
                             .Limit = Limit};
      if (AccountPool().nextStep(Now, NoWait) == PoolStep::Replace)
        Connections.pop_front();
      ++Openings;
    }
    Connections.push_back(Account);
  }
};

/// Which of a target's relays carries a statement.
enum class Placement { AnyRelay, OneRelayPerAccount };

/// Returns the openings per statement where \p Accounts accounts, with demand
/// by a power law of 1.2, use \p Relays relays with \p Limit connections each.
double openingsPerStatement(Placement Way, int Accounts, std::size_t Relays,
                            std::size_t Limit) {
  constexpr int Statements = 20000;
  constexpr double Exponent = 1.2;
  std::vector<double> Weights;
  for (int I = 1; I <= Accounts; ++I)
    Weights.push_back(std::pow(I, -Exponent));
  std::mt19937_64 Random(7);
  std::discrete_distribution<int> NextAccount(Weights.begin(), Weights.end());
  std::vector<Pool> Pools(Relays, Pool{.Limit = Limit});
  for (int I = 0; I < Statements; ++I) {
    int Account = NextAccount(Random);
    std::size_t Relay = Way == Placement::AnyRelay
                            ? Random() % Relays
                            : static_cast<std::size_t>(Account) % Relays;
    Pools[Relay].use(Account);
  }
  int Openings = 0;
  for (const Pool &Each : Pools)
    Openings += Each.Openings;
  return static_cast<double>(Openings) / Statements;
}

} // namespace

BOOST_AUTO_TEST_CASE(stepsFollowTheConnectionsOfTheAccount) {
  struct Case {
    const char *What;
    AccountPool::State Now;
    Duration Waited;
    PoolStep Expected;
  };
  const std::vector<Case> Table{
      {"no connections", {.Limit = 4}, NoWait, PoolStep::Open},
      {"one of another account, room for more",
       {.Total = 1, .Free = 1, .Limit = 4},
       NoWait,
       PoolStep::Open},
      {"all of other accounts, one is free",
       {.Total = 4, .Free = 1, .Limit = 4},
       NoWait,
       PoolStep::Replace},
      {"all of other accounts and in use",
       {.Total = 4, .Limit = 4},
       NoWait,
       PoolStep::Wait},
      {"its own is in use for a moment",
       {.Total = 1, .Limit = 4, .OfAccount = 1},
       milliseconds(5),
       PoolStep::Wait},
      {"its own is in use for longer",
       {.Total = 1, .Limit = 4, .OfAccount = 1},
       milliseconds(20),
       PoolStep::Open},
      {"one is being opened for it",
       {.Total = 1,
        .Opening = 1,
        .Limit = 4,
        .OfAccount = 1,
        .OpeningOfAccount = 1},
       milliseconds(20),
       PoolStep::Wait},
      {"as many as permitted are being opened for others",
       {.Total = 2, .Opening = 2, .Limit = 4},
       NoWait,
       PoolStep::Wait},
      {"the limit was lowered below the total",
       {.Total = 4, .Free = 2, .Limit = 2},
       NoWait,
       PoolStep::Replace},
      {"no connection is permitted", {}, NoWait, PoolStep::Wait}};
  for (const Case &Each : Table)
    BOOST_TEST((AccountPool().nextStep(Each.Now, Each.Waited) == Each.Expected),
               Each.What);
}

// 84 accounts at one target with 70 connections, a fifth of them left free.
BOOST_AUTO_TEST_CASE(accountsThatMeetAtOneRelayOpenFewConnections) {
  double Any = openingsPerStatement(Placement::AnyRelay, 84, 3, 18);
  double One = openingsPerStatement(Placement::OneRelayPerAccount, 84, 3, 18);
  BOOST_TEST_MESSAGE("openings per statement: any relay "
                     << Any << ", one relay per account " << One);
  BOOST_TEST(One < 0.1);
  BOOST_TEST(One < Any / 2);
}

// 940 VMs, 1,100 groups: more accounts than any target has connections.
BOOST_AUTO_TEST_CASE(thousandsOfAccountsStillMeetAtOneRelay) {
  double Any = openingsPerStatement(Placement::AnyRelay, 10000, 3, 18);
  double One =
      openingsPerStatement(Placement::OneRelayPerAccount, 10000, 3, 18);
  BOOST_TEST_MESSAGE("openings per statement of 10,000 accounts: any relay "
                     << Any << ", one relay per account " << One);
  BOOST_TEST(One < Any);
}
