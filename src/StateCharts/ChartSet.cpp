#include "StateCharts/ChartSet.h"

#include <utility>
#include <vector>

namespace cicadawind {

Result<ChartSet> ChartSet::load(const std::string &Folder) {
  ChartSet Set;
  std::vector<std::pair<const char *, std::shared_ptr<const StateChart> *>>
      Files{{"connection", &Set.Connection},
            {"transaction", &Set.Transaction},
            {"promotion", &Set.Promotion},
            {"drain", &Set.Drain},
            {"note_submission", &Set.NoteSubmission}};
  for (auto &[Name, Destination] : Files) {
    Result<StateChart> Chart = StateChart::load(Folder + "/" + Name + ".toml");
    if (const Error *E = errorOf(Chart))
      return *E;
    *Destination =
        std::make_shared<const StateChart>(std::move(valueOf(Chart)));
  }
  return Set;
}

} // namespace cicadawind
