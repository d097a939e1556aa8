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
                              TimePoint Now) {
  bool NeedsReply = !hasContact(From.Vm) && !Greeted.count(From.Vm);
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

std::vector<VmEntry>
FleetGossip::recordListed(const std::vector<VmEntry> &Listed, TimePoint Now) {
  std::vector<VmEntry> Out;
  Unknown.clear();
  for (const VmEntry &Entry : Listed) {
    if (Entry.Vm == Opts.OwnVm)
      continue;
    ListedAt[Entry.Vm] = Now;
    merge(Entry);
    if (!hasContact(Entry.Vm) && !Greeted.count(Entry.Vm))
      Out.push_back(Entry);
  }
  std::size_t Count = std::min(Out.size(), Opts.FirstHellos);
  shuffleFront(Out, Count);
  Out.resize(Count);
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
  Duration Timeout = timeoutFor(Out.size());
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
  auto Listed = ListedAt.find(Entry.Vm);
  return Listed != ListedAt.end() && Now - Listed->second < Timeout;
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
  Duration Timeout = timeoutFor(Out.size());
  std::erase_if(Out, [&](const VmEntry *Entry) {
    return Entry->Vm == Opts.OwnVm || !isLive(*Entry, Timeout, Now);
  });
  return Out;
}

} // namespace cicadawind
