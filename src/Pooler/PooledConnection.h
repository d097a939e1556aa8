#ifndef CICADAWIND_POOLER_POOLEDCONNECTION_H
#define CICADAWIND_POOLER_POOLEDCONNECTION_H

#include "Core/Clock.h"
#include "StateCharts/StateMachine.h"
#include "Targets/TargetConnection.h"

#include <memory>
#include <utility>

namespace cicadawind {

/// \class PooledConnection
/// \brief A connection to a target with its state machine, which follows the
/// chart "connection".
///
/// Invariant: only a connection in state "clean" is acquired for a statement,
/// so that no caller sees connection state that another caller has set.
class PooledConnection {
public:
  PooledConnection(std::unique_ptr<TargetConnection> Link,
                   std::shared_ptr<const StateChart> Chart, TimePoint Now)
      : Link(std::move(Link)), Machine(std::move(Chart)), LastReply(Now) {
    Machine.fire("opened");
  }

  TargetConnection &link() { return *Link; }
  StateMachine &machine() { return Machine; }
  bool isClean() const { return Machine.is("clean") && Link->isOpen(); }

  /// Returns when the target last replied on this connection.
  TimePoint lastReply() const { return LastReply; }
  void recordReply(TimePoint Now) { LastReply = Now; }

private:
  std::unique_ptr<TargetConnection> Link;
  StateMachine Machine;
  TimePoint LastReply;
};

} // namespace cicadawind

#endif
