// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Pooler/GroupMonitor.h"

#include "Platform/ObjectStore.h"
#include "Targets/DatabaseGroup.h"

#include <boost/asio/io_context.hpp>

// Carries out the commands of the GroupController, part of GroupMonitor.

namespace cicadawind {
namespace internal {

/// Kind of the term records in the store.
static const std::string TermKind = "terms";

} // namespace internal

void GroupMonitor::carryOut(GroupController::Commands Commands) {
  for (GroupCommand &Command : Commands)
    spawn(Loop, carryOutOne(std::move(Command)));
}

boost::asio::awaitable<void> GroupMonitor::carryOutOne(GroupCommand Command) {
  auto KeepAlive = shared_from_this();
  if (auto *Write = std::get_if<WriteTermRecord>(&Command))
    co_await writeTermRecord(std::move(*Write));
  else if (auto *Fence = std::get_if<FenceInstance>(&Command))
    co_await fence(std::move(*Fence));
  else if (auto *Promote = std::get_if<PromoteInstance>(&Command))
    co_await promote(std::move(*Promote));
  else if (auto *Follow = std::get_if<FollowPrimary>(&Command))
    co_await follow(std::move(*Follow));
  else
    co_await readTermRecord();
  Changed.notifyAll();
}

boost::asio::awaitable<void>
GroupMonitor::writeTermRecord(WriteTermRecord Command) {
  std::string Claim = Command.Record.Claim;
  std::string Text = encodeTermRecord(Command.Record);
  WriteResult Written =
      co_await Store.write(internal::TermKind, Config.Name, Text,
                           Command.ExpectedVersion, Opts.StoreTimeout);
  StoreWriteOutcome Outcome = StoreWriteOutcome::Unknown;
  if (Written.Outcome == WriteOutcome::Accepted)
    Outcome = StoreWriteOutcome::Accepted;
  if (Written.Outcome == WriteOutcome::Conflict)
    Outcome = StoreWriteOutcome::Conflict;
  carryOut(Control.onWrite(Claim, Outcome, Written.Version, BootClock::now()));
}

boost::asio::awaitable<void> GroupMonitor::readTermRecord() {
  Result<StoredObject> Object =
      co_await Store.read(internal::TermKind, Config.Name, Opts.StoreTimeout);
  if (errorOf(Object)) {
    carryOut(Control.onRecordUnavailable(BootClock::now()));
    if (!QueryPeerRecord)
      co_return;
    std::optional<TermRecord> PeerTermRecord =
        co_await QueryPeerRecord(Config.Name);
    if (PeerTermRecord)
      Control.onPeerRecord(*PeerTermRecord, BootClock::now());
    co_return;
  }
  TermRecord Stored;
  if (valueOf(Object).exists()) {
    Result<TermRecord> Decoded = decodeTermRecord(valueOf(Object).Value);
    if (const Error *E = errorOf(Decoded)) {
      Logger.error("cannot decode the stored term record; it is ignored",
                   {{"why", E->Message}});
      co_return;
    }
    Stored = std::move(valueOf(Decoded));
  }
  carryOut(Control.onRecord(Stored, valueOf(Object).Version, BootClock::now()));
}

boost::asio::awaitable<void> GroupMonitor::fence(FenceInstance Command) {
  Result<InstanceReport> Report = co_await Group.fence(
      addressOf(Command.Instance), Command.NewTerm, Opts.ControlTimeout);
  if (errorOf(Report))
    co_return;
  valueOf(Report).Instance = Command.Instance;
  carryOut(Control.onFenced(valueOf(Report), BootClock::now()));
}

boost::asio::awaitable<void> GroupMonitor::promote(PromoteInstance Command) {
  TimePoint Sent = BootClock::now();
  Result<InstanceReport> Report = co_await Group.promote(
      addressOf(Command.Instance), Command.NewTerm, Opts.ControlTimeout);
  if (errorOf(Report))
    co_return;
  valueOf(Report).Instance = Command.Instance;
  carryOut(Control.onPromoted(valueOf(Report), Sent, BootClock::now()));
}

boost::asio::awaitable<void> GroupMonitor::follow(FollowPrimary Command) {
  TimePoint Sent = BootClock::now();
  Result<InstanceReport> Report = co_await Group.follow(
      addressOf(Command.Instance), Command.NewTerm, Command.Primary,
      addressOf(Command.Primary), Command.TruncateAfter, Opts.ControlTimeout);
  if (!errorOf(Report))
    handleReport(Command.Instance, valueOf(Report), Sent);
}

} // namespace cicadawind
