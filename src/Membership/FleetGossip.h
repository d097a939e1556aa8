#ifndef CICADAWIND_MEMBERSHIP_FLEETGOSSIP_H
#define CICADAWIND_MEMBERSHIP_FLEETGOSSIP_H

#include "Core/Clock.h"
#include "Core/Random.h"
#include "Membership/ContactAge.h"
#include "Membership/FleetMention.h"
#include "Membership/MemberTable.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cicadawind {

/// \class FleetGossip
/// \brief Decides which VMs get a hello, what a hello says of other VMs, and
/// which VMs count as live.
///
/// A VM sends at most HelloFanout hellos in a HelloInterval, whatever the size
/// of the fleet. Each contains the contact ages of some VMs and the entries
/// that have changed, so that both spread in a number of intervals that grows
/// with the logarithm of the fleet. A VM that starts contacts a bounded number
/// of the VMs that the store lists, and takes all of them for live at first, so
/// that all VMs that start together agree on the fleet. A VM of which only the
/// hash is known is learned from a peer's whole list, see isIncomplete().
/// Performs no input or output and reads no clock. All functions cost
/// O(VMs), livePeers() only when the list is made again. Not thread safe.
class FleetGossip {
public:
  struct Options {
    std::string OwnVm;
    std::string FailureDomain;
    std::string Region;
    /// Maximum number of hellos sent in a HelloInterval.
    std::size_t HelloFanout = 8;
    /// Maximum number of those that go to other regions, and to other failure
    /// domains of this region, if there are more VMs than HelloFanout, since
    /// that traffic is expensive.
    std::size_t RemoteHellos = 1;
    std::size_t NearbyHellos = 2;
    /// Maximum number of entries in a hello. A hello with that many is not
    /// fragmented.
    std::size_t MaxMentions = 4;
    /// Maximum number of contact ages in a hello.
    std::size_t MaxAges = 64;
    /// Time for which a changed entry is mentioned after this VM has learned of
    /// it.
    Duration NewsPeriod = std::chrono::seconds(3);
    /// Maximum number of listed VMs that get a hello at the start.
    std::size_t FirstHellos = 16;
    /// Time since the last contact of any VM after which a VM no longer counts
    /// as live, if a VM hears of all others in a HelloInterval. In a larger
    /// fleet the timeout grows in proportion.
    Duration PeerTimeout = std::chrono::seconds(8);
    /// Time for which a VM must have been unknown before isIncomplete(), so
    /// that its entry can arrive as news.
    Duration UnknownTimeout = std::chrono::seconds(2);
    /// Interval at which the list of live peers is renewed.
    Duration LivePeersInterval = std::chrono::milliseconds(250);
    RandomSource Random;
  };

  explicit FleetGossip(Options Opts);

  /// Returns the hash that names \p Vm in a ContactAge.
  static std::uint32_t hashOf(const std::string &Vm);

  /// Records a hello of \p From. Returns whether it should get one in reply:
  /// if this is the first contact and no hello was sent to it before.
  bool recordHello(const VmEntry &From,
                   const std::vector<FleetMention> &Mentions,
                   const std::vector<ContactAge> &Ages, TimePoint Now);
  /// Records another message of \p Vm.
  void recordContact(const std::string &Vm, TimePoint Now);
  /// Records the VMs that the store or a peer lists, and returns those to send
  /// a hello to.
  std::vector<VmEntry> recordListed(const std::vector<VmEntry> &Listed,
                                    TimePoint Now);
  /// Records that a hello was sent to \p Vm.
  void recordSent(const std::string &Vm) { Greeted.insert(Vm); }

  /// Returns the VMs that get the hellos of one HelloInterval, or the news that
  /// this VM has: a random choice, mostly of this failure domain.
  std::vector<VmEntry> chooseRecipients(TimePoint Now) const;
  /// Returns the changed entries that the next hello contains.
  std::vector<FleetMention> chooseMentions(TimePoint Now);
  /// Returns the contact ages that the next hello contains: a random choice of
  /// the live VMs.
  std::vector<ContactAge> chooseAges(TimePoint Now) const;

  /// Returns the VMs with a recent contact, except this one and those that are
  /// leaving.
  const std::vector<VmEntry> &livePeers(TimePoint Now) const;
  /// Returns a number that increases whenever livePeers() has changed.
  std::uint64_t liveVersion() const { return LiveVersion; }
  /// Returns whether peers have contact with a VM whose entry is missing here,
  /// and has been for UnknownTimeout.
  bool isIncomplete(TimePoint Now) const;
  /// Returns whether any VM has reported contact with \p Vm.
  bool hasContact(const std::string &Vm) const {
    return ContactAt.count(Vm) != 0;
  }
  /// Returns the name of the VM with the hash \p VmHash; null if its entry is
  /// missing.
  const std::string *findName(std::uint32_t VmHash) const;
  const MemberTable &members() const { return Members; }

private:
  /// Adds \p Entry to the table. Returns whether that changed it.
  bool merge(const VmEntry &Entry);
  bool isLive(const VmEntry &Entry, Duration Timeout, TimePoint Now) const;
  /// Returns the time since the last contact after which one of \p Count VMs no
  /// longer counts as live.
  Duration timeoutFor(std::size_t Count) const;
  bool isLivePeersOutdated(TimePoint Now) const;
  std::vector<const VmEntry *> findLivePeers(TimePoint Now) const;
  /// Returns the usable VMs that do not count as live.
  std::vector<const VmEntry *> findSilent(TimePoint Now) const;
  /// Appends a random choice of \p Count elements of \p From to \p Out.
  void appendRandom(std::vector<const VmEntry *> From, std::size_t Count,
                    std::vector<VmEntry> &Out) const;
  void recordContactAt(const std::string &Vm, TimePoint At);
  /// Moves a random choice of \p Count elements to the front of \p Items.
  template <class Item>
  void shuffleFront(std::vector<Item> &Items, std::size_t Count) const;

  Options Opts;
  MemberTable Members;
  /// Names of the VMs in Members and of this VM, by hash.
  std::unordered_map<std::uint32_t, std::string> NamesByHash;
  /// Last contact of any VM with each VM.
  std::unordered_map<std::string, TimePoint> ContactAt;
  /// When the VMs that are only listed were listed.
  std::unordered_map<std::string, TimePoint> ListedAt;
  /// VMs that a hello was sent to.
  std::set<std::string> Greeted;
  /// Changed entries: when this VM learned of the change, by VM.
  std::map<std::string, TimePoint> News;
  /// Hashes of VMs whose entries are missing, and when each arrived first.
  std::map<std::uint32_t, TimePoint> Unknown;
  /// The list of live peers, when it was made, and what it was made from.
  mutable std::vector<VmEntry> LivePeers;
  mutable TimePoint LivePeersAt;
  mutable std::uint64_t LiveMembersVersion = 0;
  mutable std::uint64_t LiveVersion = 0;
};

} // namespace cicadawind

#endif
