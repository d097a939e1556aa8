#ifndef CICADAWIND_POOLER_POOLEDCONNECTION_H
#define CICADAWIND_POOLER_POOLEDCONNECTION_H

#include "Core/Clock.h"
#include "StateCharts/ChartInstance.h"
#include "Targets/TargetConnection.h"

#include <memory>
#include <utility>

namespace cicadawind {

/// \class PooledConnection
/// \brief A connection to a target and its walk through the chart
/// "connection".
///
/// Only a connection in state "clean" is lent to another caller.
class PooledConnection {
public:
  PooledConnection(std::unique_ptr<TargetConnection> Link,
                   std::shared_ptr<const StateChart> Chart, TimePoint Now)
      : Link(std::move(Link)), Walk(std::move(Chart)), LastAnswer(Now) {
    Walk.fire("opened");
  }

  TargetConnection &link() { return *Link; }
  ChartInstance &walk() { return Walk; }
  bool isClean() const { return Walk.is("clean") && Link->isOpen(); }

  TimePoint lastAnswer() const { return LastAnswer; }
  void answered(TimePoint Now) { LastAnswer = Now; }

private:
  std::unique_ptr<TargetConnection> Link;
  ChartInstance Walk;
  TimePoint LastAnswer;
};

} // namespace cicadawind

#endif
