#ifndef CICADAWIND_OBSERVABILITY_METRICS_H
#define CICADAWIND_OBSERVABILITY_METRICS_H

#include "Core/Clock.h"

#include <map>
#include <memory>
#include <string>

namespace cicadawind {

/// Labels of one series.
using MetricLabels = std::map<std::string, std::string>;

/// \class Metrics
/// \brief Counters, gauges and latency histograms of one daemon, over
/// prometheus-cpp.
///
/// Series are created on first use; a name keeps one kind. Thread safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void count(const std::string &Name, const MetricLabels &Labels = {},
             double By = 1);
  void set(const std::string &Name, double Value,
           const MetricLabels &Labels = {});
  /// Counts \p Took in the histogram \p Name, whose unit is seconds.
  void observe(const std::string &Name, Duration Took,
               const MetricLabels &Labels = {});

  /// The page in Prometheus text format.
  std::string text() const;

private:
  class Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace cicadawind

#endif
