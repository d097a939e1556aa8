#ifndef CICADAWIND_QUOTAS_PERMITCLIENT_H
#define CICADAWIND_QUOTAS_PERMITCLIENT_H

#include "Core/Clock.h"
#include "Core/Random.h"
#include "Quotas/IssuerChannel.h"
#include "Quotas/IssuerDirectory.h"
#include "Quotas/LimitShares.h"
#include "Quotas/PermitOutcome.h"
#include "Quotas/PermitQueue.h"
#include "Quotas/QuotaMessage.h"
#include "Quotas/QuotaTimes.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadawind {

/// \class PermitClient
/// \brief Gets permits for the operations that callers of this VM ask for.
///
/// Asks the issuer of the own failure domain, then those of the region, then
/// the others; each for all operations that wait, with at most one request a
/// partition and failure domain at a time. A denial is remembered, and while
/// all failure domains deny, operations are refused at once, except for a few
/// that can wait until there may be a permit.
///
/// Invariant: a permit is used within PermitLifetime from the sending of its
/// request. admit() costs O(failure domains + accounts of the partition that
/// wait). Not thread safe.
class PermitClient {
public:
  using Hook = std::function<void(const PermitOutcome &)>;
  struct Options {
    std::string OwnVm;
    std::string FailureDomain;
    /// Region of each failure domain.
    std::map<std::string, std::string> Regions;
    QuotaTimes Times;
    RandomSource Random;
    std::function<void(const std::string &Vm, const PermitRequest &)> Send;
    /// Takes permits from this VM's own bucket; empty if this VM is not the
    /// issuer.
    std::function<std::optional<PermitReply::Item>(
        unsigned Partition, const PermitRequest::Item &, TimePoint)>
        TakeLocally;
    /// Returns the VM that this VM voted for as the issuer of a partition of
    /// the own failure domain; empty if there is none.
    std::function<std::string(unsigned Partition, TimePoint)> FindOwnIssuer;
  };

  explicit PermitClient(Options NewOpts);

  /// Sets the accounts that have a limit, with the failure domains that issue
  /// permits of each.
  void setAccounts(std::map<std::string, std::vector<std::string>> Issuers,
                   TimePoint Now);
  /// Sets the other live VMs, by failure domain.
  void setVms(std::map<std::string, std::vector<std::string>> LiveVms) {
    Directory.setVms(std::move(LiveVms));
  }

  /// See QuotaService.
  std::uint64_t admit(const std::string &Account, TimePoint GiveUpAt,
                      TimePoint Now, Hook OnOutcome);
  void cancel(std::uint64_t Ticket);
  void receive(const std::string &From, const PermitReply &Reply,
               TimePoint Now);
  void sweep(TimePoint Now);

private:
  /// Number of operations of an account that may wait although all failure
  /// domains deny, and the time that the request for a permit may take then.
  static constexpr std::size_t MaxHeld = 2;
  static constexpr Duration HeldRequestTime = std::chrono::milliseconds(10);

  /// Time after a denial has ended for which an account counts as over its
  /// limit if it gets no permit.
  static constexpr Duration DenialMemory = std::chrono::milliseconds(500);

  struct Account {
    unsigned Partition = 0;
    /// Failure domains that issue permits, by the order in which they are
    /// asked.
    std::vector<std::string> Issuers;
    std::map<std::string, TimePoint> DeniedUntil;
    PermitQueue Queue;
  };
  struct Request {
    std::string FailureDomain;
    std::string To;
    PermitRequest Message;
    TimePoint SentAt;
    /// Whether the reply is no longer waited for.
    bool IsLost = false;
  };
  /// Items of the next request to each failure domain.
  using Batches = std::map<std::string, std::vector<PermitRequest::Item>>;

  /// Sends requests for the operations of \p Partition that wait, and refuses
  /// those that have to be refused.
  void ask(unsigned Partition, TimePoint Now);
  /// Adds the operations of \p Each to the request to the first failure domain
  /// that may have permits.
  void place(const std::string &Name, Account &Each, Batches &Out,
             TimePoint Now);
  /// Returns whether this VM is the issuer and has granted all that is asked.
  bool takeLocally(const std::string &Name, Account &Each, TimePoint Now);
  void refuse(Account &Each, TimePoint Now);
  /// Sends a request with \p Items, as far as they fit. Returns false if there
  /// is no VM to ask, and pauses the requests to the failure domain.
  bool send(const std::string &Domain, unsigned Partition,
            std::vector<PermitRequest::Item> Items, TimePoint Now);
  void applyPermits(const Request &Sent, const PermitReply &Reply,
                    TimePoint Now);
  void recordDenial(Account &Each, const std::string &Domain,
                    Duration RetryAfter, TimePoint Now);
  /// Handles that \p Sent went to a VM that is not the issuer.
  void redirect(const Request &Sent, const std::string &Issuer, TimePoint Now);
  void dropLostRequests(TimePoint Now);
  /// Stops to wait for the permits of \p Sent.
  void recordAnswered(const Request &Sent);
  void finish(PermitQueue::Operations Operations, PermitOutcome Outcome);
  /// Calls the hooks of the operations that have an outcome. These may call
  /// admit() and cancel().
  void deliver();
  /// Returns why an operation got no permit in its time.
  static PermitOutcome outcomeOfExpired(const Account &Each, TimePoint Now);
  /// Returns the time until a failure domain may have permits.
  static Duration untilRetry(const Account &Each, TimePoint Now);
  std::vector<std::string> inAskingOrder(std::vector<std::string> Domains);
  bool isNear(const std::string &Domain) const;
  Duration replyTimeout(const std::string &Domain) const;

  Options Opts;
  IssuerDirectory Directory;
  std::map<std::string, Account> Accounts;
  /// Names of the accounts of each partition that have operations waiting.
  std::array<std::set<std::string>, QuotaPartitions> Waiting;
  std::map<std::pair<std::string, unsigned>, IssuerChannel> Channels;
  /// Requests whose permits may still be used, by number.
  std::map<std::uint64_t, Request> Requests;
  std::uint64_t LastNumber = 0;
  std::uint64_t LastTicket = 0;
  std::deque<std::pair<PermitQueue::Operation, PermitOutcome>> Finished;
};

} // namespace cicadawind

#endif
