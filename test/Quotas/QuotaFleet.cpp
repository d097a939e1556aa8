#include "Quotas/QuotaFleet.h"

#include "Platform/StoreRevision.h"

#include <algorithm>
#include <cmath>

namespace cicadawind::test {

using namespace std::chrono_literals;

static constexpr Duration SweepInterval = 25ms;
static constexpr Duration IssuerCheckInterval = 10ms;
static constexpr Duration StoreTimeout = 700ms;
/// Times of the membership, as in FleetGossip, RateLimitDriver and VoterList.
static constexpr Duration HelloInterval = 1s;
static constexpr Duration PeerTimeout = 8s;
static constexpr Duration LeaveOutAfter = 12s;
static constexpr Duration ForgetAfter = 5min;

static std::string nameOf(std::size_t Vm) { return "vm" + std::to_string(Vm); }

static std::size_t indexOf(const std::string &Name) {
  return std::stoul(Name.substr(2));
}

static std::string domainName(std::size_t Domain) {
  return "d" + std::to_string(Domain);
}

/// The first half of the failure domains is in one region.
static std::string regionName(std::size_t Domain, std::size_t Domains) {
  return 2 * Domain < Domains ? "r0" : "r1";
}

QuotaFleet::QuotaFleet(Options NewOpts)
    : Opts(std::move(NewOpts)), Random(Opts.Seed) {
  Vms.resize(Opts.Vms);
  DemandFactors.assign(Opts.Accounts.size(), 1);
  Allowances.resize(Opts.Accounts.size());
  Uses.resize(Opts.Accounts.size());
  clearTotals();
  for (const Account &Each : Opts.Accounts)
    Limits.push_back({{.Limit = Each.Limit, .From = TimePoint::min()}});
  for (std::size_t Vm = 0; Vm < Opts.Vms; ++Vm)
    Vms[Vm].push_back(makeProcess(Vm));
  for (std::size_t Index = 0; Index < Opts.Accounts.size(); ++Index)
    scheduleOperation(Index);
  checkIssuers();
}

TimePoint QuotaFleet::clockOf(const Process &Each) const {
  auto Elapsed = std::chrono::duration_cast<Duration>(Now.time_since_epoch() *
                                                      Each.ClockRate);
  return TimePoint(Elapsed + Each.ClockOffset);
}

AccountDirectory QuotaFleet::accounts() const {
  AccountDirectory Out;
  for (std::size_t Index = 0; Index < Opts.Accounts.size(); ++Index)
    Out.add({.Name = Opts.Accounts[Index].Name,
             .Limit = Limits[Index].back().Limit});
  return Out;
}

QuotaFleet::ProcessPtr QuotaFleet::makeProcess(std::size_t Vm) {
  auto Out = std::make_shared<Process>();
  Out->Vm = Vm;
  Out->ClockOffset = Millis(below(1000000));
  // Clocks of usual processors differ by less than this.
  Out->ClockRate = 1 + (unit() - 0.5) * 4e-4;
  Out->HeardOfAt.assign(Opts.Vms, Now);
  QuotaService::Options Service;
  Service.Vm = nameOf(Vm);
  Service.FailureDomain = domainName(domainOf(Vm));
  for (std::size_t Domain = 0; Domain < Opts.Domains; ++Domain)
    Service.Regions[domainName(Domain)] = regionName(Domain, Opts.Domains);
  Service.Random = [this] { return Random(); };
  Service.StartedAt = clockOf(*Out);
  Service.Tolerance.Operations = Opts.ToleratedOperations;
  Service.Witness = Opts.Witness;
  Service.Send = [this, Weak = std::weak_ptr(Out)](
                     const std::string &To, const QuotaMessage &Message) {
    send(Weak.lock(), To, Message);
  };
  Out->Service = std::make_unique<QuotaService>(std::move(Service));
  Out->Service->setAccounts(accounts(), clockOf(*Out));
  Out->Witness = std::make_unique<QuorumWitness>(Opts.Witness);
  Out->Service->setWitness([Weak = std::weak_ptr(Out)](TimePoint Until) {
    return Weak.lock()->Witness->isHeldUntil(Until);
  });
  updateFleet(*Out);
  // The sweeps of all VMs are not at the same time.
  atProcess(Out, Now + Millis(below(25)), [this, Out] { sweep(Out); });
  return Out;
}

void QuotaFleet::at(TimePoint When, std::function<void()> Work) {
  Events.emplace(When, std::move(Work));
}

void QuotaFleet::atProcess(const ProcessPtr &Each, TimePoint When,
                           std::function<void()> Work) {
  at(When, [this, Each, Work = std::move(Work)] {
    if (!Each->IsAlive)
      return;
    if (Now < Each->SuspendedUntil)
      return atProcess(Each, Each->SuspendedUntil, Work);
    Work();
  });
}

void QuotaFleet::runFor(Duration Length) {
  TimePoint End = Now + Length;
  while (!Events.empty() && Events.begin()->first <= End) {
    auto First = Events.extract(Events.begin());
    Now = std::max(Now, First.key());
    First.mapped()();
  }
  Now = End;
}

void QuotaFleet::sweep(const ProcessPtr &Each) {
  if (below(HelloInterval / SweepInterval) == 0)
    updateFleet(*Each);
  sweepWitness(Each);
  Each->Service->sweep(clockOf(*Each));
  atProcess(Each, Now + SweepInterval, [this, Each] { sweep(Each); });
}

void QuotaFleet::sweepWitness(const ProcessPtr &Each) {
  TimePoint Clock = clockOf(*Each);
  switch (Each->Witness->next(Each->Service->wantsWitness(Clock), Clock)) {
  case QuorumWitness::Call::None:
    return;
  case QuorumWitness::Call::Read:
    return callStore(Each, false);
  case QuorumWitness::Call::Write:
    return callStore(Each, true);
  }
}

void QuotaFleet::callStore(const ProcessPtr &Each, bool IsWrite) {
  TimePoint SentAt = clockOf(*Each);
  std::uint64_t Expected = Each->Witness->expectedVersion();
  auto IsAnswered = std::make_shared<bool>(false);
  Duration Delay = Millis(1 + below(8));
  if (unit() < LateCalls)
    Delay += Millis(below(6000));
  bool IsReached = !StoreIsAway && TurnedAway.count(Each->Vm) == 0;
  auto Run = [this, Each, IsWrite, Expected, SentAt, IsAnswered] {
    std::optional<std::uint64_t> Result =
        runInStore(domainOf(Each->Vm), IsWrite, Expected);
    atProcess(
        Each, Now + 2ms, [this, Each, IsWrite, Result, SentAt, IsAnswered] {
          if (std::exchange(*IsAnswered, true))
            return;
          if (!IsWrite)
            Each->Witness->recordRead(Result, clockOf(*Each));
          else if (Result)
            Each->Witness->recordAccepted(*Result, SentAt, clockOf(*Each));
          else
            Each->Witness->recordRefused();
        });
  };
  if (IsReached)
    at(Now + Delay, Run);
  atProcess(Each, Now + StoreTimeout, [this, Each, IsWrite, IsAnswered] {
    if (std::exchange(*IsAnswered, true))
      return;
    if (IsWrite)
      Each->Witness->recordRefused();
    else
      Each->Witness->recordRead(std::nullopt, clockOf(*Each));
  });
}

std::optional<std::uint64_t> QuotaFleet::runInStore(std::size_t Domain,
                                                    bool IsWrite,
                                                    std::uint64_t Expected) {
  std::uint64_t &Number = Objects[Domain];
  // The store knows nothing of the eras that versions are of.
  if (IsWrite && Number != StoreRevision::unpack(Expected).Number)
    return std::nullopt;
  if (IsWrite)
    Number = ++StoreNumber;
  if (Number == 0)
    return 0;
  return StoreRevision{.Era = StoreEra, .Number = Number}.pack();
}

void QuotaFleet::restoreStoreCopy() {
  Objects = StoreCopy;
  ++StoreEra;
  StoreNumber = 1;
  for (const auto &[Domain, Number] : Objects)
    StoreNumber = std::max(StoreNumber, Number);
}

void QuotaFleet::updateFleet(Process &Each) {
  std::vector<VmEntry> Live;
  std::set<std::string> Voters;
  std::set<std::string> Gone;
  for (std::size_t Vm = 0; Vm < Opts.Vms; ++Vm) {
    bool IsHeard = !Vms[Vm].empty() && Now >= Vms[Vm][0]->SuspendedUntil &&
                   !isCut(Vm, Each.Vm);
    if (IsHeard)
      Each.HeardOfAt[Vm] = Now;
    Duration Age = Now - Each.HeardOfAt[Vm];
    if (Age < PeerTimeout && Vm != Each.Vm)
      Live.push_back({.Vm = nameOf(Vm),
                      .FailureDomain = domainName(domainOf(Vm)),
                      .Region = regionName(domainOf(Vm), Opts.Domains)});
    if (Age < LeaveOutAfter && domainOf(Vm) == domainOf(Each.Vm))
      Voters.insert(nameOf(Vm));
    if (Age >= ForgetAfter && Each.Service->leftOut().count(nameOf(Vm)) > 0)
      Gone.insert(nameOf(Vm));
  }
  Each.Service->setPeers(Live);
  Each.Service->setVoters(Voters, Gone);
}

Duration QuotaFleet::latency(std::size_t From, std::size_t To) {
  std::size_t A = domainOf(From);
  std::size_t B = domainOf(To);
  bool IsNear = regionName(A, Opts.Domains) == regionName(B, Opts.Domains);
  Duration Usual = A == B ? 500us : IsNear ? 2ms : 15ms;
  Duration Out = Usual + std::chrono::microseconds(below(1000));
  if (MaxDelay > Duration::zero() && unit() < Delayed)
    Out += Duration(below(static_cast<std::size_t>(MaxDelay.count())));
  return Out;
}

bool QuotaFleet::isCut(std::size_t From, std::size_t To) const {
  if (CutPairs.count(std::minmax(From, To)) > 0)
    return true;
  return std::any_of(Cuts.begin(), Cuts.end(), [&](const auto &Inside) {
    return Inside[From] != Inside[To];
  });
}

void QuotaFleet::cut(const std::function<bool(std::size_t Vm)> &IsInside) {
  std::vector<bool> Inside;
  for (std::size_t Vm = 0; Vm < Opts.Vms; ++Vm)
    Inside.push_back(IsInside(Vm));
  Cuts.push_back(std::move(Inside));
}

void QuotaFleet::send(const ProcessPtr &From, const std::string &To,
                      const QuotaMessage &Message) {
  std::size_t Vm = indexOf(To);
  ++Messages;
  unsigned Copies = unit() < Repetition ? 2 : 1;
  for (; Copies > 0; --Copies) {
    if (isCut(From->Vm, Vm) || Vms[Vm].empty() || unit() < Loss)
      continue;
    // The address is that of either process.
    ProcessPtr Receiver = Vms[Vm][below(Vms[Vm].size())];
    atProcess(Receiver, Now + latency(From->Vm, Vm),
              [this, Receiver, Sender = nameOf(From->Vm), Message] {
                Receiver->Service->receive(Sender, Message, clockOf(*Receiver));
              });
  }
}

void QuotaFleet::kill(std::size_t Vm) {
  for (const ProcessPtr &Each : Vms[Vm])
    Each->IsAlive = false;
  Vms[Vm].clear();
}

void QuotaFleet::restart(std::size_t Vm, Duration Pause) {
  kill(Vm);
  at(Now + Pause, [this, Vm] {
    if (Vms[Vm].empty())
      Vms[Vm].push_back(makeProcess(Vm));
  });
}

void QuotaFleet::suspend(std::size_t Vm, Duration Length) {
  for (const ProcessPtr &Each : Vms[Vm])
    Each->SuspendedUntil = Now + Length;
}

void QuotaFleet::doubleVm(std::size_t Vm, Duration Length) {
  ProcessPtr Copy = makeProcess(Vm);
  Vms[Vm].push_back(Copy);
  at(Now + Length, [this, Copy] {
    Copy->IsAlive = false;
    std::erase(Vms[Copy->Vm], Copy);
  });
}

void QuotaFleet::setDemandFactor(std::size_t Index, double Factor) {
  DemandFactors.at(Index) = Factor;
}

void QuotaFleet::setLimit(std::size_t Index, RateLimit Limit) {
  TimePoint Applied = Now;
  Limits[Index].push_back({.Limit = Limit, .From = Now});
  for (const auto &Processes : Vms)
    for (const ProcessPtr &Each : Processes) {
      TimePoint When = Now + Millis(below(1000));
      Applied = std::max({Applied, When, Each->SuspendedUntil});
      atProcess(Each, When, [this, Each] {
        Each->Service->setAccounts(accounts(), clockOf(*Each));
      });
    }
  Limits[Index][Limits[Index].size() - 2].Until = Applied;
}

void QuotaFleet::scheduleOperation(std::size_t Index) {
  double Rate = Opts.Accounts[Index].Demand * DemandFactors[Index];
  double Wait = -std::log(1 - unit()) / Rate;
  at(Now + std::chrono::duration_cast<Duration>(
               std::chrono::duration<double>(Wait)),
     [this, Index] {
       std::size_t Vm = below(Opts.Vms);
       bool IsAsked = !Opts.StaysBelowLimit || !isBeyondLimit(Index);
       if (IsAsked && !Vms[Vm].empty()) {
         ProcessPtr Each = Vms[Vm][below(Vms[Vm].size())];
         atProcess(Each, Now,
                   [this, Index, Each] { runOperation(Index, Each); });
       }
       scheduleOperation(Index);
     });
}

bool QuotaFleet::isBeyondLimit(std::size_t Index) {
  Allowance &Each = Allowances[Index];
  const RateLimit &Limit = Limits[Index].back().Limit;
  double Seconds = std::chrono::duration<double>(Now - Each.At).count();
  Each.Operations =
      std::min(Each.Operations + Seconds * Limit.PerSecond, Limit.Burst);
  Each.At = Now;
  if (Each.Operations < 1)
    return true;
  Each.Operations -= 1;
  return false;
}

void QuotaFleet::runOperation(std::size_t Index, const ProcessPtr &Each) {
  ++Sums[Index].Operations;
  TimePoint ArrivedAt = Now;
  auto MaxWait = static_cast<std::size_t>(toMillis(Opts.MaxWait).count());
  TimePoint Clock = clockOf(*Each);
  TimePoint GiveUpAt = Clock + 60ms + Millis(below(MaxWait - 60 + 1));
  Each->Service->admit(Opts.Accounts[Index].Name, GiveUpAt, Clock,
                       [this, Index, ArrivedAt](const PermitOutcome &Outcome) {
                         Totals &Sum = Sums[Index];
                         Sum.LongestWait =
                             std::max(Sum.LongestWait, Now - ArrivedAt);
                         switch (Outcome.Result) {
                         case PermitOutcome::Kind::Granted:
                           ++Sum.Granted;
                           Uses[Index].push_back(Now);
                           break;
                         case PermitOutcome::Kind::OverLimit:
                           ++Sum.OverLimit;
                           break;
                         case PermitOutcome::Kind::Unavailable:
                           ++Sum.Unavailable;
                         }
                       });
}

RateLimit QuotaFleet::highestLimit(std::size_t Index, TimePoint From,
                                   TimePoint To) const {
  RateLimit Out;
  for (const LimitInForce &Each : Limits[Index]) {
    if (Each.Until < From || Each.From > To)
      continue;
    Out.PerSecond = std::max(Out.PerSecond, Each.Limit.PerSecond);
    Out.Burst = std::max(Out.Burst, Each.Limit.Burst);
  }
  return Out;
}

double QuotaFleet::worstExcess(std::size_t Index, Duration Window) const {
  // Permits that were issued under an earlier limit may still be used.
  constexpr Duration PermitLifetime = 300ms;
  double Seconds = std::chrono::duration<double>(Window).count();
  const std::vector<TimePoint> &Times = Uses.at(Index);
  double Worst = -1e9;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Times.size(); ++Last) {
    while (Times[Last] - Times[First] >= Window)
      ++First;
    RateLimit Limit =
        highestLimit(Index, Times[First] - PermitLifetime, Times[Last]);
    double Allowed = Limit.PerSecond * Seconds + Limit.Burst;
    auto Count = static_cast<double>(Last - First + 1);
    Worst = std::max(Worst, Count - Allowed);
  }
  return Worst;
}

void QuotaFleet::checkIssuers() {
  std::map<std::pair<std::size_t, unsigned>, std::size_t> Found;
  for (const auto &Processes : Vms)
    for (const ProcessPtr &Each : Processes)
      for (unsigned Partition = 0; Partition < QuotaPartitions; ++Partition)
        if (Each->Service->isIssuer(Partition, clockOf(*Each)))
          ++Found[{domainOf(Each->Vm), Partition}];
  for (const auto &[Seat, Count] : Found)
    DoubleIssuers += Count > 1;
  at(Now + IssuerCheckInterval, [this] { checkIssuers(); });
}

std::set<std::size_t> QuotaFleet::issuers() const {
  std::set<std::size_t> Out;
  for (const auto &Processes : Vms)
    for (const ProcessPtr &Each : Processes)
      if (Each->Service->counts().Leases > 0)
        Out.insert(Each->Vm);
  return Out;
}

std::size_t QuotaFleet::leases() const {
  std::size_t Out = 0;
  for (const auto &Processes : Vms)
    for (const ProcessPtr &Each : Processes)
      Out += Each->Service->counts().Leases;
  return Out;
}

} // namespace cicadawind::test
