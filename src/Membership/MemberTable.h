#ifndef CICADAWIND_MEMBERSHIP_MEMBERTABLE_H
#define CICADAWIND_MEMBERSHIP_MEMBERTABLE_H

#include "Core/Clock.h"
#include "Core/Random.h"
#include "Membership/VmEntry.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadawind {

/// \class MemberTable
/// \brief Table of the VMs that a daemon knows, merged from several sources.
///
/// The sources are the platform's list, which lags, release notes that withdraw
/// VMs, the entries of peers, and failed calls of the daemon itself. For the
/// same incarnation, an entry marked as leaving takes precedence over an entry
/// marked as live. Suspicions are local and expire. Memory is O(VMs). Not
/// thread safe.
class MemberTable {
public:
  struct Options {
    std::string OwnVm;
    std::string FailureDomain;
    std::string Region;
    /// Time after a failed call for which other peers are preferred over the
    /// one that was called.
    Duration SuspicionDuration = std::chrono::seconds(3);
  };

  explicit MemberTable(Options Opts);

  /// Merges one entry from the platform or a peer.
  void merge(const VmEntry &Entry);

  /// Applies the platform's list. Removes VMs that its previous version
  /// contained and this one does not, except for the daemon's own VM.
  void applyList(const std::vector<VmEntry> &List);

  /// Sets the names of the VMs that release notes have withdrawn.
  void setWithdrawn(std::set<std::string> Names);

  /// Records that a call to \p Vm failed at \p Now.
  void suspect(const std::string &Vm, TimePoint Now);
  /// Records that \p Vm replied.
  void clearSuspicion(const std::string &Vm);

  /// Returns whether \p Vm is leaving or withdrawn.
  bool isLeaving(const std::string &Vm) const;
  bool isSuspected(const std::string &Vm, TimePoint Now) const;

  std::vector<VmEntry> all() const;
  /// Returns the entry of \p Vm; null if it is not known.
  const VmEntry *find(const std::string &Vm) const;

  /// Returns the VMs that may get new work: those known and neither leaving nor
  /// withdrawn.
  std::vector<VmEntry> usable() const;
  /// Like usable(), without copies. Valid until the table changes.
  std::vector<const VmEntry *> usableEntries() const;

  /// Returns the first \p Count VMs whose poolers may own the target \p Target
  /// in \p FailureDomain. These are the usable VMs of that failure domain in
  /// the order of rendezvous hashing. If all of them are suspected or there are
  /// none, VMs of \p Region and then VMs of other regions are added. Suspected
  /// VMs come last. Costs O(VMs of the failure domain), or O(VMs) if VMs of
  /// other failure domains are added or the table has changed since the last
  /// call. Does not copy more than \p Count entries.
  std::vector<VmEntry> ownersOf(const std::string &Target,
                                const std::string &FailureDomain,
                                const std::string &Region, TimePoint Now,
                                std::size_t Count = 3) const;

  /// Returns a number that increases with every change of the table.
  std::uint64_t version() const { return Version; }

  /// Returns whether this VM is one of the \p Count VMs of its failure domain
  /// that are responsible for \p Task. Distributes tasks such as watching the
  /// store.
  bool isAssigned(const std::string &Task, std::size_t Count,
                  TimePoint Now) const;

  /// Returns a random peer that is not suspected: outside this VM's failure
  /// domain if \p OtherDomain, otherwise inside it. Empty if there is none.
  std::optional<VmEntry> randomPeer(bool OtherDomain, std::uint64_t Random,
                                    TimePoint Now) const;

private:
  struct Row {
    VmEntry Entry;
    std::uint64_t NameHash = 0;
  };
  using Candidates = std::vector<const Row *>;

  /// Reduces \p From to the first \p Count VMs in the order of rendezvous
  /// hashing for \p Key, with suspected VMs after all others.
  void keepBest(const std::string &Key, std::size_t Count, TimePoint Now,
                Candidates &From) const;
  /// Rebuilds Index if the table has changed since it was built.
  void reindex() const;
  /// Increases Version.
  void recordChange();

  Options Opts;
  std::map<std::string, Row> Rows;
  std::set<std::string> Withdrawn;
  /// Names in the platform's list that was applied last.
  std::set<std::string> LastListed;
  std::map<std::string, TimePoint> SuspectedUntil;
  std::uint64_t Version = 1;
  /// Usable VMs by failure domain, as of version IndexVersion.
  mutable std::map<std::string, Candidates> Index;
  mutable std::uint64_t IndexVersion = 0;
};

} // namespace cicadawind

#endif
