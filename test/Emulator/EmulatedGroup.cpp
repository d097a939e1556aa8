#include "Emulator/EmulatedGroup.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cicadawind::emulator {

/// Time after which a primary that was replaced without fencing steps down.
constexpr Duration SelfDemotionTime = std::chrono::milliseconds(1000);

EmulatedGroup::EmulatedGroup(std::string Name, std::vector<std::string> Members,
                             Fencing Kind)
    : Name(std::move(Name)), Kind(Kind) {
  assert(!Members.empty());
  Primary = Members.front();
  Source = Primary;
  for (const std::string &Id : Members)
    Instances[Id].IsPrimary = Id == Primary;
}

LogPosition EmulatedGroup::commit(const std::string &Id,
                                  const std::string &Item,
                                  const std::string &Data,
                                  const std::string &RequestId, TimePoint Now) {
  Instance &Leader = Instances.at(Id);
  assert(Leader.IsPrimary);
  LogIndex Next = Leader.Log.empty() ? 1 : Leader.Log.back().Position.Index + 1;
  LogEntry Entry{.Position = {.WrittenIn = Leader.CurrentTerm, .Index = Next},
                 .Item = Item,
                 .Data = Data,
                 .RequestId = RequestId};
  Leader.Log.push_back(Entry);
  Leader.AppliesAt.push_back(Now);
  Leader.Applied = Leader.Log.size();
  if (Id != Source)
    return Entry.Position;
  for (auto &[Other, Replica] : Instances)
    if (Other != Id && receives(Replica))
      copyTo(Replica, Now);
  return Entry.Position;
}

bool EmulatedGroup::receives(const Instance &Each) const {
  const Instance &From = Instances.at(Source);
  return !Each.IsPrimary && !Each.ReplicationPaused && !Each.Down &&
         !Each.IsCut && !From.IsCut && Each.CurrentTerm == From.CurrentTerm &&
         Each.PausedUpTo <= From.CurrentTerm;
}

void EmulatedGroup::copyTo(Instance &To, TimePoint Now) {
  const Instance &SourceInstance = Instances.at(Source);
  for (std::size_t I = To.Log.size(); I < SourceInstance.Log.size(); ++I) {
    To.Log.push_back(SourceInstance.Log[I]);
    To.AppliesAt.push_back(Now + To.Lag);
  }
}

void EmulatedGroup::follow(Instance &Each, TimePoint Now) {
  const Instance &Leader = Instances.at(Source);
  Each.IsPrimary = false;
  Each.CurrentTerm = Current;
  Each.PausedUpTo = 0;
  Each.ReplacedAt.reset();
  std::size_t Common = 0;
  while (Common < Each.Log.size() && Common < Leader.Log.size() &&
         Each.Log[Common].Position == Leader.Log[Common].Position)
    ++Common;
  RolledBack = std::max(RolledBack, Each.Log.size() - Common);
  Each.Log.resize(Common);
  Each.AppliesAt.resize(Common);
  Each.Applied = std::min(Each.Applied, Common);
  copyTo(Each, Now);
}

void EmulatedGroup::promote(const std::string &Id, TimePoint Now) {
  if (Id == Primary)
    return;
  Primary = Id;
  Source = Id;
  ++Current;
  Instance &Leader = Instances.at(Id);
  Leader.IsPrimary = true;
  Leader.CurrentTerm = Current;
  Leader.PausedUpTo = 0;
  Leader.ReplacedAt.reset();
  Leader.Applied = Leader.Log.size();
  for (auto &[Other, Each] : Instances) {
    if (Other == Id)
      continue;
    bool GoesOn = Kind == Fencing::None && Each.IsPrimary;
    if (GoesOn)
      Each.ReplacedAt = Each.ReplacedAt.value_or(Now);
    else if (Each.IsCut || Leader.IsCut)
      Each.IsPrimary = false;
    else
      follow(Each, Now);
  }
}

void EmulatedGroup::demote(const std::string &Id, Term Below) {
  Instance &Each = Instances.at(Id);
  if (!Each.IsPrimary || Each.CurrentTerm >= Below)
    return;
  Each.IsPrimary = false;
  if (Id == Primary)
    Primary.clear();
  else
    follow(Each, BootClock::now());
}

void EmulatedGroup::pause(const std::string &Id, Term NewTerm) {
  Instance &Each = Instances.at(Id);
  if (!Each.IsPrimary && NewTerm > Each.CurrentTerm)
    Each.PausedUpTo = std::max(Each.PausedUpTo, NewTerm);
}

void EmulatedGroup::resume(const std::string &Id) {
  Instances.at(Id).PausedUpTo = 0;
}

void EmulatedGroup::advance(TimePoint Now) {
  bool Copies = !Instances.at(Source).Down;
  for (auto &[Id, Each] : Instances) {
    bool StepsDown =
        Copies && Each.ReplacedAt && Now - *Each.ReplacedAt >= SelfDemotionTime;
    bool Rejoins = Copies && !Each.IsCut && !Instances.at(Source).IsCut &&
                   Kind == Fencing::Enforced && Each.CurrentTerm < Current;
    if (StepsDown || Rejoins)
      follow(Each, Now);
    if (Copies && Id != Source && receives(Each))
      copyTo(Each, Now);
    while (Each.Applied < Each.Log.size() &&
           Each.AppliesAt[Each.Applied] <= Now)
      ++Each.Applied;
  }
}

LogPosition EmulatedGroup::applied(const std::string &Id) const {
  const Instance &Each = Instances.at(Id);
  if (Each.Applied == 0)
    return {.WrittenIn = 1, .Index = 0};
  return Each.Log[Each.Applied - 1].Position;
}

LogPosition EmulatedGroup::received(const std::string &Id) const {
  const Instance &Each = Instances.at(Id);
  if (Each.Log.empty())
    return {.WrittenIn = 1, .Index = 0};
  return Each.Log.back().Position;
}

bool EmulatedGroup::includes(const std::string &Id,
                             LogPosition Position) const {
  if (Position.Index == 0)
    return true;
  const Instance &Each = Instances.at(Id);
  auto End = Each.Log.begin() + static_cast<std::ptrdiff_t>(Each.Applied);
  return std::any_of(Each.Log.begin(), End, [&](const LogEntry &Entry) {
    return Entry.Position == Position;
  });
}

std::string EmulatedGroup::read(const std::string &Id,
                                const std::string &Item) const {
  const Instance &Each = Instances.at(Id);
  for (std::size_t I = Each.Applied; I > 0; --I)
    if (Each.Log[I - 1].Item == Item)
      return Each.Log[I - 1].Data;
  return {};
}

} // namespace cicadawind::emulator
