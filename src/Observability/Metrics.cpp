#include "Observability/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <utility>

namespace cicadawind {
namespace internal {

/// Upper bounds of the latency buckets, in seconds.
static const prometheus::Histogram::BucketBoundaries LatencyBuckets{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};

} // namespace internal

class Metrics::Impl {
public:
  template <class Builder>
  auto &family(Builder BuildMetric, const std::string &Name) {
    return BuildMetric().Name("cicadawind_" + Name).Register(Registry);
  }

  prometheus::Registry Registry;
};

Metrics::Metrics() : Self(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::count(const std::string &Name, const MetricLabels &Labels,
                    double By) {
  Self->family(prometheus::BuildCounter, Name).Add(Labels).Increment(By);
}

void Metrics::set(const std::string &Name, double Value,
                  const MetricLabels &Labels) {
  Self->family(prometheus::BuildGauge, Name).Add(Labels).Set(Value);
}

void Metrics::observe(const std::string &Name, Duration Elapsed,
                      const MetricLabels &Labels) {
  Self->family(prometheus::BuildHistogram, Name)
      .Add(Labels, internal::LatencyBuckets)
      .Observe(std::chrono::duration<double>(Elapsed).count());
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(Self->Registry.Collect());
}

} // namespace cicadawind
