#include "Router/RoutingCache.h"

namespace cicadawind {

void RoutingCache::recordResponse(const std::string &Database,
                                  const std::string &Target,
                                  const ExecuteResponse &Response,
                                  TimePoint Now) {
  DatabaseState &State = Databases[Database];
  if (Response.Hint.CurrentTerm >= State.Hint.CurrentTerm &&
      Response.Hint.CurrentTerm > 0)
    State.Hint = Response.Hint;
  InstanceView &View = State.Instances[Target];
  if (!Response.Failure)
    View.QueueWait = Response.Queued;
  // A pooler that refuses a read on a replica returns the replica's state, too.
  if (!Response.FromPrimary && Response.FreshnessAge > Millis::zero())
    View.recordReply(Response.Position, Response.FreshnessAge, Now);
}

void RoutingCache::avoid(const std::string &Database, const std::string &Target,
                         TimePoint Until) {
  Databases[Database].Instances[Target].NotBefore = Until;
}

PrimaryHint RoutingCache::hintOf(const std::string &Database) const {
  auto It = Databases.find(Database);
  return It == Databases.end() ? PrimaryHint() : It->second.Hint;
}

std::vector<InstanceView>
RoutingCache::instances(const DatabaseConfig &Config) const {
  std::vector<InstanceView> Out;
  auto It = Databases.find(Config.Name);
  for (const auto &[Name, Target] : Config.Targets) {
    InstanceView View;
    if (It != Databases.end()) {
      auto Seen = It->second.Instances.find(Name);
      if (Seen != It->second.Instances.end())
        View = Seen->second;
    }
    View.Name = Name;
    View.FailureDomain = Target.FailureDomain;
    View.Region = Target.Region;
    View.Leaving = Target.Leaving;
    Out.push_back(View);
  }
  return Out;
}

} // namespace cicadawind
