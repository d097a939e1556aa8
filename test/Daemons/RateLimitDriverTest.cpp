// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE RateLimitDriver
#include <boost/test/unit_test.hpp>

#include "Accounts/AccountDirectory.h"
#include "Daemons/RateLimitDriver.h"
#include "Exchange/PeerExchangeWorld.h"
#include "Fakes/MemoryStore.h"
#include "Observability/LoggedLines.h"

#include <nlohmann/json.hpp>

using namespace cicadawind;
using namespace cicadawind::test;
using namespace std::chrono_literals;
using Kind = PermitOutcome::Kind;

namespace {

AccountDirectory limited() {
  AccountDirectory Out;
  Out.add({.Name = "a",
           .Keys = {"k"},
           .Limit = RateLimit{.PerSecond = 200, .Burst = 20}});
  return Out;
}

/// A VM with a rate limit; the peer "vm-2" is in its failure domain.
struct RateLimitWorld : PeerExchangeWorld {
  RateLimitWorld()
      : Store(Loop), Driver(Loop,
                            {.Vm = "vm-1",
                             .FailureDomain = "d1",
                             .Regions = {{"d1", "r1"}},
                             .Random = [] { return std::uint64_t{7}; }},
                            Peers, Store, Meter) {
    onSweep([this](TimePoint Now) {
      Peers.sweep(Now);
      Driver.sweep(Now);
      voteForAll();
    });
  }
  ~RateLimitWorld() { onSweep(nullptr); }

  /// "vm-2" votes for each claim, if Votes is set.
  void voteForAll() {
    std::vector<PeerQuotaMessage> Messages = Peer.received<PeerQuotaMessage>();
    for (; Answered < Messages.size() && Votes; ++Answered) {
      const auto *Claim = std::get_if<IssuerClaim>(&Messages[Answered].Message);
      if (Claim)
        Peer.send(PeerQuotaMessage{
            .From = "vm-2",
            .Message = IssuerVote{.Partition = Claim->Partition,
                                  .Incarnation = Claim->Incarnation,
                                  .Number = Claim->Number,
                                  .Granted = true}});
    }
  }
  void admit(const std::string &Account) {
    TimePoint Now = BootClock::now();
    Driver.quota().admit(
        Account, Now + 200ms, Now,
        [this](const PermitOutcome &Each) { Outcomes.push_back(Each.Result); });
  }

  fakes::MemoryStore Store;
  RateLimitDriver Driver;
  bool Votes = true;
  std::size_t Answered = 0;
  std::vector<Kind> Outcomes;
};

} // namespace

BOOST_AUTO_TEST_CASE(operationsGetPermitsOnceThePeersHaveVoted) {
  RateLimitWorld World;
  BOOST_REQUIRE(World.makePeerLive());
  World.Driver.setAccounts(limited());
  BOOST_REQUIRE(World.runUntil(
      [&] { return World.Driver.quota().counts().Leases == QuotaPartitions; }));
  World.runFor(300ms);
  World.admit("a");
  BOOST_REQUIRE(World.Outcomes.size() == 1);
  BOOST_TEST((World.Outcomes[0] == Kind::Granted));
  World.runFor(1100ms);
  std::string Metrics = World.Meter.text();
  BOOST_TEST(Metrics.find("cicadawind_permits_total{outcome=\"issued\"} 1\n") !=
             std::string::npos);
  BOOST_TEST(Metrics.find("cicadawind_permit_leases 4\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(withoutVotesOperationsGetNoPermits) {
  RateLimitWorld World;
  World.Votes = false;
  BOOST_REQUIRE(World.makePeerLive());
  World.Driver.setAccounts(limited());
  World.runFor(1500ms);
  BOOST_TEST(World.Driver.quota().counts().Leases == 0);
  World.admit("a");
  BOOST_TEST(World.Outcomes.empty());
  BOOST_TEST(World.runUntil([&] { return World.Outcomes.size() == 1; }));
  BOOST_TEST((World.Outcomes[0] == Kind::Unavailable));
}

BOOST_AUTO_TEST_CASE(withoutALimitNothingIsSent) {
  RateLimitWorld World;
  BOOST_REQUIRE(World.makePeerLive());
  World.runFor(1500ms);
  BOOST_TEST(World.Peer.received<PeerQuotaMessage>().empty());
  World.admit("a");
  BOOST_TEST(World.Outcomes.size() == 1);
}

BOOST_AUTO_TEST_CASE(leasesAndRefusalsAreLogged) {
  RateLimitWorld World;
  LoggedLines Lines;
  BOOST_REQUIRE(World.makePeerLive());
  World.Driver.setAccounts(limited());
  BOOST_REQUIRE(World.runUntil(
      [&] { return World.Driver.quota().counts().Leases == QuotaPartitions; }));
  for (int I = 0; I < 500; ++I)
    World.admit("a");
  BOOST_TEST(World.runUntil([&] { return World.Outcomes.size() == 500; }));
  World.runFor(1100ms);
  World.Driver.leave();
  BOOST_TEST(World.Driver.quota().counts().Leases == 0);
  BOOST_TEST(
      Lines.firstWith("message", "issues permits of a partition").is_object());
  BOOST_TEST(Lines.firstWith("message", "issues no more permits of a partition")
                 .is_object());
  nlohmann::json Over =
      Lines.firstWith("message", "account over its rate limit");
  BOOST_REQUIRE(Over.is_object());
  BOOST_TEST(Over["account"] == "a");
  BOOST_TEST(Over["refused"] != "0");
}

// A VM that starts while it is cut off does not know its voters.
BOOST_AUTO_TEST_CASE(aVmThatReachesNoSeedIssuesNothing) {
  RateLimitWorld World;
  World.Peers.setSeeds({"127.0.0.9"});
  World.Driver.setAccounts(limited());
  World.runFor(2s);
  BOOST_TEST(World.Driver.quota().counts().Leases == 0);
}

BOOST_AUTO_TEST_CASE(aVmWithoutPeersIssuesAlone) {
  RateLimitWorld World;
  World.Driver.setAccounts(limited());
  BOOST_TEST(World.runUntil(
      [&] { return World.Driver.quota().counts().Leases == QuotaPartitions; }));
}
