#ifndef CICADAWIND_LINKS_RELAYPLAN_H
#define CICADAWIND_LINKS_RELAYPLAN_H

#include "Core/Clock.h"
#include "Links/TargetEntry.h"
#include "Membership/VmEntry.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cicadawind {

/// \class TargetPath
/// \brief The connections over which a VM reaches one target.
struct TargetPath {
  /// Whether the VM connects to the target itself.
  bool Direct = true;
  /// Number of connections that the VM may have to the target, or to all of
  /// its relays together.
  unsigned Share = 1;
  /// Whether the VM connects to the target only because peers asked it to
  /// relay. It then keeps no connections that are not in use.
  bool Standby = false;
  /// VMs that relay its statements, in the order in which to use them; empty
  /// for a direct path.
  std::vector<VmEntry> Relays;
  /// Number of VMs that reach the target in the same way, this one included.
  unsigned Vms = 1;

  bool operator==(const TargetPath &) const = default;
};

/// \class RelayPlan
/// \brief Chooses the VMs that connect to a target if the target does not
/// accept enough connections for all VMs.
///
/// If every VM can have minDirectShare() connections, or if there are at most
/// RelaysPerTarget VMs, every VM connects to the target itself. Otherwise
/// RelaysPerTarget VMs relay the statements of all VMs, so that a connection
/// serves whichever VM has demand. They are chosen by rendezvous hashing, first
/// among the VMs in the target's failure domain, then among those in its
/// region, then among all. VMs with the same view of the fleet choose the same
/// relays. A VM that is asked to relay does so even if its own view differs.
/// Does no input or output. The relays of a target are computed once for each
/// change of the plan, in O(VMs in its failure domain), or O(VMs) if that has
/// too few.
class RelayPlan {
public:
  struct Options {
    /// Name, failure domain and region of this VM.
    std::string Vm;
    std::string FailureDomain;
    std::string Region;
    /// Region of each failure domain.
    std::map<std::string, std::string> Regions;
    /// Number of relays of a target. With three, two may be lost at the same
    /// time.
    std::size_t RelaysPerTarget = 3;
    /// Connections that each VM must be able to have for all VMs to connect
    /// directly.
    unsigned MinDirectShare = 1;
    /// Whether relays also pool the connections of a target of which an equal
    /// share would be smaller than the number of its slots. Such a share is
    /// used up by one VM's callers while slots and other VMs' connections are
    /// free. The same on all VMs.
    bool PoolsScarceConnections = false;
    /// Part of a target's connections that relays leave free for VMs that
    /// become relays when others are lost.
    double ReservedFraction = 0.2;
    /// Connections that a VM may have to all relays of a target together. Each
    /// runs one statement at a time.
    unsigned RelayedShare = 8;
    /// Time for which a VM is not chosen as a relay after it could not be
    /// reached. If it is found unreachable once more soon after that, the time
    /// doubles, up to MaxExclusion.
    Duration InitialExclusion = std::chrono::seconds(3);
    Duration MaxExclusion = std::chrono::seconds(48);
    /// Time for which a VM keeps its direct path after a peer last asked it to
    /// relay.
    Duration RelayRequestLifetime = std::chrono::seconds(10);
  };

  explicit RelayPlan(Options Opts);

  /// Sets the other VMs that are alive and not leaving. Returns whether they
  /// differ from the previous ones.
  bool setPeers(std::vector<VmEntry> Alive);
  /// Returns a number that increases whenever paths may have changed.
  std::uint64_t version() const { return Version; }
  /// Returns the number of VMs, including this one.
  std::size_t vms() const { return Peers.size() + 1; }

  /// Sets whether a connection to a target serves one client account only.
  /// Relays then keep connections that are not in use, so a VM that is no relay
  /// of a target, but was asked to relay, gets a part of what relays leave
  /// free, as standby. So does this VM while it leaves.
  void setServesAccounts(bool Serves);
  /// Records that this VM leaves.
  void setLeaving();

  /// Records that \p Vm could not be reached and excludes it for a while.
  void markUnreachable(const std::string &Vm, TimePoint Now);
  /// Records that a peer asks this VM to relay statements to \p Instance.
  void recordRelayRequest(const std::string &Instance, TimePoint Now);
  /// Ends exclusions and relay requests whose time has passed. Returns whether
  /// paths may have changed since the last call.
  bool sweep(TimePoint Now);

  /// Returns this VM's path to \p Target, which accepts \p MaxConnections
  /// connections from all VMs together.
  TargetPath pathTo(const TargetEntry &Target, unsigned MaxConnections) const;
  /// Returns the names of the VMs that relay to \p Target; empty when all VMs
  /// connect directly.
  std::set<std::string> relaysOf(const TargetEntry &Target,
                                 unsigned MaxConnections) const;

private:
  /// Index of a VM in Peers, or Peers.size() for this VM.
  using VmIndex = std::size_t;

  /// Returns the number of connections that each VM must be able to have to
  /// \p Target for all VMs to connect directly.
  unsigned minDirectShare(const TargetEntry &Target) const;
  bool allDirect(const TargetEntry &Target, unsigned MaxConnections) const;
  /// Returns the relays of \p Target, best first.
  const std::vector<VmIndex> &relaysFor(const TargetEntry &Target) const;
  std::vector<VmIndex> chooseRelays(const TargetEntry &Target) const;
  /// Sorts those of \p Candidates that are not excluded by the hash of \p
  /// Target and appends them to \p Out until it has RelaysPerTarget VMs.
  void appendBest(const TargetEntry &Target,
                  const std::vector<VmIndex> &Candidates,
                  std::vector<VmIndex> &Out) const;
  const VmEntry &entryAt(VmIndex Index) const;
  void recordChange();
  /// Groups the VMs by failure domain and region.
  void indexVms();

  struct Exclusion {
    TimePoint Until;
    Duration Length;
    /// Whether \c Until has passed, so that the VM may be chosen again.
    bool Expired = false;
  };

  /// Returns the share of a VM that relays to a target with \p MaxConnections
  /// connections, as one of its relays or as standby.
  unsigned relayShare(unsigned MaxConnections, bool Standby) const;
  bool isExcluded(const std::string &Vm) const;
  /// Sets Excluded from Exclusions.
  void indexExclusions();
  bool sweepExclusions(TimePoint Now);

  Options Opts;
  VmEntry Self;
  std::vector<VmEntry> Peers;
  /// Hashes of the VMs' names, by index.
  std::vector<std::uint64_t> NameHashes;
  std::map<std::string, std::vector<VmIndex>> ByDomain;
  std::map<std::string, std::vector<VmIndex>> ByRegion;
  std::vector<VmIndex> AllVms;
  /// Whether each VM is excluded, by index.
  std::vector<bool> Excluded;
  /// Relays by target, as of Version.
  mutable std::map<std::string, std::vector<VmIndex>> Cache;
  std::uint64_t Version = 0;
  bool ServesAccounts = false;
  bool IsLeaving = false;
  /// By VM. An expired exclusion is kept for its length once more, so that a
  /// VM which is unreachable again is excluded for twice that time.
  std::map<std::string, Exclusion> Exclusions;
  /// Time until which this VM relays, by target.
  std::map<std::string, TimePoint> RelayRequestedUntil;
  /// Whether paths may have changed since the last sweep.
  bool Changed = false;
};

} // namespace cicadawind

#endif
