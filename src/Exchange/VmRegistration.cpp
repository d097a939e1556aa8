// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Exchange/VmRegistration.h"

#include "Async/AsyncSignal.h"
#include "Exchange/PeerExchange.h"
#include "Membership/VmEntryCodec.h"
#include "Observability/Log.h"
#include "Platform/ObjectStore.h"
#include "Platform/ObjectWatcher.h"

namespace cicadawind {
namespace internal {

static const Log Logger("registration");
/// Kind of the objects in the store that hold the entries of VMs.
static const char *const VmsKind = "cicadawind-vms";

} // namespace internal

VmRegistration::VmRegistration(Options Opts, ObjectStore &Store,
                               ObjectWatcher &Watcher, PeerExchange &Peers)
    : Opts(Opts), Store(Store), Watcher(Watcher), Peers(Peers) {}

boost::asio::awaitable<bool> VmRegistration::writeEntry() {
  VmEntry Self = Peers.self();
  std::string Value = toJson(Self).dump();
  WriteResult Written = co_await Store.write(internal::VmsKind, Self.Vm, Value,
                                             0, Opts.CallTimeout);
  if (Written.Outcome != WriteOutcome::Conflict)
    co_return Written.Outcome == WriteOutcome::Accepted;
  Result<StoredObject> Existing =
      co_await Store.read(internal::VmsKind, Self.Vm, Opts.CallTimeout);
  if (errorOf(Existing))
    co_return false;
  Written = co_await Store.write(internal::VmsKind, Self.Vm, Value,
                                 valueOf(Existing).Version, Opts.CallTimeout);
  co_return Written.Outcome == WriteOutcome::Accepted;
}

boost::asio::awaitable<bool> VmRegistration::contactListed() {
  Result<ObjectsByName> Listed = co_await Watcher.listAll(internal::VmsKind);
  if (errorOf(Listed))
    co_return false;
  std::vector<VmEntry> Entries;
  for (const auto &[Name, Object] : valueOf(Listed)) {
    try {
      Entries.push_back(vmEntryFrom(nlohmann::json::parse(Object.Value)));
    } catch (const nlohmann::json::exception &E) {
      internal::Logger.warning("malformed entry of a VM in the store ignored",
                               {{"entry", Name}, {"why", E.what()}});
    }
  }
  Peers.contactListed(Entries);
  co_return true;
}

boost::asio::awaitable<void> VmRegistration::run() {
  bool Registered = false;
  bool Contacted = false;
  while (!Registered || !Contacted) {
    if (!Registered)
      Registered = co_await writeEntry();
    if (!Contacted)
      Contacted = co_await contactListed();
    if (!Registered || !Contacted)
      co_await sleepFor(Opts.RetryBackoff);
  }
  internal::Logger.info("registered", {{"vm", Peers.self().Vm}});
}

} // namespace cicadawind
