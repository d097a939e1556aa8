#ifndef CICADAWIND_POOLER_TARGETPOOL_H
#define CICADAWIND_POOLER_TARGETPOOL_H

#include "Admission/SlotScheduler.h"
#include "Async/AsyncSignal.h"
#include "Core/Result.h"
#include "Observability/Log.h"
#include "Pooler/PooledConnection.h"
#include "ReleaseNotes/ServiceConfig.h"
#include "StateCharts/StateChart.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cicadawind {

class DatabaseGroup;
class Metrics;

/// \class TargetPool
/// \brief Pool of one target's connections and execution slots.
///
/// Admits statements through a SlotScheduler and hands out connections that are
/// known to be clean. Opens connections before they are needed, because opening
/// one takes long. A connection whose statement times out is closed. The same
/// failure may affect the pool's other connections, so one that has not replied
/// since the latest timeout is probed before it is used again. Runs on the
/// loop's thread.
class TargetPool : public std::enable_shared_from_this<TargetPool> {
public:
  struct Options {
    TargetConfig Target;
    unsigned QueueLimit = 512;
    Duration OpenTimeout = std::chrono::milliseconds(800);
    Duration ResetTimeout = std::chrono::milliseconds(300);
    /// A statement without a reply never times out earlier than this, except at
    /// its deadline.
    Duration MinReplyTimeout = std::chrono::seconds(2);
    /// A statement without a reply times out after the mean duration of
    /// statements with its fingerprint, multiplied by this factor. If that
    /// duration is not known, it times out at its deadline.
    unsigned ReplyTimeoutFactor = 10;
    /// Idle connections are probed once their last reply is this old.
    Duration ProbeInterval = std::chrono::seconds(2);
    /// An unused pool closes its connections after this time.
    Duration IdleTimeout = std::chrono::seconds(60);
    std::shared_ptr<const StateChart> ConnectionChart;
  };

  TargetPool(boost::asio::io_context &Loop, Options Opts, DatabaseGroup &Group,
             Metrics &Meter);

  /// Starts the loop that opens, probes and closes idle connections.
  void start();
  /// Ends the loop and closes the idle connections.
  void stop();
  void reconfigure(const TargetConfig &Target) { Opts.Target = Target; }

  const TargetConfig &target() const { return Opts.Target; }

  /// Waits for a slot. Each returned id has to be passed to releaseSlot().
  ///
  /// Returns the scheduler's error if the queue does not accept the statement,
  /// and DeadlineExceeded if the statement expires in the queue because it can
  /// no longer end by \p Deadline.
  boost::asio::awaitable<Result<WorkId>> acquireSlot(std::uint64_t Fingerprint,
                                                     std::string Caller,
                                                     TimePoint Deadline);
  /// Releases a slot in which a statement ran for \p Held; empty if none ran.
  void releaseSlot(WorkId Id, std::optional<Duration> Held);

  /// Returns a clean connection, waiting until \p Deadline for one. Each
  /// returned connection has to be passed to releaseConnection().
  boost::asio::awaitable<Result<std::unique_ptr<PooledConnection>>>
  acquireConnection(TimePoint Deadline);
  /// Returns a connection to the pool. Resets it first if it is dirty, and
  /// closes it if the reset fails.
  void releaseConnection(std::unique_ptr<PooledConnection> Connection);

  /// Runs \p Call on \p Connection. A slot must already be held for it.
  boost::asio::awaitable<Result<StatementReply>>
  runOn(PooledConnection &Connection, StatementCall Call, TimePoint Deadline);

  /// Returns how long to wait for the reply to a statement with
  /// \p Fingerprint, at most until \p Deadline.
  Duration replyTimeout(std::uint64_t Fingerprint, TimePoint Deadline) const;

  Duration expectedWait() const { return Scheduler.expectedWait(); }
  std::size_t queued() const { return Scheduler.queued(); }
  std::size_t connections() const { return ConnectionCount; }
  /// Returns when a statement last requested a slot.
  TimePoint lastUse() const { return LastUse; }

private:
  struct Waiter {
    bool Started = false;
    bool Expired = false;
    std::unique_ptr<AsyncSignal> Wake;
  };

  /// Wakes the statements that the scheduler starts and those that have expired
  /// in its queue.
  void runScheduler();
  std::size_t connectionLimit() const;
  boost::asio::awaitable<void> maintain();
  boost::asio::awaitable<void> openInAdvance();
  boost::asio::awaitable<Result<std::unique_ptr<PooledConnection>>>
  openConnection();
  /// Resets \p Connection. Returns whether the target confirmed the reset,
  /// which also shows that the connection still works.
  boost::asio::awaitable<bool> probe(PooledConnection &Connection);
  boost::asio::awaitable<void>
  resetAndReuse(std::unique_ptr<PooledConnection> Connection);
  void addIdle(std::unique_ptr<PooledConnection> Connection);
  void discard(std::unique_ptr<PooledConnection> Connection);
  boost::asio::awaitable<void> probeIdle();

  boost::asio::io_context &Loop;
  Options Opts;
  DatabaseGroup &Group;
  Metrics &Meter;
  Log Logger{"pool"};
  SlotScheduler Scheduler;
  ServiceTimes Times{ServiceTimes::Options{}};
  std::map<WorkId, std::shared_ptr<Waiter>> Waiters;
  WorkId LastId = 0;
  std::deque<std::unique_ptr<PooledConnection>> Idle;
  AsyncSignal ConnectionReleased;
  /// Connections that are open or being opened.
  std::size_t ConnectionCount = 0;
  /// When a statement last timed out.
  TimePoint LastTimeout;
  TimePoint LastUse;
  bool Stopped = false;
};

} // namespace cicadawind

#endif
