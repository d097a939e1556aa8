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
/// \brief A flat state chart read from a TOML file.
///
/// The file names the initial state, the final states and a list of
/// transitions (from, event, to). A chart is accepted only when every state
/// can be reached from the initial one and every state that is not final can
/// reach a final one. Immutable, so it may be shared between threads.
class StateChart {
public:
  /// Reads \p Path. Errors name the file and the line.
  static Result<StateChart> load(const std::string &Path);

  /// Reads \p Text; \p Origin stands for the file name in errors.
  static Result<StateChart> parse(std::string_view Text,
                                  const std::string &Origin);

  const std::string &name() const { return Name; }
  const std::string &initial() const { return Initial; }
  const std::set<std::string> &states() const { return States; }
  bool isFinal(const std::string &State) const {
    return Finals.count(State) != 0;
  }

  /// State that \p Event leads to from \p State; empty when not allowed.
  std::optional<std::string> next(const std::string &State,
                                  const std::string &Event) const;

private:
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
