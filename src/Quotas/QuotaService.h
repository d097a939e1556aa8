#ifndef CICADAWIND_QUOTAS_QUOTASERVICE_H
#define CICADAWIND_QUOTAS_QUOTASERVICE_H

#include "Core/Clock.h"
#include "Core/Random.h"
#include "Membership/VmEntry.h"
#include "Quotas/Electorate.h"
#include "Quotas/IssuerSeat.h"
#include "Quotas/IssuerVotes.h"
#include "Quotas/LimitShares.h"
#include "Quotas/PermitClient.h"
#include "Quotas/PermitOutcome.h"
#include "Quotas/QuotaCounts.h"
#include "Quotas/QuotaMessage.h"
#include "Quotas/QuotaTimes.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadawind {

class AccountDirectory;

/// \class QuotaService
/// \brief One VM's part in the rate limit of client accounts over all VMs.
///
/// Asks for permits for this VM's operations, votes on the issuers of its
/// failure domain, and issues permits where it is the issuer. Sends nothing
/// unless an account has a limit, except for votes. Performs no input or output
/// and reads no clock. Memory is O(accounts + VMs). Not thread safe.
class QuotaService {
public:
  struct Options {
    std::string Vm;
    std::string FailureDomain;
    /// Region of each failure domain; the same on all VMs.
    std::map<std::string, std::string> Regions;
    RandomSource Random;
    /// When this process started, or later.
    TimePoint StartedAt;
    std::function<void(const std::string &Vm, const QuotaMessage &)> Send;
    RateTolerance Tolerance;
    QuotaTimes Times;
    WitnessTimes Witness;
    /// Called when this VM becomes the issuer of a partition, and when it is
    /// none any more; may be empty.
    std::function<void(unsigned Partition, bool Begins)> OnLease;
    /// Called for each operation that is refused because its account is over
    /// its limit; may be empty.
    std::function<void(const std::string &Account, Duration RetryAfter)>
        OnOverLimit;
  };
  using Hook = std::function<void(const PermitOutcome &)>;

  explicit QuotaService(Options NewOpts);
  QuotaService(const QuotaService &) = delete;
  QuotaService &operator=(const QuotaService &) = delete;

  /// Sets the accounts of the active configuration.
  void setAccounts(const AccountDirectory &Accounts, TimePoint Now);
  /// Sets the other live VMs. Those that leave are asked for nothing.
  void setPeers(const std::vector<VmEntry> &LivePeers);
  /// Sets the VMs of the own failure domain that count for a majority, live or
  /// not. Until then this VM neither claims a lease nor votes. \p Gone are
  /// those that leave, and announced it at least QuotaTimes::leaverLifetime()
  /// ago.
  void setVoters(const std::set<std::string> &OwnDomain,
                 const std::set<std::string> &Gone = {});
  /// Returns the VMs of the own failure domain that a majority has left out
  /// because they are silent.
  const std::set<std::string> &leftOut() const { return Domain.absent(); }
  /// Returns whether this VM should ask for the store's vote: the domain has
  /// two VMs, and the other one has not been live for some time. See
  /// QuorumWitness.
  bool wantsWitness(TimePoint Now) const;
  /// Sets the function that returns whether this VM has the store's vote until
  /// a given time at least.
  void setWitness(std::function<bool(TimePoint)> IsHeldUntil) {
    HasWitnessUntil = std::move(IsHeldUntil);
  }
  /// Returns whether an account has a limit.
  bool isActive() const { return IsActive; }

  /// Asks for a permit for one operation of \p Account. Calls \p OnOutcome
  /// exactly once, maybe before it returns, unless cancel() is called: Granted
  /// at once if the account has no limit or is not known; otherwise at the
  /// first sweep() after \p GiveUpAt at the latest. A permit is to be used at
  /// once. Returns a ticket for cancel().
  std::uint64_t admit(const std::string &Account, TimePoint GiveUpAt,
                      TimePoint Now, Hook OnOutcome);
  /// The hook is not called any more.
  void cancel(std::uint64_t Ticket) { Client.cancel(Ticket); }

  void receive(const std::string &From, const QuotaMessage &Message,
               TimePoint Now);
  /// Applies time limits; called every few milliseconds.
  void sweep(TimePoint Now);
  /// Gives up the leases of this VM for good, because it stops. It goes on
  /// voting for QuotaTimes::LeaverVotes.
  void leave(TimePoint Now);

  /// Returns whether this VM issues the permits of \p Partition.
  bool isIssuer(unsigned Partition, TimePoint Now) {
    return Seats.at(Partition).isIssuer(Now);
  }
  QuotaCounts counts() const;
  /// Returns when permits are issued at the latest if all VMs have started with
  /// this one.
  TimePoint firstPermitsAt() const {
    return Opts.StartedAt + Opts.Times.LeaseLength +
           2 * Opts.Times.ClaimTimeout;
  }

private:
  void handle(const std::string &From, const IssuerClaim &Claim, TimePoint Now);
  void handle(const std::string &From, const IssuerVote &Vote, TimePoint Now);
  void handle(const std::string &From, const IssuerRelease &Release, TimePoint);
  void handle(const std::string &From, const PermitRequest &Request,
              TimePoint Now);
  void handle(const std::string &From, const PermitReply &Reply, TimePoint Now);
  std::optional<PermitReply::Item>
  take(unsigned Partition, const PermitRequest::Item &Asked, TimePoint Now);
  bool mayIssue() const { return IsActive && !LeavingSince; }
  bool mayVote(TimePoint Now) const {
    return !LeavingSince || Now - *LeavingSince < Opts.Times.LeaverVotes;
  }
  void sweepSeat(unsigned Partition, TimePoint Now);
  void sendClaim(unsigned Partition, TimePoint Now);
  void sendRelease(unsigned Partition);
  void recordVote(unsigned Partition, std::uint64_t Number,
                  const std::string &Voter, Duration Idle, TimePoint Now);
  /// Returns the time for which this VM has issued no permit of \p Partition.
  Millis idleTime(unsigned Partition, TimePoint Now);
  /// Reports a lease that has begun or ended since the last call.
  void reportLease(unsigned Partition, TimePoint Now);
  /// Returns whether too few VMs of the domain are live for a majority.
  bool isShortOfVotes() const;
  /// Returns whether that has been so for some time in a domain in which the
  /// store has a vote.
  bool isShortForLong(TimePoint Now) const;
  /// Returns whether a claim sent at \p Now may count on the store's vote.
  bool hasWitness(TimePoint Now) const;
  /// Returns the number of votes that a claim sent at \p Now needs.
  std::size_t votesNeeded(unsigned Partition, TimePoint Now) const;
  /// Returns this VM's rank among the live candidates; empty if it is none.
  std::optional<std::size_t> rankIn(unsigned Partition, TimePoint Now) const;
  PermitClient::Options clientOptions();

  Options Opts;
  LimitShares Shares;
  IssuerVotes Votes;
  Electorate Domain;
  std::vector<IssuerSeat> Seats;
  PermitClient Client;
  /// Identifies this process.
  std::uint64_t Incarnation;
  std::uint64_t LastClaim = 0;
  /// VMs of the own failure domain that are live and do not leave.
  std::set<std::string> LiveVms;
  bool IsActive = false;
  /// Since when the live VMs have been no majority; empty while they are.
  std::optional<TimePoint> ShortSince;
  std::function<bool(TimePoint)> HasWitnessUntil;
  /// When this VM began to leave; empty if it does not.
  std::optional<TimePoint> LeavingSince;
  /// Partitions whose lease has been reported as begun.
  std::set<unsigned> ReportedLeases;
  QuotaCounts Counts;
};

} // namespace cicadawind

#endif
