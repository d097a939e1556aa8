#ifndef CICADAWIND_RELEASENOTES_SERVICECONFIG_H
#define CICADAWIND_RELEASENOTES_SERVICECONFIG_H

#include "Core/Clock.h"
#include "Core/Result.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace cicadawind {

/// Configuration of one instance of a database.
struct TargetConfig {
  std::string Name;
  /// Address of the instance, as "ip:port".
  std::string Address;
  std::string FailureDomain;
  std::string Region;
  /// Number of statements that the instance runs at once.
  unsigned Slots = 2;
  /// Number of connections that the instance accepts.
  unsigned Connections = 16;
  /// Whether the instance is leaving and must get no new work.
  bool Leaving = false;

  bool operator==(const TargetConfig &) const = default;
};

/// Configuration of one database, with its instances by name.
struct DatabaseConfig {
  std::string Name;
  /// Age of the oldest data that a read of the database may accept.
  Millis StalenessAllowance = Millis::zero();
  std::map<std::string, TargetConfig> Targets;

  bool operator==(const DatabaseConfig &) const = default;
};

/// Limits that apply to the whole system.
struct LimitsConfig {
  /// Longest time that a request may have until its deadline.
  Millis MaxDeadline = std::chrono::seconds(60);
  /// Time without a statement after which an open transaction is rolled back.
  Millis IdleTransaction = std::chrono::seconds(10);
  /// Time after which a planned stop rolls back open transactions.
  Millis DrainLimit = std::chrono::seconds(20);
  /// Maximum number of statements that are queued for one target.
  unsigned QueueLimit = 512;

  bool operator==(const LimitsConfig &) const = default;
};

/// \class ServiceConfig
/// \brief Configuration that results from all release notes up to Number.
struct ServiceConfig {
  /// Number of the note applied last; 0 before the first note.
  std::uint64_t Number = 0;
  std::map<std::string, DatabaseConfig> Databases;
  std::set<std::string> WithdrawnVms;
  LimitsConfig Limits;

  bool operator==(const ServiceConfig &) const = default;

  /// Returns the configuration of \p Target of \p Database; null if there is
  /// none.
  const TargetConfig *findTarget(const std::string &Database,
                                 const std::string &Target) const;
};

/// Returns \p Config as JSON text, for snapshots.
std::string encodeConfig(const ServiceConfig &Config);

/// Parses text written by encodeConfig. Returns BadRequest if \p Text is
/// malformed.
Result<ServiceConfig> decodeConfig(const std::string &Text);

} // namespace cicadawind

#endif
