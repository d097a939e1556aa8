#ifndef CICADAWIND_STATECHARTS_CHARTSET_H
#define CICADAWIND_STATECHARTS_CHARTSET_H

#include "StateCharts/StateChart.h"

#include <memory>
#include <string>

namespace cicadawind {

/// \class ChartSet
/// \brief The charts that the daemons interpret, read from one folder.
struct ChartSet {
  std::shared_ptr<const StateChart> Connection;
  std::shared_ptr<const StateChart> Transaction;
  std::shared_ptr<const StateChart> Promotion;
  std::shared_ptr<const StateChart> Drain;
  std::shared_ptr<const StateChart> NoteSubmission;

  /// Reads every chart of \p Folder; the first fault ends it.
  static Result<ChartSet> load(const std::string &Folder);
};

} // namespace cicadawind

#endif
