#ifndef CICADAWIND_MEMBERSHIP_FLEETGOSSIP_H
#define CICADAWIND_MEMBERSHIP_FLEETGOSSIP_H

#include "Core/Clock.h"
#include "Core/Random.h"
#include "Membership/ContactAge.h"
#include "Membership/FleetMention.h"
#include "Membership/MemberTable.h"

#include <cstdint>
#include <map>
#include <optional>
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
/// with the logarithm of the fleet. A VM that starts takes all VMs that the
/// store lists for live at first, so that all VMs that start together agree on
/// the fleet. The list may also have many VMs that are gone for good: the VM
/// sends hellos to all that it has not heard of otherwise, those that started
/// last first, and no longer takes for live which of them do not reply, and
/// those that it has not come to yet once most do not reply. A VM of which only
/// the hash is known is learned from a peer's whole list, see isIncomplete().
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
    /// Maximum number of listed VMs in each call of chooseProbes(), how often
    /// each gets a hello before it counts as silent, and the time between these
    /// hellos.
    std::size_t ProbesAtOnce = 16;
    unsigned Probes = 2;
    Duration ProbeInterval = std::chrono::milliseconds(400);
    /// Time after the first hello to a listed VM at which it counts as silent
    /// if nothing was heard of it.
    Duration ReplyTimeout = std::chrono::milliseconds(1200);
    /// Number of listed VMs that must have been tried before their replies tell
    /// whether the others are live.
    std::size_t MinTried = 4;
    /// Number of listed VMs among which the order of hellos is random, so that
    /// VMs which start together do not all begin with the same ones.
    std::size_t ShuffledListed = 64;
    /// Time since the last contact of any VM after which a VM no longer counts
    /// as live, if a VM hears of all others in a HelloInterval. In a larger
    /// fleet the timeout grows in proportion.
    Duration PeerTimeout = std::chrono::seconds(8);
    /// Time for which a VM must have been unknown before isIncomplete(), so
    /// that its entry can arrive as news.
    Duration UnknownTimeout = std::chrono::seconds(2);
    /// Interval at which the list of live peers is renewed.
    Duration LivePeersInterval = std::chrono::milliseconds(250);
    /// Time for which VMs are remembered for the length of timeouts.
    Duration ContactMemory = std::chrono::minutes(5);
    RandomSource Random;
  };

  explicit FleetGossip(Options Opts);

  /// Returns the hash that names \p Vm in a ContactAge.
  static std::uint32_t hashOf(const std::string &Vm);

  /// Records a hello of \p From. Returns whether it should get one in reply:
  /// if it asks for one (\p WantsReply), or if this is the first contact and no
  /// hello was sent to it before.
  bool recordHello(const VmEntry &From,
                   const std::vector<FleetMention> &Mentions,
                   const std::vector<ContactAge> &Ages, TimePoint Now,
                   bool WantsReply = false);
  /// Records another message of \p Vm.
  void recordContact(const std::string &Vm, TimePoint Now);
  /// Records the VMs that the store or a peer lists, and returns those to send
  /// a hello to.
  std::vector<VmEntry> recordListed(const std::vector<VmEntry> &Listed,
                                    TimePoint Now);
  /// Records that a hello was sent to \p Vm, which asks for a reply unless
  /// hasContact().
  void recordSent(const std::string &Vm, TimePoint Now);

  /// Returns the VMs that get the hellos of one HelloInterval, or the news that
  /// this VM has: a random choice, mostly of this failure domain.
  std::vector<VmEntry> chooseRecipients(TimePoint Now) const;
  /// Returns the listed VMs that get a hello now because nothing was heard of
  /// them yet.
  std::vector<VmEntry> chooseProbes(TimePoint Now);
  /// Returns the changed entries that the next hello contains.
  std::vector<FleetMention> chooseMentions(TimePoint Now);
  /// Returns the contact ages that the next hello contains: a random choice of
  /// the live VMs.
  std::vector<ContactAge> chooseAges(TimePoint Now) const;

  /// Returns the VMs with a recent contact, except this one and those that are
  /// leaving.
  const std::vector<VmEntry> &livePeers(TimePoint Now) const;
  /// Returns the time since the last contact after which a VM no longer counts
  /// as live.
  Duration currentTimeout(TimePoint Now) const;
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
  /// Returns the usable VMs that any VM had contact with in ContactMemory.
  std::vector<VmEntry> recentlyHeardOf(TimePoint Now) const;

private:
  /// A VM that the store or a peer has listed.
  struct Listing {
    TimePoint At;
    /// Hellos sent to it, and when the first and the last one were.
    unsigned Sent = 0;
    TimePoint FirstSentAt;
    TimePoint LastSentAt;
  };

  bool hasRecentContact(const std::string &Vm, TimePoint Now) const;
  /// Returns whether a listed VM of which nothing was heard counts as live.
  bool isListedLive(const std::string &Vm, Duration Timeout,
                    TimePoint Now) const;
  /// Returns whether most of the listed VMs that were tried are silent.
  bool isListDoubtful(TimePoint Now) const;
  bool isTried(const Listing &Each, TimePoint Now) const {
    return Each.Sent > 0 && Now - Each.FirstSentAt >= Opts.ReplyTimeout;
  }
  /// Sorts VMs by their start, the last one first, in a random order within
  /// each ShuffledListed.
  void sortByStart(std::vector<VmEntry> &Entries) const;
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
  /// The VMs that were listed, and what was done to hear of them.
  std::unordered_map<std::string, Listing> Listed;
  /// Listed VMs that may still need a hello, in the order in which they get it.
  std::vector<std::string> Probing;
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
  /// The last result of isListDoubtful(), and of when it is.
  mutable bool IsDoubtful = false;
  mutable std::optional<TimePoint> DoubtfulAt;
};

} // namespace cicadawind

#endif
