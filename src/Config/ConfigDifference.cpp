#include "Config/ConfigDifference.h"

namespace cicadawind {

const char *toString(ConfigDifference::Kind What) {
  using Kind = ConfigDifference::Kind;
  switch (What) {
  case Kind::VersionNotHigher:
    return "version_not_higher";
  case Kind::RouteAdded:
    return "route_added";
  case Kind::RouteRemoved:
    return "route_removed";
  case Kind::RouteChanged:
    return "route_changed";
  case Kind::GroupAdded:
    return "group_added";
  case Kind::GroupRemoved:
    return "group_removed";
  case Kind::GroupLimitChanged:
    return "group_limit_changed";
  case Kind::CallerLimitChanged:
    return "caller_limit_changed";
  case Kind::AccountsEnabled:
    return "accounts_enabled";
  case Kind::AccountsDisabled:
    return "accounts_disabled";
  case Kind::AccountAdded:
    return "account_added";
  case Kind::AccountRemoved:
    return "account_removed";
  case Kind::AccountPriorityChanged:
    return "account_priority_changed";
  case Kind::KeysAdded:
    return "keys_added";
  case Kind::KeysRemoved:
    return "keys_removed";
  case Kind::RateLimitAdded:
    return "rate_limit_added";
  case Kind::RateLimitRemoved:
    return "rate_limit_removed";
  case Kind::RateLimitRaised:
    return "rate_limit_raised";
  case Kind::RateLimitLowered:
    return "rate_limit_lowered";
  }
  return "unknown";
}

} // namespace cicadawind
