// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Exchange/VmRegistration.h"

#include "Async/AsyncSignal.h"
#include "Documents/JsonParsing.h"
#include "Exchange/PeerExchange.h"
#include "Membership/VmEntryCodec.h"
#include "Observability/Log.h"
#include "Platform/ObjectStore.h"
#include "Platform/ObjectWatcher.h"
#include "Platform/StoreRevision.h"

namespace cicadawind {
namespace internal {

static const Log Logger("registration");
/// Kind of the objects in the store that hold the entries of VMs.
static const char *const VmsKind = "cicadawind-vms";
/// Interval at which a planned stop checks whether the registration has ended.
constexpr Duration RunCheckInterval = std::chrono::milliseconds(20);

} // namespace internal

VmRegistration::VmRegistration(Options Opts, ObjectStore &Store,
                               ObjectWatcher &Watcher, PeerExchange &Peers)
    : Opts(Opts), Store(Store), Watcher(Watcher), Peers(Peers) {}

void VmRegistration::recordWrite(const WriteResult &Written) {
  if (Written.Outcome == WriteOutcome::Accepted)
    EntryVersion = Written.Version;
}

boost::asio::awaitable<void> VmRegistration::writeEntry() {
  VmEntry Self = Peers.self();
  std::string Value = toJson(Self).dump();
  WriteResult Created = co_await Store.write(internal::VmsKind, Self.Vm, Value,
                                             0, Opts.CallTimeout);
  recordWrite(Created);
  if (Created.Outcome != WriteOutcome::Conflict)
    co_return;
  Result<StoredObject> Existing =
      co_await Store.read(internal::VmsKind, Self.Vm, Opts.CallTimeout);
  if (errorOf(Existing))
    co_return;
  recordWrite(co_await Store.write(internal::VmsKind, Self.Vm, Value,
                                   valueOf(Existing).Version,
                                   Opts.CallTimeout));
}

boost::asio::awaitable<bool> VmRegistration::contactListed() {
  Result<ObjectsByName> Listed = co_await Watcher.listAll(internal::VmsKind);
  if (errorOf(Listed))
    co_return false;
  std::vector<VmEntry> Entries;
  for (const auto &[Name, Object] : valueOf(Listed)) {
    try {
      Entries.push_back(vmEntryFrom(parseJson(Object.Value)));
    } catch (const nlohmann::json::exception &E) {
      internal::Logger.warning("malformed entry of a VM in the store ignored",
                               {{"entry", Name}, {"why", E.what()}});
    }
  }
  Peers.contactListed(Entries);
  co_return true;
}

boost::asio::awaitable<void> VmRegistration::run() {
  Running = true;
  while (!Leaving && (!EntryVersion || !Contacted)) {
    if (!EntryVersion)
      co_await writeEntry();
    if (!Contacted)
      Contacted = co_await contactListed();
    if (!EntryVersion || !Contacted)
      co_await sleepFor(Opts.RetryBackoff);
  }
  Running = false;
  internal::Logger.info("registered", {{"vm", Peers.self().Vm}});
}

boost::asio::awaitable<void> VmRegistration::withdraw() {
  if (std::exchange(Leaving, true))
    co_return;
  // A write that is in progress would create the entry again.
  while (Running)
    co_await sleepFor(internal::RunCheckInterval);
  if (EntryVersion)
    co_await removeEntry();
  Withdrawn = true;
}

boost::asio::awaitable<void> VmRegistration::removeEntry() {
  std::string Vm = Peers.self().Vm;
  for (unsigned Attempt = 1; Attempt <= Opts.RemovalAttempts; ++Attempt) {
    WriteResult Removed = co_await Store.remove(
        internal::VmsKind, Vm, *EntryVersion, Opts.RemovalTimeout);
    if (Removed.Outcome == WriteOutcome::Accepted) {
      internal::Logger.info("entry of this VM removed", {{"vm", Vm}});
      co_return;
    }
    internal::Logger.warning("entry of this VM not removed from the store",
                             {{"vm", Vm}, {"why", Removed.Message}});
    // After a conflict the entry is of a later process. A call without a
    // response may have taken effect.
    if (Removed.Outcome != WriteOutcome::NotWritten)
      co_return;
    co_await sleepFor(Opts.RetryBackoff);
  }
}

void VmRegistration::renewIfRestored(boost::asio::io_context &Loop,
                                     std::uint64_t Revision) {
  bool IsOfLaterEra =
      EntryVersion && StoreRevision::unpack(Revision).Era >
                          StoreRevision::unpack(*EntryVersion).Era;
  if (Running || Leaving || !IsOfLaterEra)
    return;
  EntryVersion.reset();
  spawn(Loop, run());
}

} // namespace cicadawind
