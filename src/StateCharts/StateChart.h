#ifndef CICADAWIND_STATECHARTS_STATECHART_H
#define CICADAWIND_STATECHARTS_STATECHART_H

#include "Core/Result.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cicadawind {

/// \class StateChart
/// \brief A state chart without nested states, read from a TOML file.
///
/// The file contains the initial state, the final states and a list of
/// transitions (from, event, to). A chart is only accepted if every state is
/// reachable from the initial state, and a final state is reachable from every
/// state. Immutable, and may therefore be shared between threads.
class StateChart {
public:
  /// Reads the chart in file \p Path. Errors contain the file and the line.
  static Result<StateChart> load(const std::string &Path);

  /// Reads the chart in \p Text. Errors contain \p Origin in place of a file
  /// name.
  static Result<StateChart> parse(std::string_view Text,
                                  const std::string &Origin);

  const std::string &name() const { return Name; }
  const std::string &initial() const { return Initial; }
  const std::set<std::string> &states() const { return States; }
  bool isFinal(const std::string &State) const {
    return Finals.count(State) != 0;
  }

  /// Returns the state that \p Event leads to from \p State; empty if \p Event
  /// is not allowed there.
  std::optional<std::string> next(const std::string &State,
                                  const std::string &Event) const;

private:
  /// Returns an error unless every state is reachable from the initial state
  /// and can reach a final state.
  Status checkReachability(const std::string &Origin) const;
  std::set<std::string> reachableFrom(const std::string &Start) const;

  std::string Name;
  std::string Initial;
  std::set<std::string> States;
  std::set<std::string> Finals;
  std::map<std::pair<std::string, std::string>, std::string> Transitions;
};

} // namespace cicadawind

#endif
