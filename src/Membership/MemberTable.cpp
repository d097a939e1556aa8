#include "Membership/MemberTable.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cicadawind {
namespace internal {

static std::uint64_t hashText(const std::string &Text) {
  std::uint64_t Hash = Text.size();
  for (unsigned char C : Text)
    Hash = mix(Hash, C);
  return Hash;
}

} // namespace internal

MemberTable::MemberTable(Options NewOpts) : Opts(std::move(NewOpts)) {}

void MemberTable::merge(const VmEntry &Entry) {
  VmEntry &Known = Entries[Entry.Vm];
  if (Entry.Incarnation < Known.Incarnation) {
    return;
  }
  bool WasLeaving = Known.Leaving && Known.Incarnation == Entry.Incarnation;
  Known = Entry;
  Known.Leaving = Entry.Leaving || WasLeaving;
}

void MemberTable::replaceAll(const std::vector<VmEntry> &List) {
  std::set<std::string> Listed;
  for (const VmEntry &Entry : List) {
    Listed.insert(Entry.Vm);
    VmEntry Merged = Entry;
    auto It = Entries.find(Entry.Vm);
    // The platform knows no incarnations: keep what peers said.
    if (It != Entries.end())
      Merged.Incarnation = std::max(Merged.Incarnation, It->second.Incarnation);
    merge(Merged);
  }
  // A VM that the list never held may be too new for it.
  std::erase_if(Entries, [&](const auto &Row) {
    bool Dropped = LastListed.count(Row.first) && !Listed.count(Row.first);
    return Dropped && Row.first != Opts.OwnVm;
  });
  LastListed = std::move(Listed);
}

void MemberTable::setWithdrawn(std::set<std::string> Names) {
  Withdrawn = std::move(Names);
}

void MemberTable::suspect(const std::string &Vm, TimePoint Now) {
  SuspectedUntil[Vm] = Now + Opts.SuspectFor;
}

void MemberTable::clearSuspicion(const std::string &Vm) {
  SuspectedUntil.erase(Vm);
}

bool MemberTable::isLeaving(const std::string &Vm) const {
  auto It = Entries.find(Vm);
  bool Announced = It != Entries.end() && It->second.Leaving;
  return Announced || Withdrawn.count(Vm) != 0;
}

bool MemberTable::isSuspected(const std::string &Vm, TimePoint Now) const {
  auto It = SuspectedUntil.find(Vm);
  return It != SuspectedUntil.end() && Now < It->second;
}

std::vector<VmEntry> MemberTable::all() const {
  std::vector<VmEntry> Out;
  for (const auto &[Name, Entry] : Entries)
    Out.push_back(Entry);
  return Out;
}

std::vector<VmEntry> MemberTable::usable() const {
  std::vector<VmEntry> Out;
  for (const auto &[Name, Entry] : Entries)
    if (!isLeaving(Name))
      Out.push_back(Entry);
  return Out;
}

std::vector<VmEntry> MemberTable::ranked(const std::string &Key,
                                         std::vector<VmEntry> Candidates,
                                         TimePoint Now) const {
  std::uint64_t KeyHash = internal::hashText(Key);
  auto Rank = [&](const VmEntry &Entry) {
    return std::tuple(isSuspected(Entry.Vm, Now),
                      mix(KeyHash, internal::hashText(Entry.Vm)), Entry.Vm);
  };
  std::sort(
      Candidates.begin(), Candidates.end(),
      [&](const VmEntry &A, const VmEntry &B) { return Rank(A) < Rank(B); });
  return Candidates;
}

std::vector<VmEntry> MemberTable::ownersOf(const std::string &Target,
                                           const std::string &FailureDomain,
                                           const std::string &Region,
                                           TimePoint Now) const {
  std::vector<VmEntry> Local;
  std::vector<VmEntry> Near;
  std::vector<VmEntry> Far;
  for (const VmEntry &Entry : usable()) {
    if (Entry.FailureDomain == FailureDomain)
      Local.push_back(Entry);
    else if (Entry.Region == Region)
      Near.push_back(Entry);
    else
      Far.push_back(Entry);
  }
  bool LocalAnswers =
      std::any_of(Local.begin(), Local.end(), [&](const VmEntry &Entry) {
        return !isSuspected(Entry.Vm, Now);
      });
  std::vector<VmEntry> Out = ranked(Target, Local, Now);
  if (LocalAnswers)
    return Out;
  for (auto *Group : {&Near, &Far})
    for (const VmEntry &Entry : ranked(Target, *Group, Now))
      Out.push_back(Entry);
  // Suspected local poolers come after all that may answer.
  std::stable_partition(Out.begin(), Out.end(), [&](const VmEntry &Entry) {
    return !isSuspected(Entry.Vm, Now);
  });
  return Out;
}

bool MemberTable::hasDuty(const std::string &Duty, std::size_t Count,
                          TimePoint Now) const {
  std::vector<VmEntry> Candidates;
  for (const VmEntry &Entry : usable())
    if (Entry.FailureDomain == Opts.FailureDomain)
      Candidates.push_back(Entry);
  std::vector<VmEntry> Order = ranked(Duty, std::move(Candidates), Now);
  // A daemon that knows no peers takes every duty itself.
  if (Order.size() <= Count)
    return true;
  for (std::size_t I = 0; I < Count; ++I)
    if (Order[I].Vm == Opts.OwnVm)
      return true;
  return false;
}

std::optional<VmEntry> MemberTable::randomPeer(bool Elsewhere,
                                               std::uint64_t Random,
                                               TimePoint Now) const {
  std::vector<const VmEntry *> Candidates;
  for (const auto &[Name, Entry] : Entries) {
    bool Same = Entry.FailureDomain == Opts.FailureDomain;
    if (Name == Opts.OwnVm || Same == Elsewhere || isSuspected(Name, Now))
      continue;
    Candidates.push_back(&Entry);
  }
  if (Candidates.empty())
    return std::nullopt;
  return *Candidates[Random % Candidates.size()];
}

} // namespace cicadawind
