#ifndef CICADAWIND_CONFIG_PROXYCONFIG_H
#define CICADAWIND_CONFIG_PROXYCONFIG_H

#include "Accounts/AccountDirectory.h"
#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace cicadawind {

/// Consistency that the reads of a database require.
enum class Consistency {
  /// Every read sees all writes that were acknowledged before it began.
  Latest,
  /// Reads may see data up to the age MaxStaleness.
  BoundedStaleness,
  /// Like BoundedStaleness, but each session sees its own writes.
  ReadYourWrites,
};

/// \class RouteConfig
/// \brief Route of the statements of one database, and their limits.
struct RouteConfig {
  std::string Database;
  /// Group of targets that stores the database.
  std::string Group;
  Consistency Reads = Consistency::Latest;
  /// Maximum age of the data that reads may see; unused for Latest.
  Millis MaxStaleness = Millis::zero();
  /// Timeout of one statement.
  Millis StatementTimeout = Millis(1000);
  /// Time within which a statement is expected to complete. A quarter of it is
  /// the time that an attempt may wait for a connection.
  Millis LatencyObjective = Millis(500);
  /// Priority of the statements; 0 is the highest.
  unsigned Priority = 0;
  /// Whether callers need no API key even where accounts are listed.
  bool Public = false;

  bool operator==(const RouteConfig &) const = default;
};

/// Limits of one group of targets.
struct GroupLimits {
  /// Maximum number of connections that a target accepts from all VMs together.
  unsigned MaxConnections = 16;
  /// Number of replicas that have received a commit before it is acknowledged.
  /// An acknowledged commit is in the logs of one target more than that.
  unsigned SynchronousReplicas = 0;

  bool operator==(const GroupLimits &) const = default;
};

/// Limits on the connections of callers.
struct CallerLimits {
  /// Maximum size of the text of a request.
  std::size_t MaxMessageBytes = std::size_t{256} * 1024;
  /// Timeout of a message of which only a part has arrived, and of a connection
  /// that has not started its session.
  Millis IncompleteMessage = Millis(3000);
  /// Timeout of a session that sends nothing.
  Millis IdleSession = Millis(15000);
  /// Timeout of an open transaction whose session sends nothing.
  Millis IdleTransaction = Millis(3000);

  bool operator==(const CallerLimits &) const = default;
};

/// \class ProxyConfig
/// \brief One version of the configuration that operators make active.
struct ProxyConfig {
  /// Number of the version; 0 before the first one is active.
  std::uint64_t Version = 0;
  /// Routes by name of the database.
  std::map<std::string, RouteConfig> Routes;
  /// Limits by name of the group.
  std::map<std::string, GroupLimits> Groups;
  CallerLimits Callers;
  /// Disabled if the configuration does not tell accounts apart.
  AccountDirectory Accounts;

  const RouteConfig *findRoute(const std::string &Database) const {
    auto It = Routes.find(Database);
    return It == Routes.end() ? nullptr : &It->second;
  }
};

} // namespace cicadawind

#endif
