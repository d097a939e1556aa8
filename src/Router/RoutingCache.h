#ifndef CICADAWIND_ROUTER_ROUTINGCACHE_H
#define CICADAWIND_ROUTER_ROUTINGCACHE_H

#include "Core/Clock.h"
#include "ReleaseNotes/ServiceConfig.h"
#include "Routing/InstanceView.h"
#include "Wire/ExecuteResponse.h"
#include "Wire/PrimaryHint.h"

#include <map>
#include <string>
#include <vector>

namespace cicadawind {

/// \class RoutingCache
/// \brief Caches what a router knows about databases' primaries and replicas.
///
/// The contents come from poolers' responses only, so the cache causes no
/// messages of its own. All contents are hints and may be outdated.
class RoutingCache {
public:
  /// Records the state that a response of \p Target's pooler contains.
  void recordResponse(const std::string &Database, const std::string &Target,
                      const ExecuteResponse &Response, TimePoint Now);

  /// Excludes \p Target from the replicas to choose from before \p Until. It is
  /// still used as the primary.
  void avoid(const std::string &Database, const std::string &Target,
             TimePoint Until);

  PrimaryHint hintOf(const std::string &Database) const;

  /// Returns what is known about each target of \p Config.
  std::vector<InstanceView> instances(const DatabaseConfig &Config) const;

private:
  struct DatabaseState {
    PrimaryHint Hint;
    std::map<std::string, InstanceView> Instances;
  };

  std::map<std::string, DatabaseState> Databases;
};

} // namespace cicadawind

#endif
