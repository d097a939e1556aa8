// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Daemons/RateLimitDriver.h"

#include "Accounts/AccountDirectory.h"
#include "Async/AsyncSignal.h"
#include "Exchange/PeerExchange.h"
#include "Observability/Log.h"
#include "Observability/Metrics.h"
#include "Platform/ObjectStore.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace cicadawind {
namespace internal {

static const Log Logger("quota");
/// Kind of the objects in the store that are the witnesses of the failure
/// domains.
static const char *const WitnessKind = "cicadawind-witnesses";
constexpr Duration VotersInterval = std::chrono::milliseconds(500);
/// Time after the word of a VM that it leaves at which others remove its entry
/// if it has not done so itself. Longer than a planned stop takes.
constexpr Duration LeaverRemovalDelay = std::chrono::seconds(20);
constexpr Duration ReportInterval = std::chrono::seconds(1);
constexpr Duration OverLimitLogInterval = std::chrono::seconds(10);
/// Maximum number of accounts that are logged in each interval.
constexpr std::size_t MaxLoggedAccounts = 10;

static void logLease(unsigned Partition, bool Begins) {
  Logger.info(Begins ? "issues permits of a partition"
                     : "issues no more permits of a partition",
              {{"partition", std::to_string(Partition)}});
}

} // namespace internal

RateLimitDriver::RateLimitDriver(boost::asio::io_context &Loop, Options Opts,
                                 PeerExchange &Peers, ObjectStore &Store,
                                 Metrics &Meter)
    : Loop(Loop), Peers(Peers), Store(Store), Meter(Meter),
      StoreTimeout(Opts.StoreTimeout), Witness(Opts.Witness),
      Quota(quotaOptions(std::move(Opts))) {
  Quota.setWitness(
      [this](TimePoint Until) { return Witness.isHeldUntil(Until); });
  Peers.onQuotaMessage(
      [this](const std::string &From, const QuotaMessage &Message) {
        Quota.receive(From, Message, BootClock::now());
      });
}

QuotaService::Options RateLimitDriver::quotaOptions(Options Opts) {
  if (Opts.Regions.count(Opts.FailureDomain) == 0)
    internal::Logger.warning(
        "setting 'regions' lacks the failure domain of this VM; the failure "
        "domains together may exceed rate limits",
        {{"domain", Opts.FailureDomain}});
  QuotaService::Options Out;
  Out.Vm = Opts.Vm;
  Out.FailureDomain = Opts.FailureDomain;
  Out.Regions = std::move(Opts.Regions);
  Out.Random = std::move(Opts.Random);
  Out.StartedAt = BootClock::now();
  Out.Tolerance = Opts.Tolerance;
  Out.Witness = Opts.Witness;
  Out.Send = [this](const std::string &Vm, const QuotaMessage &Message) {
    Peers.send(Vm, Message);
  };
  Out.OnLease = internal::logLease;
  Out.OnOverLimit = [this](const std::string &Account, Duration) {
    ++Refused[Account];
  };
  return Out;
}

void RateLimitDriver::setAccounts(const AccountDirectory &Accounts) {
  Quota.setAccounts(Accounts, BootClock::now());
}

std::set<std::string>
RateLimitDriver::ofOwnDomain(const std::set<std::string> &Vms) const {
  std::string Domain = Peers.self().FailureDomain;
  std::set<std::string> Out;
  for (const std::string &Vm : Vms) {
    const VmEntry *Entry = Peers.members().find(Vm);
    if (Entry && Entry->FailureDomain == Domain)
      Out.insert(Vm);
  }
  return Out;
}

std::set<std::string>
RateLimitDriver::ownVoters(TimePoint Now,
                           const VoterList::Lifetimes &Times) const {
  return ofOwnDomain(Peers.voters(Now, Times));
}

void RateLimitDriver::updateVoters(TimePoint Now) {
  // A VM that does not count as live any more, and then some time more.
  VoterList::Lifetimes Recent{.ForgetAfter = 3 * Peers.peerTimeout(Now) / 2,
                              .CountsProvisional = false};
  std::set<std::string> Gone =
      Peers.departed(Now, QuotaTimes{}.leaverLifetime());
  std::set<std::string> Remembered = Peers.voters(Now);
  for (const std::string &Vm : Quota.leftOut())
    if (Remembered.count(Vm) == 0)
      Gone.insert(Vm);
  Quota.setVoters(ownVoters(Now, Recent), Gone);
}

std::set<std::string> RateLimitDriver::goneVms(TimePoint Now) const {
  std::set<std::string> Out =
      ofOwnDomain(Peers.departed(Now, internal::LeaverRemovalDelay));
  Out.insert(Quota.leftOut().begin(), Quota.leftOut().end());
  return Out;
}

void RateLimitDriver::updateFleet(TimePoint Now) {
  if (!Peers.knowsFleet(Now))
    return;
  const std::vector<VmEntry> &Live = Peers.livePeers(Now);
  bool IsNew = LiveVersion != Peers.livePeersVersion();
  if (IsNew)
    Quota.setPeers(Live);
  LiveVersion = Peers.livePeersVersion();
  if (!IsNew && Now < NextVoters)
    return;
  NextVoters = Now + internal::VotersInterval;
  updateVoters(Now);
}

void RateLimitDriver::sweep(TimePoint Now) {
  updateFleet(Now);
  sweepWitness(Now);
  Quota.sweep(Now);
  if (!Quota.isActive() || Now < NextReport)
    return;
  NextReport = Now + internal::ReportInterval;
  reportCounts();
  logOverLimit(Now);
}

void RateLimitDriver::sweepWitness(TimePoint Now) {
  logWitness(Now);
  switch (Witness.next(Quota.wantsWitness(Now), Now)) {
  case QuorumWitness::Call::None:
    return;
  case QuorumWitness::Call::Read:
    return spawn(Loop, readWitness());
  case QuorumWitness::Call::Write:
    return spawn(Loop, writeWitness());
  }
}

boost::asio::awaitable<void> RateLimitDriver::readWitness() {
  // Failed calls are counted by the store's client.
  Result<StoredObject> Read = co_await Store.read(
      internal::WitnessKind, Peers.self().FailureDomain, StoreTimeout);
  if (errorOf(Read))
    Witness.recordRead(std::nullopt, BootClock::now());
  else
    Witness.recordRead(valueOf(Read).Version, BootClock::now());
}

boost::asio::awaitable<void> RateLimitDriver::writeWitness() {
  nlohmann::json Value{
      {"vm", Peers.self().Vm},
      {"incarnation", std::to_string(Peers.self().Incarnation)},
      {"update", ++WitnessUpdates}};
  TimePoint SentAt = BootClock::now();
  WriteResult Written = co_await Store.write(
      internal::WitnessKind, Peers.self().FailureDomain, Value.dump(),
      Witness.expectedVersion(), StoreTimeout);
  if (Written.Outcome == WriteOutcome::Accepted)
    Witness.recordAccepted(Written.Version, SentAt, BootClock::now());
  else
    Witness.recordRefused();
}

void RateLimitDriver::logWitness(TimePoint Now) {
  bool HasWitness = Witness.isHeldUntil(Now);
  if (HasWitness == std::exchange(HadWitness, HasWitness))
    return;
  internal::Logger.info(HasWitness
                            ? "has the store's vote in its failure domain"
                            : "no longer has the store's vote",
                        {{"domain", Peers.self().FailureDomain}});
}

void RateLimitDriver::leave() { Quota.leave(BootClock::now()); }

void RateLimitDriver::reportCounts() {
  QuotaCounts Counts = Quota.counts();
  auto Count = [this](const char *Name, const MetricLabels &Labels,
                      std::uint64_t Old, std::uint64_t New) {
    Meter.count(Name, Labels, static_cast<double>(New - Old));
  };
  Count("permits_total", {{"outcome", "issued"}}, Reported.Issued,
        Counts.Issued);
  Count("permits_total", {{"outcome", "denied"}}, Reported.Denied,
        Counts.Denied);
  Count("limited_operations_total", {{"outcome", "granted"}}, Reported.Granted,
        Counts.Granted);
  Count("limited_operations_total", {{"outcome", "over_limit"}},
        Reported.OverLimit, Counts.OverLimit);
  Count("limited_operations_total", {{"outcome", "unavailable"}},
        Reported.Unavailable, Counts.Unavailable);
  Meter.set("permit_leases", static_cast<double>(Counts.Leases));
  Meter.set("permit_buckets", static_cast<double>(Counts.Buckets));
  Reported = Counts;
}

void RateLimitDriver::logOverLimit(TimePoint Now) {
  if (Refused.empty() || Now < NextLog)
    return;
  NextLog = Now + internal::OverLimitLogInterval;
  std::vector<std::pair<std::uint64_t, std::string>> Most;
  for (const auto &[Account, Count] : Refused)
    Most.emplace_back(Count, Account);
  std::sort(Most.rbegin(), Most.rend());
  std::size_t Logged = std::min(Most.size(), internal::MaxLoggedAccounts);
  for (std::size_t I = 0; I < Logged; ++I)
    internal::Logger.info(
        "account over its rate limit",
        {{"account", Most[I].second},
         {"refused", std::to_string(Most[I].first)},
         {"other_accounts", std::to_string(Most.size() - Logged)}});
  Refused.clear();
}

} // namespace cicadawind
