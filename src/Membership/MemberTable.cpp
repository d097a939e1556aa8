#include "Membership/MemberTable.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cicadawind {
MemberTable::MemberTable(Options NewOpts) : Opts(std::move(NewOpts)) {}

void MemberTable::recordChange() { ++Version; }

void MemberTable::merge(const VmEntry &Entry) {
  Row &Current = Rows[Entry.Vm];
  if (Entry.Incarnation < Current.Entry.Incarnation)
    return;
  bool WasLeaving =
      Current.Entry.Leaving && Current.Entry.Incarnation == Entry.Incarnation;
  VmEntry Merged = Entry;
  Merged.Leaving = Entry.Leaving || WasLeaving;
  if (Current.Entry == Merged)
    return;
  Current.Entry = std::move(Merged);
  Current.NameHash = hashText(Entry.Vm);
  recordChange();
}

void MemberTable::applyList(const std::vector<VmEntry> &List) {
  std::set<std::string> Listed;
  for (const VmEntry &Entry : List) {
    Listed.insert(Entry.Vm);
    VmEntry Merged = Entry;
    auto It = Rows.find(Entry.Vm);
    // The platform does not report incarnations, so the one received from peers
    // is kept.
    if (It != Rows.end())
      Merged.Incarnation =
          std::max(Merged.Incarnation, It->second.Entry.Incarnation);
    merge(Merged);
  }
  // A VM that the list has never contained is kept, because the list lags and
  // the VM may be new.
  std::size_t Erased = std::erase_if(Rows, [&](const auto &Item) {
    bool Dropped = LastListed.count(Item.first) && !Listed.count(Item.first);
    return Dropped && Item.first != Opts.OwnVm;
  });
  if (Erased > 0)
    recordChange();
  LastListed = std::move(Listed);
}

void MemberTable::setWithdrawn(std::set<std::string> Names) {
  if (Names == Withdrawn)
    return;
  Withdrawn = std::move(Names);
  recordChange();
}

void MemberTable::suspect(const std::string &Vm, TimePoint Now) {
  SuspectedUntil[Vm] = Now + Opts.SuspicionDuration;
  recordChange();
}

void MemberTable::clearSuspicion(const std::string &Vm) {
  if (SuspectedUntil.erase(Vm) > 0)
    recordChange();
}

bool MemberTable::isLeaving(const std::string &Vm) const {
  auto It = Rows.find(Vm);
  bool Announced = It != Rows.end() && It->second.Entry.Leaving;
  return Announced || Withdrawn.count(Vm) != 0;
}

bool MemberTable::isSuspected(const std::string &Vm, TimePoint Now) const {
  auto It = SuspectedUntil.find(Vm);
  return It != SuspectedUntil.end() && Now < It->second;
}

std::vector<VmEntry> MemberTable::all() const {
  std::vector<VmEntry> Out;
  for (const auto &[Name, Item] : Rows)
    Out.push_back(Item.Entry);
  return Out;
}

const VmEntry *MemberTable::find(const std::string &Vm) const {
  auto It = Rows.find(Vm);
  return It == Rows.end() ? nullptr : &It->second.Entry;
}

std::vector<VmEntry> MemberTable::usable() const {
  std::vector<VmEntry> Out;
  for (const VmEntry *Entry : usableEntries())
    Out.push_back(*Entry);
  return Out;
}

std::vector<const VmEntry *> MemberTable::usableEntries() const {
  std::vector<const VmEntry *> Out;
  Out.reserve(Rows.size());
  for (const auto &[Name, Item] : Rows)
    if (!Item.Entry.Leaving && !Withdrawn.count(Name))
      Out.push_back(&Item.Entry);
  return Out;
}

void MemberTable::reindex() const {
  if (IndexVersion == Version)
    return;
  Index.clear();
  for (const auto &[Name, Item] : Rows)
    if (!isLeaving(Name))
      Index[Item.Entry.FailureDomain].push_back(&Item);
  IndexVersion = Version;
}

void MemberTable::keepBest(const std::string &Key, std::size_t Count,
                           TimePoint Now, Candidates &From) const {
  using Rank = std::tuple<bool, std::uint64_t, const Row *>;
  std::uint64_t KeyHash = hashText(Key);
  std::vector<Rank> Ranked;
  Ranked.reserve(From.size());
  bool AnySuspected = !SuspectedUntil.empty();
  for (const Row *Item : From) {
    bool Suspected = AnySuspected && isSuspected(Item->Entry.Vm, Now);
    Ranked.emplace_back(Suspected, hashCombine(KeyHash, Item->NameHash), Item);
  }
  std::size_t Kept = std::min(Count, Ranked.size());
  auto Middle = Ranked.begin() + static_cast<std::ptrdiff_t>(Kept);
  std::partial_sort(Ranked.begin(), Middle, Ranked.end());
  From.clear();
  for (auto It = Ranked.begin(); It != Middle; ++It)
    From.push_back(std::get<const Row *>(*It));
}

std::vector<VmEntry> MemberTable::ownersOf(const std::string &Target,
                                           const std::string &FailureDomain,
                                           const std::string &Region,
                                           TimePoint Now,
                                           std::size_t Count) const {
  reindex();
  auto IsNotSuspected = [&](const Row *Item) {
    return !isSuspected(Item->Entry.Vm, Now);
  };
  Candidates Best;
  auto Local = Index.find(FailureDomain);
  if (Local != Index.end()) {
    Best = Local->second;
    keepBest(Target, Count, Now, Best);
  }
  if (Best.empty() || !IsNotSuspected(Best.front())) {
    Candidates Near;
    Candidates Far;
    for (const auto &[Domain, Members] : Index) {
      if (Domain == FailureDomain || Members.empty())
        continue;
      bool SameRegion = Members.front()->Entry.Region == Region;
      Candidates &Group = SameRegion ? Near : Far;
      Group.insert(Group.end(), Members.begin(), Members.end());
    }
    for (Candidates *Group : {&Near, &Far}) {
      keepBest(Target, Count, Now, *Group);
      Best.insert(Best.end(), Group->begin(), Group->end());
    }
    // Suspected local poolers come after all poolers that are not suspected.
    std::stable_partition(Best.begin(), Best.end(), IsNotSuspected);
  }
  std::vector<VmEntry> Out;
  for (std::size_t I = 0; I < Best.size() && I < Count; ++I)
    Out.push_back(Best[I]->Entry);
  return Out;
}

bool MemberTable::isAssigned(const std::string &Task, std::size_t Count,
                             TimePoint Now) const {
  reindex();
  Candidates Assigned;
  auto Local = Index.find(Opts.FailureDomain);
  if (Local != Index.end())
    Assigned = Local->second;
  // With at most Count VMs, each of them is responsible. A daemon that knows no
  // peers therefore does every task itself.
  if (Assigned.size() <= Count)
    return true;
  keepBest(Task, Count, Now, Assigned);
  return std::any_of(Assigned.begin(), Assigned.end(), [this](const Row *Item) {
    return Item->Entry.Vm == Opts.OwnVm;
  });
}

std::optional<VmEntry> MemberTable::randomPeer(bool OtherDomain,
                                               std::uint64_t Random,
                                               TimePoint Now) const {
  Candidates Peers;
  for (const auto &[Name, Item] : Rows) {
    bool Same = Item.Entry.FailureDomain == Opts.FailureDomain;
    if (Name == Opts.OwnVm || Same == OtherDomain || isSuspected(Name, Now))
      continue;
    Peers.push_back(&Item);
  }
  if (Peers.empty())
    return std::nullopt;
  return Peers[Random % Peers.size()]->Entry;
}

} // namespace cicadawind
