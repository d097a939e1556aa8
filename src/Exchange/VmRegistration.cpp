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

#include <algorithm>

namespace cicadawind {
namespace internal {

static const Log Logger("registration");
/// Kind of the objects in the store that hold the entries of VMs.
static const char *const VmsKind = "cicadawind-vms";
/// Interval at which a planned stop checks whether the registration has ended.
constexpr Duration RunCheckInterval = std::chrono::milliseconds(20);

/// Returns the incarnation in the entry \p Value of a VM, or 0.
static std::uint64_t incarnationIn(const std::string &Value) {
  nlohmann::json Entry = tryParseJson(Value);
  bool HasIncarnation = Entry.is_object() && Entry.contains("incarnation") &&
                        Entry["incarnation"].is_number_unsigned();
  return HasIncarnation ? Entry["incarnation"].get<std::uint64_t>() : 0;
}

/// Returns whether the entry \p Value of a VM is provisional.
static bool isProvisional(const std::string &Value) {
  nlohmann::json Entry = tryParseJson(Value);
  auto Found = Entry.is_object() ? Entry.find("provisional") : Entry.end();
  return Found != Entry.end() && Found->is_boolean() && Found->get<bool>();
}

} // namespace internal

VmRegistration::VmRegistration(Options Opts, ObjectStore &Store,
                               ObjectWatcher &Watcher, PeerExchange &Peers)
    : Opts(Opts), Store(Store), Watcher(Watcher), Peers(Peers),
      Checks({.Random = Opts.Random}) {}

void VmRegistration::recordWrite(const WriteResult &Written) {
  if (Written.Outcome == WriteOutcome::Accepted)
    EntryVersion = Written.Version;
}

std::string VmRegistration::entryValue() const {
  VmEntry Self = Peers.self();
  Self.Provisional = IsProvisional;
  return toJson(Self).dump();
}

boost::asio::awaitable<void> VmRegistration::writeEntry() {
  std::string Vm = Peers.self().Vm;
  WriteResult Created = co_await Store.write(internal::VmsKind, Vm,
                                             entryValue(), 0, Opts.CallTimeout);
  recordWrite(Created);
  if (Created.Outcome != WriteOutcome::Conflict)
    co_return;
  Result<StoredObject> Existing =
      co_await Store.read(internal::VmsKind, Vm, Opts.CallTimeout);
  if (errorOf(Existing))
    co_return;
  // An earlier process of this VM has stayed.
  if (!internal::isProvisional(valueOf(Existing).Value))
    IsProvisional = false;
  recordWrite(co_await Store.write(internal::VmsKind, Vm, entryValue(),
                                   valueOf(Existing).Version,
                                   Opts.CallTimeout));
}

boost::asio::awaitable<bool> VmRegistration::contactListed() {
  Result<ObjectsByName> Listed = co_await Watcher.listAll(internal::VmsKind);
  if (errorOf(Listed))
    co_return false;
  std::vector<VmEntry> Entries;
  Provisional.clear();
  ListedCount = valueOf(Listed).size();
  for (const auto &[Name, Object] : valueOf(Listed)) {
    try {
      Entries.push_back(vmEntryFrom(parseJson(Object.Value)));
      if (Entries.back().Provisional)
        Provisional.insert(Name);
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
  scheduleConfirmation();
  internal::Logger.info("registered", {{"vm", Peers.self().Vm}});
}

void VmRegistration::scheduleConfirmation() {
  TimePoint Now = BootClock::now();
  auto Spread = std::chrono::duration_cast<Duration>(
      toUnit(Opts.Random()) *
      (Opts.MinSpread + Opts.SpreadPerVm * ListedCount));
  if (IsProvisional)
    ConfirmAt = Now + Opts.ProvisionalTime + Spread;
  if (!Provisional.empty())
    RelistAt = Now + Opts.RelistTime + Spread;
}

void VmRegistration::confirmIfDue(boost::asio::io_context &Loop,
                                  TimePoint Now) {
  if (Running || Leaving)
    return;
  if (ConfirmAt && Now >= *ConfirmAt) {
    ConfirmAt.reset();
    Running = true;
    spawn(Loop, confirmEntry());
  } else if (RelistAt && Now >= *RelistAt) {
    RelistAt.reset();
    bool HeardOfAll = std::all_of(
        Provisional.begin(), Provisional.end(), [this](const std::string &Vm) {
          return Vm == Peers.self().Vm || Peers.hasHeardOf(Vm);
        });
    if (HeardOfAll)
      return;
    Running = true;
    spawn(Loop, listAgain());
  }
}

boost::asio::awaitable<void> VmRegistration::confirmEntry() {
  IsProvisional = false;
  WriteResult Written =
      co_await Store.write(internal::VmsKind, Peers.self().Vm, entryValue(),
                           *EntryVersion, Opts.CallTimeout);
  recordWrite(Written);
  Running = false;
  if (Written.Outcome == WriteOutcome::Conflict) {
    EntryVersion.reset();
    co_await run();
  } else if (Written.Outcome != WriteOutcome::Accepted) {
    internal::Logger.warning("entry of this VM not confirmed in the store; "
                             "retrying",
                             {{"why", Written.Message}});
    ConfirmAt = BootClock::now() + Opts.ProvisionalTime;
  }
}

boost::asio::awaitable<void> VmRegistration::listAgain() {
  co_await contactListed();
  Running = false;
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

void VmRegistration::checkIfDue(boost::asio::io_context &Loop,
                                bool ReachesMajority, TimePoint Now) {
  if (!Checks.isDue(ReachesMajority, Now) || Running || Leaving)
    return;
  Running = true;
  spawn(Loop, checkEntry());
}

boost::asio::awaitable<void> VmRegistration::checkEntry() {
  VmEntry Self = Peers.self();
  Result<StoredObject> Stored =
      co_await Store.read(internal::VmsKind, Self.Vm, Opts.CallTimeout);
  Running = false;
  if (errorOf(Stored) || valueOf(Stored).Version == EntryVersion)
    co_return;
  internal::Logger.warning(
      "entry of this VM is missing or changed in the store; writing it again",
      {{"vm", Self.Vm}});
  EntryVersion.reset();
  co_await run();
}

void VmRegistration::removeGone(boost::asio::io_context &Loop,
                                const std::set<std::string> &Gone,
                                TimePoint Now) {
  std::erase_if(GoneVms,
                [&](const auto &Item) { return Gone.count(Item.first) == 0; });
  for (const std::string &Vm : Gone)
    GoneVms.try_emplace(Vm, GoneVm{.Since = Now});
  if (IsRemovingGone || Leaving || Now < NextRemoval)
    return;
  for (const auto &[Vm, Each] : GoneVms) {
    bool IsDue = Now - Each.Since >= Opts.GoneDelay && Now >= Each.NotBefore;
    if (!IsDue || Each.IsRemoved)
      continue;
    IsRemovingGone = true;
    NextRemoval = Now + Opts.GoneInterval;
    return spawn(Loop, removeEntryOf(Vm));
  }
}

boost::asio::awaitable<void> VmRegistration::removeEntryOf(std::string Vm) {
  bool IsRemoved = co_await tryRemoveEntryOf(Vm);
  IsRemovingGone = false;
  auto It = GoneVms.find(Vm);
  if (It == GoneVms.end())
    co_return;
  It->second.IsRemoved = IsRemoved;
  It->second.NotBefore = BootClock::now() + Opts.GoneBackoff;
}

boost::asio::awaitable<bool> VmRegistration::tryRemoveEntryOf(std::string Vm) {
  const VmEntry *Known = Peers.members().find(Vm);
  std::uint64_t Incarnation = Known ? Known->Incarnation : 0;
  Result<StoredObject> Stored =
      co_await Store.read(internal::VmsKind, Vm, Opts.CallTimeout);
  if (errorOf(Stored))
    co_return false;
  const StoredObject &Object = valueOf(Stored);
  if (!Object.exists() || internal::incarnationIn(Object.Value) > Incarnation)
    co_return true;
  // The VM may have written its entry since; it holds then.
  WriteResult Removed = co_await Store.remove(internal::VmsKind, Vm,
                                              Object.Version, Opts.CallTimeout);
  bool IsRemoved = Removed.Outcome == WriteOutcome::Accepted;
  if (IsRemoved)
    internal::Logger.info("entry of a VM that is gone removed", {{"gone", Vm}});
  else
    internal::Logger.warning("entry of a VM that is gone not removed",
                             {{"gone", Vm}, {"why", Removed.Message}});
  co_return IsRemoved || Removed.Outcome == WriteOutcome::Conflict;
}

} // namespace cicadawind
