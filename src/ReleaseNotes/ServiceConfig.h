#ifndef CICADAWIND_RELEASENOTES_SERVICECONFIG_H
#define CICADAWIND_RELEASENOTES_SERVICECONFIG_H

#include "Core/Clock.h"
#include "Core/Result.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace cicadawind {

/// One instance of a database.
struct TargetConfig {
  std::string Name;
  /// "ip:port" of the instance.
  std::string Address;
  std::string FailureDomain;
  std::string Region;
  /// Statements it runs at once.
  unsigned Slots = 2;
  /// Connections it accepts.
  unsigned Connections = 16;
  /// Gets no new work.
  bool Leaving = false;

  bool operator==(const TargetConfig &) const = default;
};

/// One database and its instances by name.
struct DatabaseConfig {
  std::string Name;
  /// Oldest data any read of it may accept.
  Millis StalenessAllowance = Millis::zero();
  std::map<std::string, TargetConfig> Targets;

  bool operator==(const DatabaseConfig &) const = default;
};

/// Limits that hold for the whole system.
struct LimitsConfig {
  Millis MaxDeadline = std::chrono::seconds(60);
  Millis IdleTransaction = std::chrono::seconds(10);
  Millis DrainLimit = std::chrono::seconds(20);
  unsigned QueueLimit = 512;

  bool operator==(const LimitsConfig &) const = default;
};

/// \class ServiceConfig
/// \brief Everything that release notes govern, after note Number.
struct ServiceConfig {
  /// Number of the last note applied; 0 before the first.
  std::uint64_t Number = 0;
  std::map<std::string, DatabaseConfig> Databases;
  std::set<std::string> WithdrawnVms;
  LimitsConfig Limits;

  bool operator==(const ServiceConfig &) const = default;

  /// The target, or null.
  const TargetConfig *findTarget(const std::string &Database,
                                 const std::string &Target) const;
};

/// JSON text of \p Config, for snapshots.
std::string encodeConfig(const ServiceConfig &Config);

/// Inverse of encodeConfig; BadRequest on malformed text.
Result<ServiceConfig> decodeConfig(const std::string &Text);

} // namespace cicadawind

#endif
