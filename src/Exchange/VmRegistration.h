#ifndef CICADAWIND_EXCHANGE_VMREGISTRATION_H
#define CICADAWIND_EXCHANGE_VMREGISTRATION_H

#include "Core/Clock.h"
#include "Core/Random.h"
#include "Membership/EntryChecks.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cicadawind {

struct WriteResult;
class ObjectWatcher;
class ObjectStore;
class PeerExchange;

/// \class VmRegistration
/// \brief Keeps this VM's entry in the store and contacts the VMs that the
/// store lists.
///
/// The store's list lets VMs find each other if none of the seeds exists any
/// more. Later on they learn of each other through hellos, so the list is read
/// only once. The entry is written at the start, and again when the store has
/// come back from an older copy, which may lack it. A planned stop removes it,
/// so that VMs that start later do not wait for this one. The entries of VMs
/// that are gone are removed by another VM of their failure domain; since such
/// a VM may only have been silent, each VM checks its own entry, see
/// EntryChecks.
///
/// A VM that the store did not list before is provisional there at first, and
/// writes its entry again once it has run for ProvisionalTime: VMs that were
/// started and soon lost are no voters for those that start later. A VM that
/// finds provisional VMs in the list of which nothing is heard lists once more,
/// since they may have been confirmed meanwhile.
///
/// If no call fails, writing the entry costs one to three calls to the store,
/// checking or removing it one, removing another VM's two, and listing one for
/// each page.
class VmRegistration {
public:
  struct Options {
    /// Timeout of reading or writing an entry. Listing the entries has the
    /// watcher's own timeout.
    Duration CallTimeout = std::chrono::seconds(2);
    /// Wait before the calls that failed are repeated.
    Duration RetryBackoff = std::chrono::milliseconds(500);
    /// Timeout of removing the entry, for which a planned stop waits.
    Duration RemovalTimeout = std::chrono::seconds(1);
    /// How often the removal is tried if the store refuses it.
    unsigned RemovalAttempts = 3;
    /// Time for which another VM must have been gone before its entry is
    /// removed, and the minimum time between two removals.
    Duration GoneDelay = std::chrono::seconds(3);
    Duration GoneInterval = std::chrono::milliseconds(500);
    /// Wait after a removal that failed.
    Duration GoneBackoff = std::chrono::seconds(10);
    /// Time after its registration at which a provisional entry is confirmed,
    /// and after which the VMs are listed once more. Both are spread over
    /// MinSpread, and over SpreadPerVm for each VM that the store lists.
    Duration ProvisionalTime = std::chrono::milliseconds(1500);
    Duration RelistTime = std::chrono::seconds(5);
    Duration MinSpread = std::chrono::milliseconds(500);
    Duration SpreadPerVm = std::chrono::milliseconds(5);
    RandomSource Random;
  };

  VmRegistration(Options Opts, ObjectStore &Store, ObjectWatcher &Watcher,
                 PeerExchange &Peers);

  /// Repeats its calls until the store has accepted the entry and returned the
  /// list, or until withdraw().
  boost::asio::awaitable<void> run();
  /// Removes this VM's entry, because it stops, unless another process has
  /// written it since. Ends after RemovalAttempts refusals or one call without
  /// a response at the latest. Does nothing when called again.
  boost::asio::awaitable<void> withdraw();
  /// Returns whether withdraw() has ended.
  bool isWithdrawn() const { return Withdrawn; }
  /// Writes the entry again if \p Revision, the latest revision of the store
  /// that this VM has heard of, is of a later era than the entry.
  void renewIfRestored(boost::asio::io_context &Loop, std::uint64_t Revision);
  /// Checks whether the entry is still in the store, if due, and writes it
  /// again if it is not; see EntryChecks. Called often.
  void checkIfDue(boost::asio::io_context &Loop, bool ReachesMajority,
                  TimePoint Now);
  /// Confirms a provisional entry, and lists the VMs once more, if due. Called
  /// often.
  void confirmIfDue(boost::asio::io_context &Loop, TimePoint Now);
  /// Removes the entries of \p Gone, other VMs, one at a time. Called often,
  /// with all that are gone at that time.
  void removeGone(boost::asio::io_context &Loop,
                  const std::set<std::string> &Gone, TimePoint Now);

private:
  /// Another VM whose entry is to be removed.
  struct GoneVm {
    TimePoint Since;
    TimePoint NotBefore;
    bool IsRemoved = false;
  };

  /// Returns this VM's entry as it is to be in the store.
  std::string entryValue() const;
  /// Sets when to confirm the entry and when to list again.
  void scheduleConfirmation();
  boost::asio::awaitable<void> confirmEntry();
  boost::asio::awaitable<void> listAgain();
  boost::asio::awaitable<void> checkEntry();
  boost::asio::awaitable<void> removeEntryOf(std::string Vm);
  /// Removes the entry of \p Vm unless it is of a later process than known
  /// here. Returns whether nothing is left to do: false if the store did not
  /// answer.
  boost::asio::awaitable<bool> tryRemoveEntryOf(std::string Vm);
  /// Writes this VM's entry, or replaces the one that exists, and sets
  /// EntryVersion if the store accepted it.
  boost::asio::awaitable<void> writeEntry();
  /// Sets EntryVersion if the store accepted the write.
  void recordWrite(const WriteResult &Written);
  boost::asio::awaitable<void> removeEntry();
  /// Sends a hello to each listed VM; false if the list could not be read.
  boost::asio::awaitable<bool> contactListed();

  Options Opts;
  ObjectStore &Store;
  ObjectWatcher &Watcher;
  PeerExchange &Peers;
  bool Running = false;
  bool Contacted = false;
  bool Leaving = false;
  bool Withdrawn = false;
  /// Version of the entry that the store accepted, packed as in StoreRevision;
  /// empty before that.
  std::optional<std::uint64_t> EntryVersion;
  EntryChecks Checks;
  bool IsProvisional = true;
  std::size_t ListedCount = 0;
  /// Listed VMs that were provisional.
  std::set<std::string> Provisional;
  std::optional<TimePoint> ConfirmAt;
  std::optional<TimePoint> RelistAt;
  /// VMs that were gone at the last removeGone(), by name.
  std::map<std::string, GoneVm> GoneVms;
  bool IsRemovingGone = false;
  TimePoint NextRemoval;
};

} // namespace cicadawind

#endif
