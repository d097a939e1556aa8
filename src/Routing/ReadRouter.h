#ifndef CICADAWIND_ROUTING_READROUTER_H
#define CICADAWIND_ROUTING_READROUTER_H

#include "Core/Random.h"
#include "Routing/InstanceView.h"
#include "Routing/ReadConstraints.h"

#include <string>
#include <vector>

namespace cicadawind {

/// \class ReadRouter
/// \brief Chooses the instances that a read tries, and their order.
///
/// Replicas that probably satisfy the constraints come first, near and lightly
/// loaded replicas before others. The primary comes last. A wrong estimate
/// costs one refused attempt and never causes a stale read, because the
/// instance or its pooler checks the constraints again.
///
/// Trying replicas first and falling back to the primary is the LoadBalance
/// mode of HBASE-18070, section 6.2. That mode chooses replicas by plain
/// round-robin; this class estimates the lag of each replica from its replies
/// instead. Costs O(n log n) for n instances. Stateless apart from the random
/// source.
class ReadRouter {
public:
  struct Options {
    std::string FailureDomain;
    std::string Region;
    /// Maximum number of replicas tried before the primary.
    std::size_t MaxReplicaAttempts = 2;
    /// Part of a reported age that may be due to the delay of reports rather
    /// than to the age of the data.
    Millis ReportDelayMargin = Millis(60);
    /// Minimum time until a replica whose data was too old is tried again.
    Millis RetryInterval = Millis(50);
    /// Additional cost of an instance in another failure domain of the region.
    Millis OtherDomainCost = Millis(3);
    /// Additional cost of an instance in another region.
    Millis OtherRegionCost = Millis(16);
  };

  ReadRouter(Options Opts, RandomSource Random);

  /// Returns the names of the instances to try, in order. \p Primary is empty
  /// if unknown. The result is then empty if the read requires the primary or
  /// no replica is suitable.
  std::vector<std::string> plan(const ReadConstraints &Constraints,
                                const std::vector<InstanceView> &Instances,
                                const std::string &Primary, TimePoint Now);

private:
  /// Returns whether the instance may satisfy \p Constraints by now.
  bool maySatisfy(const ReadConstraints &Constraints, const InstanceView &View,
                  TimePoint Now) const;
  /// Returns the estimated delay of a read at the instance.
  Duration costOf(const InstanceView &View) const;

  Options Opts;
  RandomSource Random;
};

} // namespace cicadawind

#endif
