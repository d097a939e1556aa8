#ifndef CICADAWIND_STATECHARTS_CHARTSET_H
#define CICADAWIND_STATECHARTS_CHARTSET_H

#include "StateCharts/StateChart.h"

#include <memory>
#include <string>

namespace cicadawind {

/// \class ChartSet
/// \brief The state charts that the daemons interpret.
struct ChartSet {
  std::shared_ptr<const StateChart> Connection;
  std::shared_ptr<const StateChart> Transaction;
  std::shared_ptr<const StateChart> Promotion;
  std::shared_ptr<const StateChart> Drain;
  std::shared_ptr<const StateChart> NoteSubmission;

  /// Reads all charts from \p Folder. Returns the first error.
  static Result<ChartSet> load(const std::string &Folder);
};

} // namespace cicadawind

#endif
