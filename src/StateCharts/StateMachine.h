#ifndef CICADAWIND_STATECHARTS_STATEMACHINE_H
#define CICADAWIND_STATECHARTS_STATEMACHINE_H

#include "StateCharts/StateChart.h"

#include <memory>
#include <string>
#include <utility>

namespace cicadawind {

/// \class StateMachine
/// \brief State machine that interprets a state chart.
///
/// Holds the current state. An event for which the chart has no transition is
/// refused and does not change the state. Not thread safe.
class StateMachine {
public:
  explicit StateMachine(std::shared_ptr<const StateChart> Chart)
      : Chart(std::move(Chart)), State(this->Chart->initial()) {}

  const std::string &state() const { return State; }
  bool is(std::string_view Name) const { return State == Name; }
  /// Returns whether the current state is final.
  bool finished() const { return Chart->isFinal(State); }
  bool allows(const std::string &Event) const {
    return Chart->next(State, Event).has_value();
  }

  /// Makes the transition for \p Event. Returns false, without changing the
  /// state, if the chart does not allow it.
  bool fire(const std::string &Event) {
    std::optional<std::string> Next = Chart->next(State, Event);
    if (!Next)
      return false;
    State = *Next;
    return true;
  }

private:
  std::shared_ptr<const StateChart> Chart;
  std::string State;
};

} // namespace cicadawind

#endif
