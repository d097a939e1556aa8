#ifndef CICADAWIND_DAEMONS_RATELIMITDRIVER_H
#define CICADAWIND_DAEMONS_RATELIMITDRIVER_H

#include "Core/Clock.h"
#include "Core/Random.h"
#include "Leases/VoterList.h"
#include "Quotas/QuotaService.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cicadawind {

class AccountDirectory;
class Metrics;
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
  };

  RateLimitDriver(Options Opts, PeerExchange &Peers, Metrics &Meter);

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
  void reportCounts();
  void logOverLimit(TimePoint Now);

  PeerExchange &Peers;
  Metrics &Meter;
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
