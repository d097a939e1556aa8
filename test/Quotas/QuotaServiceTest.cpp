#define BOOST_TEST_MODULE QuotaService
#include <boost/test/unit_test.hpp>

#include "Accounts/AccountDirectory.h"
#include "Quotas/QuotaService.h"

#include <deque>
#include <memory>

using namespace cicadawind;
using namespace std::chrono_literals;
using Kind = PermitOutcome::Kind;

namespace {

TimePoint at(Duration Time) { return TimePoint(1000s) + Time; }

AccountDirectory accounts(double PerSecond) {
  AccountDirectory Out;
  Out.add({.Name = "free", .Keys = {"k1"}});
  Out.add({.Name = "a",
           .Keys = {"k2"},
           .Limit = RateLimit{.PerSecond = PerSecond, .Burst = PerSecond}});
  return Out;
}

/// VMs of one failure domain, whose messages arrive at once.
class SmallFleet {
public:
  explicit SmallFleet(int Count) {
    for (int I = 1; I <= Count; ++I)
      Names.insert("v" + std::to_string(I));
    for (const std::string &Vm : Names)
      start(Vm);
  }

  void start(const std::string &Vm) {
    QuotaService::Options Opts;
    Opts.Vm = Vm;
    Opts.FailureDomain = "d";
    Opts.Regions = {{"d", "r"}};
    Opts.Random = [this] { return ++LastRandom; };
    Opts.StartedAt = Now;
    Opts.Send = [this, Vm](const std::string &To, const QuotaMessage &Message) {
      Messages.push_back({.From = Vm, .To = To, .Message = Message});
    };
    Opts.OnLease = [this](unsigned, bool Begins) {
      ++(Begins ? Begun : Ended);
    };
    Vms[Vm] = std::make_unique<QuotaService>(Opts);
    std::vector<VmEntry> Peers;
    for (const std::string &Each : Names)
      Peers.push_back({.Vm = Each, .FailureDomain = "d", .Region = "r"});
    Vms[Vm]->setPeers(Peers);
    Vms[Vm]->setVoters(Names);
    Vms[Vm]->setAccounts(accounts(100), Now);
  }
  void runFor(Duration Time) {
    for (TimePoint End = Now + Time; Now < End; Now += 25ms) {
      for (auto &[Name, Vm] : Vms)
        Vm->sweep(Now);
      deliver();
    }
  }
  void deliver() {
    for (; !Messages.empty(); Messages.pop_front()) {
      auto It = Vms.find(Messages.front().To);
      ++Sent;
      if (It != Vms.end())
        It->second->receive(Messages.front().From, Messages.front().Message,
                            Now);
    }
  }
  std::uint64_t leases() const {
    std::uint64_t Out = 0;
    for (const auto &[Name, Vm] : Vms)
      Out += Vm->counts().Leases;
    return Out;
  }
  /// Returns how many of \p Count operations of "a" get a permit now.
  int admit(const std::string &Vm, int Count, const std::string &Name = "a") {
    int Granted = 0;
    for (int I = 0; I < Count; ++I)
      Vms.at(Vm)->admit(Name, Now + 10ms, Now, [&](const PermitOutcome &Each) {
        Granted += Each.Result == Kind::Granted;
      });
    deliver();
    runFor(50ms);
    return Granted;
  }

  struct Sending {
    std::string From;
    std::string To;
    QuotaMessage Message;
  };

  TimePoint Now = at(0s);
  std::set<std::string> Names;
  std::map<std::string, std::unique_ptr<QuotaService>> Vms;
  std::deque<Sending> Messages;
  std::uint64_t LastRandom = 0;
  std::size_t Sent = 0;
  int Begun = 0;
  int Ended = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(eachPartitionGetsOneIssuer) {
  SmallFleet Fleet(5);
  // Nobody votes in the first LeaseLength after its start.
  Fleet.runFor(QuotaTimes().LeaseLength - 25ms);
  BOOST_TEST(Fleet.leases() == 0);
  Fleet.runFor(100ms);
  BOOST_TEST(Fleet.leases() == QuotaPartitions);
  Fleet.runFor(10s);
  BOOST_TEST(Fleet.leases() == QuotaPartitions);
  BOOST_TEST(Fleet.Begun == QuotaPartitions);
  BOOST_TEST(Fleet.Ended == 0);
}

BOOST_AUTO_TEST_CASE(operationsOfAllVmsShareTheLimit) {
  SmallFleet Fleet(5);
  Fleet.runFor(5s);
  int Granted = 0;
  for (int I = 1; I <= 5; ++I)
    Granted += Fleet.admit("v" + std::to_string(I), 100);
  // A capacity of 149.5 and 85 a second over 250 ms.
  BOOST_TEST(Granted > 140);
  BOOST_TEST(Granted <= 171);
  BOOST_TEST(Fleet.admit("v1", 7, "free") == 7);
}

BOOST_AUTO_TEST_CASE(nothingIsSentWithoutALimit) {
  SmallFleet Fleet(3);
  AccountDirectory Accounts;
  Accounts.add({.Name = "free", .Keys = {"k1"}});
  for (auto &[Name, Vm] : Fleet.Vms)
    Vm->setAccounts(Accounts, Fleet.Now);
  Fleet.runFor(3s);
  BOOST_TEST(Fleet.Sent == 0);
  BOOST_TEST(Fleet.admit("v1", 7, "free") == 7);
}

BOOST_AUTO_TEST_CASE(anIssuerThatIsGoneIsReplaced) {
  SmallFleet Fleet(5);
  Fleet.runFor(3s);
  Fleet.Vms.erase("v1");
  Fleet.Vms.erase("v2");
  Fleet.Vms.erase("v3");
  Fleet.start("v1");
  Fleet.start("v2");
  Fleet.runFor(2s);
  BOOST_TEST(Fleet.leases() == QuotaPartitions);
}

BOOST_AUTO_TEST_CASE(withoutAMajorityThereAreNoPermits) {
  SmallFleet Fleet(5);
  Fleet.runFor(3s);
  Fleet.Vms.erase("v1");
  Fleet.Vms.erase("v2");
  Fleet.Vms.erase("v3");
  Fleet.runFor(2s);
  BOOST_TEST(Fleet.leases() == 0);
  BOOST_TEST(Fleet.admit("v4", 1) == 0);
}

BOOST_AUTO_TEST_CASE(anIssuerThatLeavesIsReplacedSoon) {
  SmallFleet Fleet(5);
  Fleet.runFor(3s);
  for (const char *Vm : {"v1", "v2"})
    Fleet.Vms.at(Vm)->leave(Fleet.Now);
  for (const char *Vm : {"v1", "v2"})
    BOOST_TEST(Fleet.Vms.at(Vm)->counts().Leases == 0);
  Fleet.runFor(650ms);
  BOOST_TEST(Fleet.leases() == QuotaPartitions);
  for (const char *Vm : {"v1", "v2"})
    BOOST_TEST(Fleet.Vms.at(Vm)->counts().Leases == 0);
}

// Others leave it out then, and may reach a majority without it.
BOOST_AUTO_TEST_CASE(aVmThatLeavesStopsVotingAfterAWhile) {
  SmallFleet Fleet(2);
  Fleet.runFor(3s);
  Fleet.Vms.at("v1")->leave(Fleet.Now);
  Fleet.runFor(900ms);
  BOOST_TEST(Fleet.leases() == QuotaPartitions);
  Fleet.runFor(QuotaTimes{}.leaverLifetime() - 900ms);
  BOOST_TEST(Fleet.leases() == 0);
  Fleet.Vms.at("v2")->setVoters(Fleet.Names, {"v1"});
  Fleet.runFor(1s);
  BOOST_TEST(Fleet.leases() == QuotaPartitions);
}

BOOST_AUTO_TEST_CASE(issuersStopWhenTheLastLimitIsLifted) {
  SmallFleet Fleet(3);
  Fleet.runFor(3s);
  for (auto &[Name, Vm] : Fleet.Vms)
    Vm->setAccounts(AccountDirectory(), Fleet.Now);
  Fleet.runFor(100ms);
  BOOST_TEST(Fleet.leases() == 0);
  std::size_t Before = Fleet.Sent;
  Fleet.runFor(2s);
  BOOST_TEST(Fleet.Sent == Before);
}
