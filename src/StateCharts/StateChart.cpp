#include "StateCharts/StateChart.h"

#include <toml++/toml.h>

#include <fstream>
#include <sstream>

namespace cicadawind {
namespace internal {

static Error chartError(const std::string &Origin, std::size_t Line,
                        const std::string &Message) {
  return Error{.Code = ErrorCode::BadRequest,
               .Message = Origin + ":" + std::to_string(Line) + ": " + Message};
}

static std::size_t lineOf(const toml::node &Node) {
  return Node.source().begin.line;
}

} // namespace internal

Result<StateChart> StateChart::load(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return internal::chartError(Path, 0, "cannot open the state chart");
  std::ostringstream Text;
  Text << File.rdbuf();
  return parse(Text.str(), Path);
}

Result<StateChart> StateChart::parse(std::string_view Text,
                                     const std::string &Origin) {
  toml::table Table;
  try {
    Table = toml::parse(Text);
  } catch (const toml::parse_error &E) {
    return internal::chartError(Origin, E.source().begin.line,
                                std::string(E.description()));
  }
  StateChart Chart;
  Chart.Name = Table["name"].value_or(std::string());
  Chart.Initial = Table["initial"].value_or(std::string());
  if (Chart.Name.empty() || Chart.Initial.empty())
    return internal::chartError(Origin, 1, "'name' and 'initial' are needed");
  Chart.States.insert(Chart.Initial);
  const toml::array *Rows = Table["transition"].as_array();
  if (!Rows)
    return internal::chartError(Origin, 1, "no [[transition]]");
  for (const toml::node &Node : *Rows) {
    const toml::table *Row = Node.as_table();
    std::size_t Line = internal::lineOf(Node);
    if (!Row)
      return internal::chartError(Origin, Line, "a transition is a table");
    std::string From = (*Row)["from"].value_or(std::string());
    std::string Event = (*Row)["event"].value_or(std::string());
    std::string To = (*Row)["to"].value_or(std::string());
    if (From.empty() || Event.empty() || To.empty())
      return internal::chartError(Origin, Line,
                                  "a transition needs from, event and to");
    if (!Chart.Transitions.emplace(std::pair(From, Event), To).second)
      return internal::chartError(Origin, Line,
                                  "second transition from '" + From + "' on '" +
                                      Event + "'");
    Chart.States.insert(From);
    Chart.States.insert(To);
  }
  if (const toml::array *Finals = Table["final"].as_array())
    for (const toml::node &Node : *Finals) {
      std::string State = Node.value_or(std::string());
      if (!Chart.States.count(State))
        return internal::chartError(Origin, internal::lineOf(Node),
                                    "final state '" + State +
                                        "' is in no transition");
      Chart.Finals.insert(State);
    }
  Status Checked = Chart.checkReachability(Origin);
  if (const Error *E = errorOf(Checked))
    return *E;
  return Chart;
}

std::optional<std::string> StateChart::next(const std::string &State,
                                            const std::string &Event) const {
  auto It = Transitions.find({State, Event});
  if (It == Transitions.end())
    return std::nullopt;
  return It->second;
}

std::set<std::string>
StateChart::reachableFrom(const std::string &Start) const {
  std::set<std::string> Seen{Start};
  std::vector<std::string> Open{Start};
  while (!Open.empty()) {
    std::string State = Open.back();
    Open.pop_back();
    for (const auto &[From, To] : Transitions)
      if (From.first == State && Seen.insert(To).second)
        Open.push_back(To);
  }
  return Seen;
}

Status StateChart::checkReachability(const std::string &Origin) const {
  std::set<std::string> Reached = reachableFrom(Initial);
  for (const std::string &State : States) {
    if (!Reached.count(State))
      return internal::chartError(Origin, 1,
                                  "state '" + State + "' is unreachable");
    bool CanEnd = false;
    for (const std::string &Later : reachableFrom(State))
      CanEnd = CanEnd || Finals.count(Later);
    if (!CanEnd)
      return internal::chartError(
          Origin, 1, "state '" + State + "' reaches no final state");
  }
  return std::monostate();
}

} // namespace cicadawind
