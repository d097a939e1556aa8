#ifndef CICADAWIND_CONFIG_CONFIGDIFFERENCE_H
#define CICADAWIND_CONFIG_CONFIGDIFFERENCE_H

#include <string>

namespace cicadawind {

/// \class ConfigDifference
/// \brief One difference between two versions of the configuration.
///
/// Invariant: no member contains an API key; of keys only the number is given.
struct ConfigDifference {
  enum class Kind {
    /// Old and New are the versions; the next one is not higher.
    VersionNotHigher,
    RouteAdded,
    RouteRemoved,
    RouteChanged,
    GroupAdded,
    GroupRemoved,
    GroupLimitChanged,
    CallerLimitChanged,
    /// From now on callers need a key, or need none.
    AccountsEnabled,
    AccountsDisabled,
    AccountAdded,
    AccountRemoved,
    AccountPriorityChanged,
    /// New is the number of keys that were added.
    KeysAdded,
    /// Old is the number of keys that were removed.
    KeysRemoved,
    RateLimitAdded,
    RateLimitRemoved,
    /// One of the rate and the burst, which Field names, is higher or lower.
    RateLimitRaised,
    RateLimitLowered,
  };

  Kind What = Kind::RouteChanged;
  /// Name of the route's database, of the group or of the account; empty for
  /// others.
  std::string Name;
  /// The setting that differs; empty if the whole entry is new or gone.
  std::string Field;
  /// The setting's values, with their units; empty if there is none.
  std::string Old;
  std::string New;

  bool operator==(const ConfigDifference &) const = default;
};

/// Returns the name of \p What for programs, such as "route_added".
const char *toString(ConfigDifference::Kind What);

} // namespace cicadawind

#endif
