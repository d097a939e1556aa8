// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Pooler/TargetPool.h"

#include "Observability/Metrics.h"
#include "Targets/DatabaseGroup.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace cicadawind {
namespace internal {

/// Number of the target's connections that a pool does not use, so that another
/// pooler can open some during a change of owner.
constexpr unsigned ReservedConnections = 2;
/// Interval at which a statement in the queue checks its deadline.
constexpr Duration QueueCheckInterval = std::chrono::milliseconds(50);
/// Interval at which acquireConnection tries again while none is free.
constexpr Duration AcquireCheckInterval = std::chrono::milliseconds(100);

} // namespace internal

TargetPool::TargetPool(boost::asio::io_context &Loop, Options NewOpts,
                       DatabaseGroup &Group, Metrics &Meter)
    : Loop(Loop), Opts(std::move(NewOpts)), Group(Group), Meter(Meter),
      Scheduler({.Slots = Opts.Target.Slots, .QueueLimit = Opts.QueueLimit}),
      ConnectionReleased(Loop), LastUse(BootClock::now()) {}

void TargetPool::start() { spawn(Loop, maintain()); }

void TargetPool::stop() {
  Stopped = true;
  Idle.clear();
}

void TargetPool::runScheduler() {
  TimePoint Now = BootClock::now();
  for (WorkId Id : Scheduler.expire(Now)) {
    Waiters[Id]->Expired = true;
    Waiters[Id]->Wake->notifyAll();
  }
  for (WorkId Id : Scheduler.start(Now)) {
    Waiters[Id]->Started = true;
    Waiters[Id]->Wake->notifyAll();
  }
}

boost::asio::awaitable<Result<WorkId>>
TargetPool::acquireSlot(std::uint64_t Fingerprint, std::string Caller,
                        TimePoint Deadline) {
  auto KeepAlive = shared_from_this();
  TimePoint Now = BootClock::now();
  LastUse = Now;
  WorkItem Item{.Id = ++LastId,
                .Fingerprint = Fingerprint,
                .Caller = std::move(Caller),
                .Deadline = Deadline};
  Status Offered = Scheduler.offer(Item, Now);
  if (const Error *E = errorOf(Offered))
    co_return *E;
  auto Waiting = std::make_shared<Waiter>();
  Waiting->Wake = std::make_unique<AsyncSignal>(Loop);
  Waiters[Item.Id] = Waiting;
  runScheduler();
  while (!Waiting->Started && !Waiting->Expired) {
    co_await Waiting->Wake->wait(internal::QueueCheckInterval);
    if (!Waiting->Started)
      runScheduler();
  }
  Waiters.erase(Item.Id);
  if (Waiting->Expired)
    co_return Error{.Code = ErrorCode::DeadlineExceeded,
                    .Message = "the deadline passed in the target's queue"};
  co_return Item.Id;
}

void TargetPool::releaseSlot(WorkId Id, std::optional<Duration> Held) {
  Scheduler.finish(Id, Held, BootClock::now());
  runScheduler();
}

std::size_t TargetPool::connectionLimit() const {
  unsigned All = Opts.Target.Connections;
  return All > internal::ReservedConnections
             ? All - internal::ReservedConnections
             : 1;
}

boost::asio::awaitable<Result<std::unique_ptr<PooledConnection>>>
TargetPool::openConnection() {
  auto KeepAlive = shared_from_this();
  ++ConnectionCount;
  Result<std::unique_ptr<TargetConnection>> Link =
      co_await Group.open(Opts.Target.Address, Opts.OpenTimeout);
  if (const Error *E = errorOf(Link)) {
    --ConnectionCount;
    co_return *E;
  }
  Meter.count("connections_opened_total", {{"target", Opts.Target.Name}});
  co_return std::make_unique<PooledConnection>(
      std::move(valueOf(Link)), Opts.ConnectionChart, BootClock::now());
}

boost::asio::awaitable<bool> TargetPool::probe(PooledConnection &Connection) {
  Status Reset = co_await Connection.link().reset("probe", Opts.ResetTimeout);
  if (errorOf(Reset))
    co_return false;
  Connection.recordReply(BootClock::now());
  co_return true;
}

boost::asio::awaitable<Result<std::unique_ptr<PooledConnection>>>
TargetPool::acquireConnection(TimePoint Deadline) {
  auto KeepAlive = shared_from_this();
  for (;;) {
    while (!Idle.empty()) {
      std::unique_ptr<PooledConnection> Connection = std::move(Idle.back());
      Idle.pop_back();
      bool Usable = Connection->isClean();
      if (Usable && Connection->lastReply() < LastTimeout)
        Usable = co_await probe(*Connection);
      if (Usable) {
        Connection->machine().fire("lend");
        co_return Connection;
      }
      discard(std::move(Connection));
    }
    Error Failure{.Code = ErrorCode::Overloaded,
                  .Message = "all connections to the target are in use"};
    if (ConnectionCount < connectionLimit()) {
      Result<std::unique_ptr<PooledConnection>> Opened =
          co_await openConnection();
      if (!errorOf(Opened)) {
        valueOf(Opened)->machine().fire("lend");
        co_return Opened;
      }
      Failure = *errorOf(Opened);
      if (Failure.Code != ErrorCode::Overloaded)
        co_return Failure;
    }
    Duration Left = Deadline - BootClock::now();
    if (Left <= Duration::zero() || Stopped)
      co_return Failure;
    co_await ConnectionReleased.wait(
        std::min(Left, internal::AcquireCheckInterval));
  }
}

void TargetPool::discard(std::unique_ptr<PooledConnection> Connection) {
  Connection->link().close();
  Connection->machine().fire("failed");
  --ConnectionCount;
  ConnectionReleased.notifyAll();
}

void TargetPool::addIdle(std::unique_ptr<PooledConnection> Connection) {
  if (Stopped || !Connection->isClean()) {
    discard(std::move(Connection));
    return;
  }
  Idle.push_back(std::move(Connection));
  ConnectionReleased.notifyAll();
}

void TargetPool::releaseConnection(
    std::unique_ptr<PooledConnection> Connection) {
  if (!Connection->link().isOpen()) {
    discard(std::move(Connection));
    return;
  }
  if (Connection->machine().is("dirty")) {
    spawn(Loop, resetAndReuse(std::move(Connection)));
    return;
  }
  addIdle(std::move(Connection));
}

boost::asio::awaitable<void>
TargetPool::resetAndReuse(std::unique_ptr<PooledConnection> Connection) {
  auto KeepAlive = shared_from_this();
  bool Clean = co_await probe(*Connection);
  if (Clean)
    Connection->machine().fire("reset_confirmed");
  addIdle(std::move(Connection));
}

Duration TargetPool::replyTimeout(std::uint64_t Fingerprint,
                                  TimePoint Deadline) const {
  Duration Left = Deadline - BootClock::now();
  std::optional<Duration> Mean = Times.meanOf(Fingerprint);
  if (!Mean)
    return Left;
  Duration Timeout =
      std::max<Duration>(Opts.MinReplyTimeout, *Mean * Opts.ReplyTimeoutFactor);
  return std::min(Left, Timeout);
}

boost::asio::awaitable<Result<StatementReply>>
TargetPool::runOn(PooledConnection &Connection, StatementCall Call,
                  TimePoint Deadline) {
  auto KeepAlive = shared_from_this();
  std::uint64_t Fingerprint = fingerprintOf(Call.Text);
  Duration Timeout = replyTimeout(Fingerprint, Deadline);
  TimePoint Start = BootClock::now();
  Result<StatementReply> Reply =
      co_await Connection.link().execute(std::move(Call), Timeout);
  TimePoint Now = BootClock::now();
  if (const Error *E = errorOf(Reply)) {
    if (E->Code == ErrorCode::DeadlineExceeded) {
      LastTimeout = Now;
      Meter.count("silent_connections_total", {{"target", Opts.Target.Name}});
    }
    co_return Reply;
  }
  Connection.recordReply(Now);
  Times.observe(Fingerprint, Now - Start);
  co_return Reply;
}

boost::asio::awaitable<void> TargetPool::probeIdle() {
  TimePoint Now = BootClock::now();
  std::size_t Count = Idle.size();
  for (std::size_t I = 0; I < Count && !Idle.empty(); ++I) {
    std::unique_ptr<PooledConnection> Oldest = std::move(Idle.front());
    Idle.pop_front();
    if (Now - Oldest->lastReply() < Opts.ProbeInterval) {
      addIdle(std::move(Oldest));
      continue;
    }
    bool Alive = co_await probe(*Oldest);
    if (Alive)
      addIdle(std::move(Oldest));
    else
      discard(std::move(Oldest));
  }
}

boost::asio::awaitable<void> TargetPool::openInAdvance() {
  std::size_t Wanted =
      std::min<std::size_t>(Opts.Target.Slots + 1, connectionLimit());
  while (!Stopped && ConnectionCount < Wanted) {
    Result<std::unique_ptr<PooledConnection>> Opened =
        co_await openConnection();
    if (errorOf(Opened))
      co_return;
    addIdle(std::move(valueOf(Opened)));
  }
}

boost::asio::awaitable<void> TargetPool::maintain() {
  auto KeepAlive = shared_from_this();
  while (!Stopped) {
    bool Unused = BootClock::now() - LastUse > Opts.IdleTimeout;
    if (Unused) {
      while (!Idle.empty()) {
        std::unique_ptr<PooledConnection> Last = std::move(Idle.back());
        Idle.pop_back();
        discard(std::move(Last));
      }
    } else {
      co_await openInAdvance();
      co_await probeIdle();
    }
    co_await sleepFor(Opts.ProbeInterval);
  }
}

} // namespace cicadawind
