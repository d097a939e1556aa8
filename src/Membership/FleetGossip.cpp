#include "Membership/FleetGossip.h"

#include <algorithm>
#include <cassert>

namespace cicadawind {
namespace internal {

static MemberTable::Options memberOptions(const FleetGossip::Options &Opts) {
  MemberTable::Options Out;
  Out.OwnVm = Opts.OwnVm;
  Out.FailureDomain = Opts.FailureDomain;
  Out.Region = Opts.Region;
  return Out;
}

/// Returns the VMs of \p Entries whose address another VM has that started
/// later.
static std::set<std::string> findReplaced(const std::vector<VmEntry> &Entries) {
  std::unordered_map<std::string, const VmEntry *> LastAt;
  std::set<std::string> Out;
  for (const VmEntry &Each : Entries) {
    const VmEntry *&Last =
        LastAt.try_emplace(Each.RouterPeer, &Each).first->second;
    if (Last == &Each || Each.RouterPeer.empty())
      continue;
    if (Each.Incarnation < Last->Incarnation)
      Out.insert(Each.Vm);
    if (Each.Incarnation <= Last->Incarnation)
      continue;
    Out.insert(Last->Vm);
    Last = &Each;
  }
  return Out;
}

} // namespace internal

std::uint32_t FleetGossip::hashOf(const std::string &Vm) {
  return static_cast<std::uint32_t>(hashText(Vm));
}

FleetGossip::FleetGossip(Options NewOpts)
    : Opts(std::move(NewOpts)), Members(internal::memberOptions(Opts)) {
  assert(Opts.Random && "gossip needs a source of random numbers");
  NamesByHash[hashOf(Opts.OwnVm)] = Opts.OwnVm;
}

bool FleetGossip::merge(const VmEntry &Entry) {
  std::uint64_t Before = Members.version();
  Members.merge(Entry);
  NamesByHash.try_emplace(hashOf(Entry.Vm), Entry.Vm);
  Unknown.erase(hashOf(Entry.Vm));
  return Members.version() != Before;
}

const std::string *FleetGossip::findName(std::uint32_t VmHash) const {
  auto It = NamesByHash.find(VmHash);
  return It == NamesByHash.end() ? nullptr : &It->second;
}

void FleetGossip::recordContactAt(const std::string &Vm, TimePoint At) {
  if (Vm == Opts.OwnVm)
    return;
  TimePoint &Last = ContactAt.try_emplace(Vm, At).first->second;
  Last = std::max(Last, At);
}

void FleetGossip::recordContact(const std::string &Vm, TimePoint Now) {
  recordContactAt(Vm, Now);
}

bool FleetGossip::recordHello(const VmEntry &From,
                              const std::vector<FleetMention> &Mentions,
                              const std::vector<ContactAge> &Ages,
                              TimePoint Now, bool WantsReply) {
  bool NeedsReply =
      WantsReply || (!hasContact(From.Vm) && !Greeted.count(From.Vm));
  if (merge(From))
    News[From.Vm] = Now;
  recordContactAt(From.Vm, Now);
  for (const FleetMention &Each : Mentions) {
    if (Each.Entry.Vm == Opts.OwnVm)
      continue;
    if (merge(Each.Entry))
      News[Each.Entry.Vm] = Now;
    recordContactAt(Each.Entry.Vm, Now - Each.ContactAge);
  }
  for (const ContactAge &Each : Ages) {
    if (const std::string *Vm = findName(Each.VmHash))
      recordContactAt(*Vm, Now - Each.Age);
    else
      Unknown.try_emplace(Each.VmHash, Now);
  }
  return NeedsReply;
}

bool FleetGossip::isIncomplete(TimePoint Now) const {
  return std::any_of(Unknown.begin(), Unknown.end(), [&](const auto &Each) {
    return Now - Each.second >= Opts.UnknownTimeout;
  });
}

void FleetGossip::recordSent(const std::string &Vm, TimePoint Now) {
  Greeted.insert(Vm);
  auto It = Listed.find(Vm);
  if (It == Listed.end() || hasContact(Vm))
    return;
  Listing &Each = It->second;
  if (Each.Sent++ == 0)
    Each.FirstSentAt = Now;
  Each.LastSentAt = Now;
}

void FleetGossip::sortByStart(std::vector<VmEntry> &Entries) const {
  std::stable_sort(Entries.begin(), Entries.end(),
                   [](const VmEntry &A, const VmEntry &B) {
                     return A.Incarnation > B.Incarnation;
                   });
  for (std::size_t From = 0; From < Entries.size();
       From += Opts.ShuffledListed) {
    std::size_t Size = std::min(Opts.ShuffledListed, Entries.size() - From);
    for (std::size_t I = 0; I < Size; ++I)
      std::swap(Entries[From + I],
                Entries[From + I + Opts.Random() % (Size - I)]);
  }
}

std::vector<VmEntry>
FleetGossip::recordListed(const std::vector<VmEntry> &Entries, TimePoint Now) {
  std::vector<VmEntry> Out;
  Unknown.clear();
  std::set<std::string> Gone = internal::findReplaced(Entries);
  for (const VmEntry &Entry : Entries) {
    if (Entry.Vm == Opts.OwnVm)
      continue;
    merge(Entry);
    if (!hasContact(Entry.Vm) && Gone.count(Entry.Vm))
      continue;
    bool IsNew = Listed.try_emplace(Entry.Vm, Listing{.At = Now}).second;
    if (IsNew && !hasContact(Entry.Vm) && !Greeted.count(Entry.Vm))
      Out.push_back(Entry);
  }
  sortByStart(Out);
  for (const VmEntry &Each : Out)
    Probing.push_back(Each.Vm);
  Out.resize(std::min(Out.size(), Opts.FirstHellos));
  return Out;
}

std::vector<VmEntry> FleetGossip::chooseProbes(TimePoint Now) {
  std::erase_if(Probing, [&](const std::string &Vm) {
    return hasContact(Vm) || Listed[Vm].Sent >= Opts.Probes;
  });
  std::vector<VmEntry> Out;
  for (const std::string &Vm : Probing) {
    if (Out.size() >= Opts.ProbesAtOnce)
      break;
    const Listing &Each = Listed[Vm];
    const VmEntry *Entry = Members.find(Vm);
    if (Entry &&
        (Each.Sent == 0 || Now - Each.LastSentAt >= Opts.ProbeInterval))
      Out.push_back(*Entry);
  }
  return Out;
}

template <class Item>
void FleetGossip::shuffleFront(std::vector<Item> &Items,
                               std::size_t Count) const {
  for (std::size_t I = 0; I < Count; ++I)
    std::swap(Items[I], Items[I + Opts.Random() % (Items.size() - I)]);
}

std::vector<const VmEntry *> FleetGossip::findSilent(TimePoint Now) const {
  std::vector<const VmEntry *> Out = Members.usableEntries();
  Duration Timeout = currentTimeout(Now);
  std::erase_if(Out, [&](const VmEntry *Entry) {
    return Entry->Vm == Opts.OwnVm || isLive(*Entry, Timeout, Now);
  });
  return Out;
}

std::vector<VmEntry> FleetGossip::chooseRecipients(TimePoint Now) const {
  std::vector<const VmEntry *> OfDomain;
  std::vector<const VmEntry *> Nearby;
  std::vector<const VmEntry *> Remote;
  const std::vector<VmEntry> &Live = livePeers(Now);
  for (const VmEntry &Entry : Live) {
    bool IsOfDomain = Entry.FailureDomain == Opts.FailureDomain;
    if (Entry.Region != Opts.Region)
      Remote.push_back(&Entry);
    else
      (IsOfDomain ? OfDomain : Nearby).push_back(&Entry);
  }
  bool ReachesAll = Live.size() <= Opts.HelloFanout;
  std::size_t RemoteCount = ReachesAll ? Remote.size() : Opts.RemoteHellos;
  std::vector<VmEntry> Out;
  appendRandom(std::move(Remote), RemoteCount, Out);
  std::size_t Rest = Opts.HelloFanout - Out.size();
  std::size_t DomainCount = std::min(OfDomain.size(), Rest);
  if (!ReachesAll && Rest > Opts.NearbyHellos)
    DomainCount = std::min(DomainCount, Rest - Opts.NearbyHellos);
  appendRandom(std::move(Nearby), Rest - DomainCount, Out);
  appendRandom(std::move(OfDomain), Opts.HelloFanout - Out.size(), Out);
  // A VM that does not count as live may only have been cut off, so one of
  // those gets a hello, too.
  appendRandom(findSilent(Now), 1, Out);
  return Out;
}

void FleetGossip::appendRandom(std::vector<const VmEntry *> From,
                               std::size_t Count,
                               std::vector<VmEntry> &Out) const {
  Count = std::min(Count, From.size());
  shuffleFront(From, Count);
  for (std::size_t I = 0; I < Count; ++I)
    Out.push_back(*From[I]);
}

std::vector<FleetMention> FleetGossip::chooseMentions(TimePoint Now) {
  std::erase_if(News, [&](const auto &Each) {
    return Now - Each.second >= Opts.NewsPeriod;
  });
  std::vector<std::string> Names;
  for (const auto &[Vm, Since] : News)
    Names.push_back(Vm);
  std::size_t Count = std::min(Opts.MaxMentions, Names.size());
  shuffleFront(Names, Count);
  std::vector<FleetMention> Out;
  for (std::size_t I = 0; I < Count; ++I)
    if (const VmEntry *Entry = Members.find(Names[I]))
      Out.push_back({.Entry = *Entry,
                     .ContactAge = toMillis(Now - ContactAt.at(Names[I]))});
  return Out;
}

std::vector<ContactAge> FleetGossip::chooseAges(TimePoint Now) const {
  const std::vector<VmEntry> &Live = livePeers(Now);
  std::vector<ContactAge> Out;
  std::size_t Count = std::min(Opts.MaxAges, Live.size());
  // The VMs are in the order of their names, which says nothing about their
  // contacts, so a random range is as good as a random choice.
  std::size_t First = Live.empty() ? 0 : Opts.Random() % Live.size();
  for (std::size_t I = 0; I < Count; ++I) {
    const std::string &Vm = Live[(First + I) % Live.size()].Vm;
    auto Contact = ContactAt.find(Vm);
    if (Contact != ContactAt.end())
      Out.push_back(
          {.VmHash = hashOf(Vm), .Age = toMillis(Now - Contact->second)});
  }
  return Out;
}

Duration FleetGossip::timeoutFor(std::size_t Count) const {
  std::size_t HeardOfPerInterval = Opts.HelloFanout * Opts.MaxAges / 4;
  return Opts.PeerTimeout * (1 + Count / HeardOfPerInterval);
}

bool FleetGossip::isLive(const VmEntry &Entry, Duration Timeout,
                         TimePoint Now) const {
  auto Contact = ContactAt.find(Entry.Vm);
  if (Contact != ContactAt.end())
    return Now - Contact->second < Timeout;
  return isListedLive(Entry.Vm, Timeout, Now);
}

bool FleetGossip::isListedLive(const std::string &Vm, Duration Timeout,
                               TimePoint Now) const {
  auto It = Listed.find(Vm);
  if (It == Listed.end() || Now - It->second.At >= Timeout)
    return false;
  const Listing &Each = It->second;
  if (Each.Sent >= Opts.Probes && isTried(Each, Now))
    return false;
  return !isListDoubtful(Now);
}

bool FleetGossip::isListDoubtful(TimePoint Now) const {
  if (DoubtfulAt == Now)
    return IsDoubtful;
  std::size_t Tried = 0;
  std::size_t Silent = 0;
  for (const auto &[Vm, Each] : Listed) {
    if (!isTried(Each, Now))
      continue;
    ++Tried;
    Silent += hasContact(Vm) ? 0 : 1;
  }
  DoubtfulAt = Now;
  IsDoubtful = Tried >= Opts.MinTried && 2 * Silent > Tried;
  return IsDoubtful;
}

bool FleetGossip::hasRecentContact(const std::string &Vm, TimePoint Now) const {
  auto Contact = ContactAt.find(Vm);
  return Contact != ContactAt.end() &&
         Now - Contact->second < Opts.ContactMemory;
}

std::vector<VmEntry> FleetGossip::recentlyHeardOf(TimePoint Now) const {
  std::vector<VmEntry> Out;
  for (const VmEntry *Entry : Members.usableEntries())
    if (Entry->Vm == Opts.OwnVm || hasRecentContact(Entry->Vm, Now))
      Out.push_back(*Entry);
  return Out;
}

Duration FleetGossip::currentTimeout(TimePoint Now) const {
  std::size_t Count = 0;
  for (const VmEntry *Entry : Members.usableEntries())
    Count += hasRecentContact(Entry->Vm, Now) ||
                     isListedLive(Entry->Vm, Opts.ContactMemory, Now)
                 ? 1
                 : 0;
  return timeoutFor(Count);
}

bool FleetGossip::isLivePeersOutdated(TimePoint Now) const {
  return Now - LivePeersAt >= Opts.LivePeersInterval ||
         LiveMembersVersion != Members.version();
}

const std::vector<VmEntry> &FleetGossip::livePeers(TimePoint Now) const {
  if (!isLivePeersOutdated(Now))
    return LivePeers;
  LivePeersAt = Now;
  LiveMembersVersion = Members.version();
  std::vector<const VmEntry *> Found = findLivePeers(Now);
  bool IsSame =
      std::equal(Found.begin(), Found.end(), LivePeers.begin(), LivePeers.end(),
                 [](const VmEntry *A, const VmEntry &B) { return *A == B; });
  if (IsSame)
    return LivePeers;
  std::vector<VmEntry> Newer;
  Newer.reserve(Found.size());
  for (const VmEntry *Entry : Found)
    Newer.push_back(*Entry);
  LivePeers = std::move(Newer);
  ++LiveVersion;
  return LivePeers;
}

std::vector<const VmEntry *> FleetGossip::findLivePeers(TimePoint Now) const {
  std::vector<const VmEntry *> Out = Members.usableEntries();
  Duration Timeout = currentTimeout(Now);
  std::erase_if(Out, [&](const VmEntry *Entry) {
    return Entry->Vm == Opts.OwnVm || !isLive(*Entry, Timeout, Now);
  });
  return Out;
}

} // namespace cicadawind
