#ifndef CICADAWIND_POOLER_POOLERSERVICE_H
#define CICADAWIND_POOLER_POOLERSERVICE_H

#include "Pooler/GroupMonitor.h"
#include "Pooler/TargetRegistry.h"
#include "Pooler/TransactionTable.h"
#include "Wire/ExecuteRequest.h"
#include "Wire/ExecuteResponse.h"

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>

namespace cicadawind {

class DatabaseGroup;
class Metrics;
class ObjectStore;
class PeerNode;
class TargetPool;

/// \class PoolerService
/// \brief Serves the requests that routers send to this pooler.
///
/// Routers prefer the pooler that owns a target, but a pooler serves requests
/// for any target: correctness depends only on the target's term check and on
/// the lease. Runs on the loop's thread.
class PoolerService {
public:
  struct Options {
    TargetRegistry::Options Targets;
    /// Longest wait for a replica to catch up if its data is too old for the
    /// read. Does not limit the time for refreshing the reports, which happens
    /// at most once for each read.
    Duration MaxCatchUpWait = std::chrono::milliseconds(20);
    /// Time for which a leaving target still accepts new work, and a leaving VM
    /// still accepts statements outside transactions.
    Duration LeaveGracePeriod = std::chrono::seconds(2);
  };

  PoolerService(boost::asio::io_context &Loop, Options Opts, PeerNode &Peers,
                DatabaseGroup &Group, ObjectStore &Store, Metrics &Meter);
  ~PoolerService();

  /// Starts the maintenance loop.
  void start();

  /// Serves one request. Failures are part of the response.
  boost::asio::awaitable<ExecuteResponse> serve(ExecuteRequest Request);

  /// Returns the number of requests that this pooler is serving.
  std::size_t inFlight() const { return RequestsInFlight; }
  std::size_t openTransactions() const { return Transactions.size(); }

  /// Refuses new transactions from now on, and statements outside transactions
  /// after Options::LeaveGracePeriod. At \p Limit, rolls back the transactions
  /// that run no statement; each other one follows when its statement has
  /// ended.
  void drain(TimePoint Limit);

  /// Returns the state of databases, terms and pools for operators.
  nlohmann::json status() const;

private:
  /// The objects that serve a request's target.
  struct ResolvedTarget {
    std::shared_ptr<GroupMonitor> Monitor;
    std::shared_ptr<TargetPool> Pool;
  };

  boost::asio::awaitable<ExecuteResponse> dispatch(ExecuteRequest Request);
  boost::asio::awaitable<ExecuteResponse> statement(ExecuteRequest Request);
  boost::asio::awaitable<ExecuteResponse> runOnReplica(ExecuteRequest Request,
                                                       ResolvedTarget Resolved);
  boost::asio::awaitable<ExecuteResponse> runOnPrimary(ExecuteRequest Request,
                                                       ResolvedTarget Resolved);
  boost::asio::awaitable<ExecuteResponse> confirm(ExecuteRequest Request);
  boost::asio::awaitable<ExecuteResponse> begin(ExecuteRequest Request);
  boost::asio::awaitable<ExecuteResponse>
  runInTransaction(ExecuteRequest Request);
  boost::asio::awaitable<ExecuteResponse> commit(ExecuteRequest Request);
  boost::asio::awaitable<ExecuteResponse> repeatCommit(ExecuteRequest Request);
  boost::asio::awaitable<ExecuteResponse> rollback(ExecuteRequest Request);
  boost::asio::awaitable<Result<StatementReply>>
  runInSlot(std::shared_ptr<TargetPool> Pool, ExecuteRequest Request,
            Term ExpectedTerm, TimePoint Deadline, Millis &Queued);

  Result<ResolvedTarget> resolve(const ExecuteRequest &Request);
  Status checkPosition(const ResolvedTarget &Resolved,
                       LogPosition MinPosition) const;
  Status checkPrimary(const ResolvedTarget &Resolved,
                      const std::string &Target) const;
  Status checkLeaving(const ResolvedTarget &Resolved) const;
  boost::asio::awaitable<Status> awaitReplica(const ExecuteRequest &Request,
                                              ResolvedTarget Resolved,
                                              TimePoint Deadline);
  Status checkReplicaReply(const ExecuteRequest &Request,
                           const ResolvedTarget &Resolved,
                           const StatementReply &Reply,
                           ExecuteResponse &Out) const;
  static void fillReplicaState(const std::string &Target,
                               const ResolvedTarget &Resolved,
                               ExecuteResponse &Out);
  void fillPrimary(const ResolvedTarget &Resolved, ExecuteResponse &Out) const;

  boost::asio::awaitable<void> maintainLoop();
  void endTransactions(TimePoint Now);

  boost::asio::io_context &Loop;
  Options Opts;
  PeerNode &Peers;
  Metrics &Meter;
  TargetRegistry Targets;
  TransactionTable Transactions;
  std::size_t RequestsInFlight = 0;
  std::optional<TimePoint> DrainStart;
  /// When the drain ends the transactions that are still open.
  std::optional<TimePoint> DrainLimit;
};

} // namespace cicadawind

#endif
