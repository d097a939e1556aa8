#ifndef CICADAWIND_POOLER_TARGETREGISTRY_H
#define CICADAWIND_POOLER_TARGETREGISTRY_H

#include "Core/Clock.h"
#include "Core/Random.h"
#include "StateCharts/ChartSet.h"
#include "Terms/TermRecord.h"

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace cicadawind {

class DatabaseGroup;
class GroupMonitor;
class Metrics;
class ObjectStore;
class PeerNode;
class TargetPool;
struct DatabaseConfig;

/// \class TargetRegistry
/// \brief Holds the monitors of the databases and the pools of the targets that
/// a pooler currently uses.
///
/// Rendezvous hashing over the failure domain's poolers decides which targets a
/// pooler owns. Ownership is only a hint: monitors and pools of other targets
/// are created when a request names them and removed when they are unused.
/// Ownership of all targets is recomputed only when members or the
/// configuration change, and every 5 s. Runs on the loop's thread.
class TargetRegistry {
public:
  struct Options {
    std::string Vm;
    std::string FailureDomain;
    std::string Region;
    ChartSet Charts;
    RandomSource Random;
    /// A primary that does not respond for this long is replaced.
    Duration SuspectAfter = std::chrono::milliseconds(600);
    /// The monitor of a database is removed when this pooler has owned none of
    /// the database's targets and has not used the monitor for this long.
    Duration UnusedTimeout = std::chrono::seconds(30);
  };

  TargetRegistry(boost::asio::io_context &Loop, Options Opts, PeerNode &Peers,
                 DatabaseGroup &Group, ObjectStore &Store, Metrics &Meter);

  /// Returns the monitor of \p Database and creates it if needed. Returns null
  /// if the active configuration does not contain the database. Counts as a use
  /// of the monitor.
  std::shared_ptr<GroupMonitor> monitorOf(const std::string &Database);
  /// Returns the monitor of \p Database, or null if there is none.
  std::shared_ptr<GroupMonitor>
  existingMonitor(const std::string &Database) const;

  /// Returns the pool of \p Target and creates it if needed. Returns null if
  /// the active configuration does not contain the target.
  std::shared_ptr<TargetPool> poolOf(const std::string &Database,
                                     const std::string &Target);

  /// Returns when the target was first marked as leaving; empty if it is not
  /// leaving.
  std::optional<TimePoint> leavingSince(const std::string &Database,
                                        const std::string &Target) const;

  /// Creates the monitors and pools of owned targets and removes unused ones.
  /// To be called periodically.
  void maintain();

  /// Returns the state of databases and targets for operators.
  nlohmann::json status() const;

private:
  void registerMethods();
  boost::asio::awaitable<std::optional<TermRecord>>
  queryPeers(std::string Database);
  /// Returns by how much this VM delays a promotion, so that VMs which rank
  /// before it can start one first.
  Duration rankDelay(const DatabaseConfig &Database) const;
  void reconfigure();
  void updateOwnedTargets();
  void removeUnusedPools(TimePoint Now);
  void updatePoolMetrics();

  boost::asio::io_context &Loop;
  Options Opts;
  PeerNode &Peers;
  DatabaseGroup &Group;
  ObjectStore &Store;
  Metrics &Meter;
  std::map<std::string, std::shared_ptr<GroupMonitor>> Monitors;
  std::map<std::string, std::shared_ptr<TargetPool>> Pools;
  /// When the monitor of each database was last used.
  std::map<std::string, TimePoint> LastUse;
  /// When each leaving target was first marked as leaving.
  std::map<std::string, TimePoint> LeavingSince;
  /// Database and target names of the targets that this pooler owns.
  std::vector<std::pair<std::string, std::string>> Owned;
  /// Version of the member table from which Owned was computed.
  std::uint64_t OwnedVersion = 0;
  /// When Owned was last computed.
  TimePoint OwnedComputedAt;
};

} // namespace cicadawind

#endif
