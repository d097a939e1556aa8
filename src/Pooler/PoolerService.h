#ifndef CICADAWIND_POOLER_POOLERSERVICE_H
#define CICADAWIND_POOLER_POOLERSERVICE_H

#include "Core/Random.h"
#include "Observability/Log.h"
#include "Pooler/GroupMonitor.h"
#include "Pooler/TransactionTable.h"
#include "StateCharts/ChartSet.h"
#include "Wire/ExecuteAnswer.h"
#include "Wire/ExecuteRequest.h"

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <string>

namespace cicadawind {

class DatabaseGroup;
class Metrics;
class ObjectStore;
class PeerNode;
class TargetPool;

/// \class PoolerService
/// \brief Serves routers' requests to the targets that this pooler owns.
///
/// Ownership comes from rendezvous hashing over the failure domain's poolers
/// and is a hint: a request for any target is served, and safety rests on the
/// target's term check and the lease alone. Runs on the loop's thread.
class PoolerService {
public:
  struct Options {
    std::string Vm;
    ChartSet Charts;
    RandomSource Random;
    /// Silence of a primary after which it is replaced.
    Duration SuspectAfter = std::chrono::milliseconds(600);
    /// Wait for a lagging replica to reach a session's position.
    Duration CatchUpWait = std::chrono::milliseconds(20);
    /// How long a leaving target or VM still gets new work.
    Duration LeaveGrace = std::chrono::seconds(2);
    /// An unowned and unused database is no longer watched after this time.
    Duration UnusedLimit = std::chrono::seconds(30);
  };

  PoolerService(boost::asio::io_context &Loop, Options Opts, PeerNode &Peers,
                DatabaseGroup &Group, ObjectStore &Store, Metrics &Meter);
  ~PoolerService();

  void start();

  boost::asio::awaitable<ExecuteAnswer> serve(ExecuteRequest Request);

  /// Requests being served and transactions that are open.
  std::size_t inFlight() const { return Serving; }
  std::size_t openTransactions() const { return Transactions.size(); }

  /// Begins to refuse new work; transactions may end until \p Limit.
  void drain(TimePoint Limit);

  /// State for operators: databases, terms, pools.
  nlohmann::json status() const;

private:
  struct Place {
    std::shared_ptr<GroupMonitor> Monitor;
    std::shared_ptr<TargetPool> Pool;
  };

  boost::asio::awaitable<ExecuteAnswer> dispatch(ExecuteRequest Request);
  boost::asio::awaitable<ExecuteAnswer> statement(ExecuteRequest Request);
  boost::asio::awaitable<ExecuteAnswer> readReplica(ExecuteRequest Request,
                                                    Place At);
  boost::asio::awaitable<ExecuteAnswer> usePrimary(ExecuteRequest Request,
                                                   Place At);
  boost::asio::awaitable<ExecuteAnswer> confirm(ExecuteRequest Request);
  boost::asio::awaitable<ExecuteAnswer> begin(ExecuteRequest Request);
  boost::asio::awaitable<ExecuteAnswer> inTransaction(ExecuteRequest Request);
  boost::asio::awaitable<ExecuteAnswer> commit(ExecuteRequest Request);
  boost::asio::awaitable<ExecuteAnswer> commitAgain(ExecuteRequest Request);
  boost::asio::awaitable<ExecuteAnswer> rollback(ExecuteRequest Request);
  boost::asio::awaitable<Result<StatementAnswer>>
  runInSlot(std::shared_ptr<TargetPool> Pool, ExecuteRequest Request,
            Term Believed, TimePoint Deadline, Millis &Queued);

  Result<Place> locate(const ExecuteRequest &Request);
  Status checkPosition(const Place &At, LogPosition AtLeast) const;
  Status checkPrimary(const Place &At, const std::string &Target) const;
  Status checkLeaving(const Place &At) const;
  boost::asio::awaitable<Status> awaitReplica(const ExecuteRequest &Request,
                                              Place At, TimePoint Deadline);
  Status checkReplicaAnswer(const ExecuteRequest &Request, const Place &At,
                            const StatementAnswer &Answer,
                            ExecuteAnswer &Out) const;
  static void tellReplicaState(const std::string &Target, const Place &At,
                               ExecuteAnswer &Out);
  void fillPrimary(const Place &At, ExecuteAnswer &Out) const;

  std::shared_ptr<GroupMonitor> monitorOf(const std::string &Database);
  std::shared_ptr<TargetPool> poolOf(const std::string &Database,
                                     const std::string &Target);
  boost::asio::awaitable<void> maintainLoop();
  void maintain();
  void takeOwnership();
  void releasePools(TimePoint Now);
  void reconfigure();
  static void requestHandover(GroupMonitor &Monitor);
  Duration rankDelay(const DatabaseConfig &Database) const;
  boost::asio::awaitable<std::optional<TermRecord>>
  askPeers(std::string Database);
  void registerMethods();
  void endTransactions(TimePoint Now);

  boost::asio::io_context &Loop;
  Options Opts;
  PeerNode &Peers;
  DatabaseGroup &Group;
  ObjectStore &Store;
  Metrics &Meter;
  Log Logger{"pooler"};
  std::map<std::string, std::shared_ptr<GroupMonitor>> Monitors;
  std::map<std::string, std::shared_ptr<TargetPool>> Pools;
  std::map<std::string, TimePoint> LastUse;
  std::map<std::string, TimePoint> LeavingSince;
  TransactionTable Transactions;
  /// Databases and targets that this pooler owns.
  std::vector<std::pair<std::string, std::string>> Owned;
  std::uint64_t OwnedVersion = 0;
  TimePoint OwnedSince;
  std::size_t Serving = 0;
  std::optional<TimePoint> DrainStart;
  std::optional<TimePoint> DrainLimit;
};

} // namespace cicadawind

#endif
