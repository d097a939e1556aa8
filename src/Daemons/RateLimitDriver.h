#ifndef CICADAWIND_DAEMONS_RATELIMITDRIVER_H
#define CICADAWIND_DAEMONS_RATELIMITDRIVER_H

#include "Core/Clock.h"
#include "Core/Random.h"
#include "Leases/VoterList.h"
#include "Quotas/QuorumWitness.h"
#include "Quotas/QuotaService.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cicadawind {

class AccountDirectory;
class Metrics;
class ObjectStore;
class PeerExchange;

/// \class RateLimitDriver
/// \brief Connects a VM's QuotaService to the other VMs, logs and metrics.
///
/// Runs on the loop's thread.
class RateLimitDriver {
public:
  struct Options {
    std::string Vm;
    std::string FailureDomain;
    /// Region of each failure domain.
    std::map<std::string, std::string> Regions;
    RandomSource Random;
    RateTolerance Tolerance;
    WitnessTimes Witness;
    /// Timeout of one call to the store.
    Duration StoreTimeout = std::chrono::milliseconds(700);
  };

  RateLimitDriver(boost::asio::io_context &Loop, Options Opts,
                  PeerExchange &Peers, ObjectStore &Store, Metrics &Meter);

  QuotaService &quota() { return Quota; }
  /// Sets the accounts of the active configuration.
  void setAccounts(const AccountDirectory &Accounts);
  /// Applies time limits and reports; called every few milliseconds.
  void sweep(TimePoint Now);
  /// Gives up the leases of this VM, because it stops.
  void leave();
  /// Returns the VMs of the own failure domain whose entries in the store are
  /// of no use any more: those that have left, and those that a majority of the
  /// domain has left out because they are silent.
  std::set<std::string> goneVms(TimePoint Now) const;

private:
  QuotaService::Options quotaOptions(Options Opts);
  /// Passes the fleet on, once it is known.
  void updateFleet(TimePoint Now);
  /// Returns the VMs of the own failure domain that count for a majority.
  std::set<std::string> ownVoters(TimePoint Now,
                                  const VoterList::Lifetimes &Times) const;
  /// Returns those of \p Vms that are of the own failure domain.
  std::set<std::string> ofOwnDomain(const std::set<std::string> &Vms) const;
  /// Sets the voters of the own failure domain.
  void updateVoters(TimePoint Now);
  /// Makes the call to the store that the witness needs now.
  void sweepWitness(TimePoint Now);
  boost::asio::awaitable<void> readWitness();
  boost::asio::awaitable<void> writeWitness();
  /// Logs that this VM has, or has no longer, the store's vote.
  void logWitness(TimePoint Now);
  void reportCounts();
  void logOverLimit(TimePoint Now);

  boost::asio::io_context &Loop;
  PeerExchange &Peers;
  ObjectStore &Store;
  Metrics &Meter;
  Duration StoreTimeout;
  QuorumWitness Witness;
  /// Number of this process's updates of the witness.
  std::uint64_t WitnessUpdates = 0;
  bool HadWitness = false;
  QuotaService Quota;
  /// Version of the live peers that Quota has; empty if it has none.
  std::optional<std::uint64_t> LiveVersion;
  TimePoint NextVoters;
  TimePoint NextReport;
  TimePoint NextLog;
  QuotaCounts Reported;
  /// Refused operations since the last log line, by account.
  std::map<std::string, std::uint64_t> Refused;
};

} // namespace cicadawind

#endif
