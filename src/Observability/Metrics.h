#ifndef CICADAWIND_OBSERVABILITY_METRICS_H
#define CICADAWIND_OBSERVABILITY_METRICS_H

#include "Core/Clock.h"

#include <map>
#include <memory>
#include <string>

namespace cicadawind {

/// Labels of one time series.
using MetricLabels = std::map<std::string, std::string>;

/// \class Metrics
/// \brief Counters, gauges and latency histograms of one daemon, based on
/// prometheus-cpp.
///
/// The prefix "cicadawind_" is added to each name. A time series is created on
/// first use. Each name must be used for one type of metric only. Thread safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Increases the counter \p Name by \p By.
  void count(const std::string &Name, const MetricLabels &Labels = {},
             double By = 1);
  /// Sets the gauge \p Name to \p Value.
  void set(const std::string &Name, double Value,
           const MetricLabels &Labels = {});
  /// Adds \p Elapsed to the histogram \p Name, whose unit is seconds.
  void observe(const std::string &Name, Duration Elapsed,
               const MetricLabels &Labels = {});

  /// Returns all metrics in the Prometheus text format.
  std::string text() const;

private:
  class Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace cicadawind

#endif
