#include "Routing/ReadRouter.h"

#include <algorithm>
#include <utility>

namespace cicadawind {
namespace internal {

struct RankedReplica {
  Duration Cost;
  std::uint64_t TieBreak;
  const InstanceView *View;
};

} // namespace internal

ReadRouter::ReadRouter(Options NewOpts, RandomSource NewRandom)
    : Opts(std::move(NewOpts)), Random(std::move(NewRandom)) {}

bool ReadRouter::maySatisfy(const ReadConstraints &Constraints,
                            const InstanceView &View, TimePoint Now) const {
  if (View.Leaving || Now < View.NotBefore)
    return false;
  if (!View.Age)
    return true;
  Duration SinceReply = Now - View.ReplyAt;
  // Lag changes slowly. A replica whose data was too old is tried again after a
  // quarter of the excess. Within the margin it may still be tried, because a
  // newer report may show that its data is recent enough.
  if (*View.Age > Constraints.AcceptedAge + Opts.ReportDelayMargin) {
    Duration Excess = (*View.Age - Constraints.AcceptedAge) / 4;
    return SinceReply > std::max<Duration>(Excess, Opts.RetryInterval);
  }
  // Once its lag has elapsed since its reply, a replica has probably applied
  // what it lacked then.
  if (View.Applied >= Constraints.MinPosition || SinceReply > *View.Age)
    return true;
  bool SameTerm = View.Applied.WrittenIn == Constraints.MinPosition.WrittenIn;
  return SameTerm && View.expectedIndex(Now) >= Constraints.MinPosition.Index;
}

Duration ReadRouter::costOf(const InstanceView &View) const {
  Duration Cost = View.QueueWait;
  if (View.Region != Opts.Region)
    return Cost + Opts.OtherRegionCost;
  if (View.FailureDomain != Opts.FailureDomain)
    return Cost + Opts.OtherDomainCost;
  return Cost;
}

std::vector<std::string>
ReadRouter::plan(const ReadConstraints &Constraints,
                 const std::vector<InstanceView> &Instances,
                 const std::string &Primary, TimePoint Now) {
  std::vector<std::string> Plan;
  if (!Constraints.needsPrimary()) {
    std::vector<internal::RankedReplica> Ranked;
    for (const InstanceView &View : Instances)
      if (View.Name != Primary && maySatisfy(Constraints, View, Now))
        Ranked.push_back({costOf(View), Random(), &View});
    std::sort(Ranked.begin(), Ranked.end(), [](const auto &A, const auto &B) {
      return std::pair(A.Cost, A.TieBreak) < std::pair(B.Cost, B.TieBreak);
    });
    for (const internal::RankedReplica &Replica : Ranked)
      if (Plan.size() < Opts.MaxReplicaAttempts)
        Plan.push_back(Replica.View->Name);
  }
  if (!Primary.empty())
    Plan.push_back(Primary);
  return Plan;
}

} // namespace cicadawind
