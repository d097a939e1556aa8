#ifndef CICADAWIND_TEST_QUOTAS_QUOTAFLEET_H
#define CICADAWIND_TEST_QUOTAS_QUOTAFLEET_H

#include "Accounts/AccountDirectory.h"
#include "Quotas/QuorumWitness.h"
#include "Quotas/QuotaService.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadawind::test {

/// \class QuotaFleet
/// \brief The rate limit of a fleet in virtual time: a QuotaService for each
/// process, and between them a network that loses, delays, repeats and cuts off
/// messages.
///
/// VMs can be killed, suspended and doubled; each has a clock of its own. Knows
/// when each permit was used, and the limits that were in force.
class QuotaFleet {
public:
  struct Account {
    std::string Name;
    RateLimit Limit;
    /// Operations a second of all VMs together.
    double Demand = 0;
  };
  struct Options {
    std::size_t Vms = 18;
    std::size_t Domains = 3;
    unsigned ToleratedOperations = 0;
    std::uint64_t Seed = 1;
    WitnessTimes Witness;
    std::vector<Account> Accounts;
    /// Whether the operations of an account stay below its limit: in any time
    /// T, at most PerSecond * T + Burst are asked for.
    bool StaysBelowLimit = false;
    /// Wait of operations for a permit: from 60 ms to this time.
    Duration MaxWait = std::chrono::milliseconds(300);
  };
  struct Totals {
    std::uint64_t Operations = 0;
    std::uint64_t Granted = 0;
    std::uint64_t OverLimit = 0;
    std::uint64_t Unavailable = 0;
    Duration LongestWait = Duration::zero();
  };

  explicit QuotaFleet(Options NewOpts);
  QuotaFleet(const QuotaFleet &) = delete;
  QuotaFleet &operator=(const QuotaFleet &) = delete;

  void runFor(Duration Length);
  TimePoint now() const { return Now; }
  std::mt19937_64 &random() { return Random; }
  /// Returns a random number from 0 on and below \p Bound.
  std::size_t below(std::size_t Bound) { return Random() % Bound; }

  void setLoss(double Share) { Loss = Share; }
  void setRepetition(double Share) { Repetition = Share; }
  /// Delays a part of the messages by up to \p Max.
  void setDelay(double Share, Duration Max) {
    Delayed = Share;
    MaxDelay = Max;
  }
  /// Cuts the VMs for which \p IsInside is true off from all others.
  void cut(const std::function<bool(std::size_t Vm)> &IsInside);
  /// Cuts \p A and \p B off from each other only.
  void cutPair(std::size_t A, std::size_t B) {
    CutPairs.insert(std::minmax(A, B));
  }
  void healCuts() {
    Cuts.clear();
    CutPairs.clear();
  }
  std::size_t domainOf(std::size_t Vm) const { return Vm % Opts.Domains; }
  std::size_t vms() const { return Opts.Vms; }
  std::size_t domains() const { return Opts.Domains; }

  /// Kills \p Vm for good, or until it is started again.
  void kill(std::size_t Vm);
  /// Kills \p Vm and starts it again after \p Pause.
  void restart(std::size_t Vm, Duration Pause);
  void suspend(std::size_t Vm, Duration Length);
  void setStoreAway(bool IsAway) { StoreIsAway = IsAway; }
  /// Lets the store turn \p Vm away, or serve it again.
  void setTurnedAway(std::size_t Vm, bool IsTurnedAway) {
    if (IsTurnedAway)
      TurnedAway.insert(Vm);
    else
      TurnedAway.erase(Vm);
  }
  /// Lets a part of the calls to the store be carried out late, without a
  /// response in time.
  void setLateCalls(double Share) { LateCalls = Share; }
  /// Keeps a copy of the store, from which it comes back in a later era.
  void keepStoreCopy() { StoreCopy = Objects; }
  void restoreStoreCopy();
  /// Starts a second process of \p Vm with the same name, for \p Length.
  void doubleVm(std::size_t Vm, Duration Length);
  /// Multiplies the demand of the account \p Index by \p Factor.
  void setDemandFactor(std::size_t Index, double Factor);
  /// Changes a limit; each VM applies it within a second.
  void setLimit(std::size_t Index, RateLimit Limit);

  const Totals &totals(std::size_t Index) const { return Sums.at(Index); }
  void clearTotals() { Sums.assign(Opts.Accounts.size(), {}); }
  /// Returns the messages sent so far.
  std::uint64_t messages() const { return Messages; }
  /// Returns by how many operations the account \p Index has exceeded its
  /// limits most in any window; negative if it never has.
  double worstExcess(std::size_t Index, Duration Window) const;
  /// Returns the number of permits of \p Index used.
  std::size_t used(std::size_t Index) const { return Uses.at(Index).size(); }
  /// Returns how many issuers there are, over all partitions and domains.
  std::size_t leases() const;
  /// Returns the VMs that issue permits of any partition.
  std::set<std::size_t> issuers() const;
  /// Returns how often a partition of a failure domain was seen with two
  /// issuers at the same time. Looked for every few milliseconds.
  std::size_t doubleIssuers() const { return DoubleIssuers; }

private:
  struct Process {
    std::size_t Vm = 0;
    bool IsAlive = true;
    TimePoint SuspendedUntil;
    /// Difference of the own clock to the true time at the start of the test,
    /// and its rate.
    Duration ClockOffset = Duration::zero();
    double ClockRate = 1;
    std::unique_ptr<QuotaService> Service;
    std::unique_ptr<QuorumWitness> Witness;
    std::vector<TimePoint> HeardOfAt;
    AccountDirectory Accounts;
  };
  using ProcessPtr = std::shared_ptr<Process>;
  struct LimitInForce {
    RateLimit Limit;
    TimePoint From;
    /// When the last VM has applied the next one.
    TimePoint Until = TimePoint::max();
  };

  TimePoint clockOf(const Process &Each) const;
  /// Makes the call to the store that the witness of \p Each needs.
  void sweepWitness(const ProcessPtr &Each);
  void callStore(const ProcessPtr &Each, bool IsWrite);
  /// Runs a call in the store. Returns the version of the domain's object, or
  /// nothing if a write's condition does not hold.
  std::optional<std::uint64_t> runInStore(std::size_t Domain, bool IsWrite,
                                          std::uint64_t Expected);
  ProcessPtr makeProcess(std::size_t Vm);
  void at(TimePoint When, std::function<void()> Work);
  /// Runs \p Work at \p When or when \p Each is no longer suspended; never if
  /// it is killed.
  void atProcess(const ProcessPtr &Each, TimePoint When,
                 std::function<void()> Work);
  void sweep(const ProcessPtr &Each);
  void updateFleet(Process &Each);
  void send(const ProcessPtr &From, const std::string &To,
            const QuotaMessage &Message);
  bool isCut(std::size_t From, std::size_t To) const;
  Duration latency(std::size_t From, std::size_t To);
  void scheduleOperation(std::size_t Index);
  /// Returns whether an operation would be beyond the limit of its account;
  /// counts it if not.
  bool isBeyondLimit(std::size_t Index);
  void checkIssuers();
  void runOperation(std::size_t Index, const ProcessPtr &Each);
  AccountDirectory accounts() const;
  RateLimit highestLimit(std::size_t Index, TimePoint From, TimePoint To) const;
  double unit() { return std::uniform_real_distribution<double>()(Random); }

  Options Opts;
  std::mt19937_64 Random;
  TimePoint Now{std::chrono::seconds(100000)};
  std::multimap<TimePoint, std::function<void()>> Events;
  /// The processes of each VM, usually one.
  std::vector<std::vector<ProcessPtr>> Vms;
  bool StoreIsAway = false;
  std::set<std::size_t> TurnedAway;
  double LateCalls = 0;
  std::uint64_t StoreEra = 1;
  std::uint64_t StoreNumber = 1;
  /// Numbers of the versions of the domains' objects; 0 if there is none.
  std::map<std::size_t, std::uint64_t> Objects;
  std::map<std::size_t, std::uint64_t> StoreCopy;
  double Loss = 0;
  double Repetition = 0;
  double Delayed = 0;
  Duration MaxDelay = Duration::zero();
  std::vector<std::vector<bool>> Cuts;
  std::set<std::pair<std::size_t, std::size_t>> CutPairs;
  std::vector<double> DemandFactors;
  /// What the limits leave for more operations, and since when.
  struct Allowance {
    double Operations = 0;
    TimePoint At;
  };
  std::vector<Allowance> Allowances;
  std::vector<Totals> Sums;
  std::vector<std::vector<TimePoint>> Uses;
  std::vector<std::vector<LimitInForce>> Limits;
  std::uint64_t Messages = 0;
  std::size_t DoubleIssuers = 0;
};

} // namespace cicadawind::test

#endif
