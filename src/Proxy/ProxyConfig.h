#ifndef CICADAWIND_PROXY_PROXYCONFIG_H
#define CICADAWIND_PROXY_PROXYCONFIG_H

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace cicadawind {

/// How current the reads of a database have to be.
enum class Consistency {
  /// Every read sees all acknowledged writes.
  Latest,
  /// Reads may see data up to a stated age.
  BoundedStaleness,
  /// As BoundedStaleness, and a session sees its own writes.
  ReadYourWrites,
};

/// \class RouteConfig
/// \brief Where statements of one database go and what they are owed.
struct RouteConfig {
  std::string Database;
  /// Group of targets that holds the database.
  std::string Group;
  Consistency Reads = Consistency::Latest;
  /// Oldest data that reads may see; meaningless for Latest.
  Millis MaxStaleness = Millis::zero();
  /// Longest time for one statement.
  Millis StatementTimeout = Millis(1000);
  /// Time within which an operation is expected to end.
  Millis LatencyObjective = Millis(500);
  /// 0 goes first.
  unsigned Priority = 0;

  bool operator==(const RouteConfig &) const = default;
};

/// Limits of one group of targets.
struct GroupLimits {
  /// Connections that each target accepts from all VMs together.
  unsigned MaxConnections = 16;

  bool operator==(const GroupLimits &) const = default;
};

/// Limits on callers' connections.
struct CallerLimits {
  std::size_t MaxMessageBytes = std::size_t{256} * 1024;
  /// Time in which a message that has begun must be complete.
  Millis IncompleteMessage = Millis(3000);
  Millis IdleSession = Millis(15000);
  Millis IdleTransaction = Millis(3000);

  bool operator==(const CallerLimits &) const = default;
};

/// \class ProxyConfig
/// \brief The configuration that operators put in force, one version of it.
struct ProxyConfig {
  /// 0 before the first.
  std::uint64_t Version = 0;
  /// By name of the database.
  std::map<std::string, RouteConfig> Routes;
  std::map<std::string, GroupLimits> Groups;
  CallerLimits Callers;

  const RouteConfig *findRoute(const std::string &Database) const {
    auto It = Routes.find(Database);
    return It == Routes.end() ? nullptr : &It->second;
  }
};

} // namespace cicadawind

#endif
