#define BOOST_TEST_MODULE PermitClient
#include <boost/test/unit_test.hpp>

#include "Quotas/PermitClient.h"

using namespace cicadawind;
using namespace std::chrono_literals;
using Kind = PermitOutcome::Kind;

namespace {

TimePoint at(Duration Time) { return TimePoint(1000s) + Time; }

/// A client on VM "v1" of domain "d1", which is in a region with "d2"; "d3" is
/// in another one. Account "a" is issued by all three, "home" only by "d2".
struct ClientWorld {
  struct Sent {
    std::string To;
    PermitRequest Message;
  };

  ClientWorld() : Client(options()) {
    Client.setVms({{"d1", {"v2", "v3"}}, {"d2", {"w1", "w2"}}, {"d3", {"x1"}}});
    Client.setAccounts({{"a", {"d1", "d2", "d3"}}, {"home", {"d2"}}}, at(0s));
  }

  PermitClient::Options options() {
    PermitClient::Options Out;
    Out.OwnVm = "v1";
    Out.FailureDomain = "d1";
    Out.Regions = {{"d1", "r1"}, {"d2", "r1"}, {"d3", "r2"}};
    Out.Random = [] { return std::uint64_t{0}; };
    Out.Send = [this](const std::string &Vm, const PermitRequest &Request) {
      Requests.push_back({.To = Vm, .Message = Request});
    };
    Out.TakeLocally = [this](unsigned, const PermitRequest::Item &Asked,
                             TimePoint) -> std::optional<PermitReply::Item> {
      if (!OwnPermits)
        return std::nullopt;
      unsigned Taken = std::min(*OwnPermits, Asked.Count);
      *OwnPermits -= Taken;
      return PermitReply::Item{.Granted = Taken, .RetryAfter = Millis(100)};
    };
    Out.FindOwnIssuer = [](unsigned, TimePoint) { return std::string(); };
    return Out;
  }

  /// Asks for a permit that is waited for 300 ms; returns its ticket.
  std::uint64_t admit(Duration Time, const std::string &Account = "a") {
    return Client.admit(
        Account, at(Time + 300ms), at(Time),
        [this](const PermitOutcome &Outcome) { Outcomes.push_back(Outcome); });
  }
  /// The VM that the request \p Index went to grants \p Granted permits.
  void reply(std::size_t Index, unsigned Granted, Duration Time,
             Millis RetryAfter = Millis(50)) {
    PermitReply Reply{.Number = Requests.at(Index).Message.Number,
                      .IsIssuer = true};
    Reply.Items.push_back({.Granted = Granted, .RetryAfter = RetryAfter});
    Client.receive(Requests[Index].To, Reply, at(Time));
  }
  void replyNotIssuer(std::size_t Index, const std::string &Issuer,
                      Duration Time) {
    Client.receive(Requests.at(Index).To,
                   {.Number = Requests[Index].Message.Number, .Issuer = Issuer},
                   at(Time));
  }
  std::string domainOfLast() const {
    char First = Requests.back().To.front();
    return First == 'v' ? "d1" : First == 'w' ? "d2" : "d3";
  }
  /// Lets all three domains deny permits of "a", from \p Time on.
  void denyAll(Duration Time) {
    admit(Time);
    for (int I = 0; I < 3; ++I)
      reply(Requests.size() - 1, 0, Time, Millis(400));
  }

  std::vector<Sent> Requests;
  std::vector<PermitOutcome> Outcomes;
  /// Permits of this VM's own bucket, if it is the issuer.
  std::optional<unsigned> OwnPermits;
  PermitClient Client;
};

} // namespace

BOOST_AUTO_TEST_CASE(accountsWithoutALimitNeedNoPermit) {
  ClientWorld World;
  World.admit(0s, "other");
  BOOST_REQUIRE(World.Outcomes.size() == 1);
  BOOST_TEST((World.Outcomes[0].Result == Kind::Granted));
  BOOST_TEST(World.Requests.empty());
}

BOOST_AUTO_TEST_CASE(operationsThatWaitShareOneRequest) {
  ClientWorld World;
  World.admit(0s);
  World.admit(1ms);
  World.admit(1ms);
  BOOST_REQUIRE(World.Requests.size() == 1);
  BOOST_TEST(World.domainOfLast() == "d1");
  World.reply(0, 1, 2ms);
  BOOST_TEST(World.Outcomes.size() == 1);
  BOOST_REQUIRE(World.Requests.size() == 2);
  BOOST_TEST(World.Requests[1].To == World.Requests[0].To);
  BOOST_TEST(World.Requests[1].Message.Items.at(0).Count == 2);
  World.reply(1, 2, 3ms);
  BOOST_TEST(World.Outcomes.size() == 3);
}

BOOST_AUTO_TEST_CASE(theOtherDomainsAreAskedNearestFirst) {
  ClientWorld World;
  World.admit(0s);
  World.reply(0, 0, 1ms);
  BOOST_TEST(World.domainOfLast() == "d2");
  World.reply(1, 0, 2ms);
  BOOST_TEST(World.domainOfLast() == "d3");
  World.reply(2, 1, 3ms);
  BOOST_TEST(World.Outcomes.size() == 1);
}

BOOST_AUTO_TEST_CASE(operationsAreRefusedAtOnceWhileAllDomainsDeny) {
  ClientWorld World;
  World.denyAll(0s);
  BOOST_TEST(World.Requests.size() == 3);
  BOOST_REQUIRE(World.Outcomes.size() == 1);
  BOOST_TEST((World.Outcomes[0].Result == Kind::OverLimit));
  World.admit(50ms);
  BOOST_REQUIRE(World.Outcomes.size() == 2);
  BOOST_TEST((World.Outcomes[1].Result == Kind::OverLimit));
  BOOST_TEST((World.Outcomes[1].RetryAfter == 350ms));
  BOOST_TEST(World.Requests.size() == 3);
  World.admit(401ms);
  BOOST_TEST(World.Requests.size() == 4);
}

BOOST_AUTO_TEST_CASE(aFewOperationsWaitForThePermitThatComesInTime) {
  ClientWorld World;
  World.denyAll(0s);
  for (int I = 0; I < 4; ++I)
    World.admit(200ms);
  BOOST_TEST(World.Outcomes.size() == 3); // Two wait.
  World.Client.sweep(at(375ms));
  BOOST_TEST(World.Requests.size() == 3);
  World.Client.sweep(at(400ms));
  BOOST_REQUIRE(World.Requests.size() == 4);
  BOOST_TEST(World.Requests[3].Message.Items.at(0).Count == 2);
  World.reply(3, 2, 401ms);
  BOOST_TEST((World.Outcomes.back().Result == Kind::Granted));
  BOOST_TEST(World.Outcomes.size() == 5);
}

BOOST_AUTO_TEST_CASE(theIssuersOwnVmNeedsNoMessage) {
  ClientWorld World;
  World.OwnPermits = 1;
  World.admit(0s);
  BOOST_TEST(World.Outcomes.size() == 1);
  BOOST_TEST(World.Requests.empty());
  World.admit(0s);
  BOOST_REQUIRE(World.Requests.size() == 1);
  BOOST_TEST(World.domainOfLast() == "d2");
}

BOOST_AUTO_TEST_CASE(aRequestFollowsToTheIssuer) {
  ClientWorld World;
  World.admit(0s);
  std::string Other = World.Requests[0].To == "v2" ? "v3" : "v2";
  World.replyNotIssuer(0, Other, 1ms);
  BOOST_REQUIRE(World.Requests.size() == 2);
  BOOST_TEST(World.Requests[1].To == Other);
  World.reply(1, 1, 2ms);
  World.admit(1s);
  BOOST_TEST(World.Requests[2].To == Other);
}

BOOST_AUTO_TEST_CASE(withoutAnIssuerTheNextDomainIsAsked) {
  ClientWorld World;
  World.admit(0s);
  World.replyNotIssuer(0, "", 1ms);
  World.replyNotIssuer(1, "", 2ms);
  BOOST_TEST(World.domainOfLast() == "d2");
  World.reply(2, 1, 3ms);
  World.admit(4ms);
  BOOST_TEST(World.domainOfLast() == "d2");
  World.reply(3, 1, 5ms);
  World.admit(60ms);
  BOOST_TEST(World.domainOfLast() == "d1");
}

BOOST_AUTO_TEST_CASE(anIssuerThatDoesNotReplyIsPassedOver) {
  ClientWorld World;
  World.admit(0s);
  std::string Silent = World.Requests[0].To;
  World.Client.sweep(at(20ms));
  BOOST_REQUIRE(World.Requests.size() == 2);
  BOOST_TEST(World.Requests[1].To != Silent);
  // The others still believe in it.
  World.replyNotIssuer(1, Silent, 41ms);
  BOOST_TEST(World.domainOfLast() == "d2");
}

BOOST_AUTO_TEST_CASE(aLateReplyCountsWithinThePermitsLifetime) {
  ClientWorld World;
  World.admit(0s);
  World.Client.sweep(at(20ms));
  World.reply(0, 1, 299ms);
  BOOST_REQUIRE(World.Outcomes.size() == 1);
  BOOST_TEST((World.Outcomes[0].Result == Kind::Granted));
  // There is no operation left for this one.
  World.reply(1, 1, 300ms);
  BOOST_TEST(World.Outcomes.size() == 1);
}

BOOST_AUTO_TEST_CASE(aReplyAfterThePermitsLifetimeIsVoid) {
  ClientWorld World;
  World.admit(0s);
  World.admit(100ms);
  World.reply(0, 1, 300ms);
  BOOST_TEST(World.Outcomes.empty());
}

BOOST_AUTO_TEST_CASE(aSecondCopyOfAReplyIsVoid) {
  ClientWorld World;
  World.admit(0s);
  World.admit(1ms);
  World.reply(0, 1, 2ms);
  World.reply(0, 1, 3ms);
  BOOST_TEST(World.Outcomes.size() == 1);
}

BOOST_AUTO_TEST_CASE(noMoreIsUsedThanWasAskedFor) {
  ClientWorld World;
  World.admit(0s);
  World.admit(1ms);
  World.reply(0, 100, 2ms);
  BOOST_TEST(World.Outcomes.size() == 1);
}

BOOST_AUTO_TEST_CASE(withoutAReplyAnOperationGivesUpInTime) {
  ClientWorld World;
  World.admit(0s);
  for (Duration Time = 25ms; Time < 300ms; Time += 25ms)
    World.Client.sweep(at(Time));
  BOOST_TEST(World.Outcomes.empty());
  World.Client.sweep(at(300ms));
  BOOST_REQUIRE(World.Outcomes.size() == 1);
  BOOST_TEST((World.Outcomes[0].Result == Kind::Unavailable));
}

BOOST_AUTO_TEST_CASE(aCancelledOperationGetsNoOutcome) {
  ClientWorld World;
  std::uint64_t First = World.admit(0s);
  World.admit(0s);
  World.Client.cancel(First);
  World.reply(0, 1, 1ms);
  BOOST_TEST(World.Outcomes.size() == 1);
  World.Client.sweep(at(1s));
  BOOST_TEST(World.Outcomes.size() == 1);
}

BOOST_AUTO_TEST_CASE(hooksMayAskForTheNextPermit) {
  ClientWorld World;
  World.OwnPermits = 3;
  int Granted = 0;
  std::function<void(const PermitOutcome &)> Next =
      [&](const PermitOutcome &Outcome) {
        Granted += Outcome.Result == Kind::Granted;
        if (Granted < 3)
          World.Client.admit("a", at(1s), at(0s), Next);
      };
  World.Client.admit("a", at(1s), at(0s), Next);
  BOOST_TEST(Granted == 3);
}

BOOST_AUTO_TEST_CASE(operationsOfAnAccountWhoseLimitIsLiftedAreGranted) {
  ClientWorld World;
  World.admit(0s);
  World.Client.setAccounts({}, at(10ms));
  BOOST_TEST(World.Outcomes.size() == 1);
  World.reply(0, 1, 20ms); // For an account that is not limited any more.
  BOOST_TEST(World.Outcomes.size() == 1);
}

BOOST_AUTO_TEST_CASE(aSmallLimitIsOnlyAskedOfItsDomain) {
  ClientWorld World;
  World.admit(0s, "home");
  BOOST_REQUIRE(World.Requests.size() == 1);
  BOOST_TEST(World.domainOfLast() == "d2");
  World.reply(0, 0, 1ms, Millis(500));
  BOOST_REQUIRE(World.Outcomes.size() == 1);
  BOOST_TEST((World.Outcomes[0].Result == Kind::OverLimit));
  BOOST_TEST(World.Requests.size() == 1);
}

BOOST_AUTO_TEST_CASE(aRequestHoldsABoundedNumberOfAccounts) {
  ClientWorld World;
  std::map<std::string, std::vector<std::string>> Accounts;
  for (int I = 0; I < 400; ++I)
    Accounts["account-" + std::to_string(I)] = {"d2"};
  World.Client.setAccounts(Accounts, at(0s));
  for (const auto &[Name, Issuers] : Accounts)
    World.admit(0s, Name);
  // Each partition's first request goes out at once, with one account.
  BOOST_TEST(World.Requests.size() == QuotaPartitions);
  std::size_t First = World.Requests.size();
  for (std::size_t I = 0; I < First; ++I)
    World.reply(I, 1, 1ms);
  for (std::size_t I = First; I < World.Requests.size(); ++I)
    BOOST_TEST(World.Requests[I].Message.Items.size() == MaxPermitItems);
}
