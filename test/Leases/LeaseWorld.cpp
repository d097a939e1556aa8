#include "Leases/LeaseWorld.h"

#include "Leases/LeaseWorldVm.h"

#include <algorithm>
#include <set>

namespace cicadawind::test {

using std::chrono::milliseconds;

LeaseWorld::LeaseWorld(Options NewOpts)
    : Opts(NewOpts), Engine(Opts.Seed), Now(std::chrono::seconds(100)) {
  Instances.resize(InstanceCount);
  Instances[0].IsPrimary = true;
  TermBegan[1] = Now;
  for (std::size_t I = 0; I < Opts.Vms; ++I) {
    Vms.push_back(std::make_unique<Vm>(Now));
    startVm(I);
  }
  planFaults();
  tickInstances();
}

LeaseWorld::~LeaseWorld() = default;

Duration LeaseWorld::between(int MinMs, int MaxMs) {
  return milliseconds(std::uniform_int_distribution<>(MinMs, MaxMs)(Engine));
}

void LeaseWorld::at(TimePoint When, std::function<void()> Run) {
  Events.push({.At = When, .Number = ++LastEvent, .Run = std::move(Run)});
}

void LeaseWorld::run() {
  TimePoint End = Now + Opts.Length;
  while (!Events.empty() && Now < End) {
    Event Next = Events.top();
    Events.pop();
    Now = Next.At;
    Next.Run();
  }
}

bool LeaseWorld::isCut(std::size_t From, std::size_t To) const {
  return std::any_of(Cuts.begin(), Cuts.end(), [&](const Cut &Each) {
    return Each.From == From && Each.To == To && Now >= Each.Begin &&
           Now < Each.End;
  });
}

void LeaseWorld::deliver(std::size_t From, std::size_t To,
                         std::function<void()> Run) {
  if (isCut(From, To) || chance() < 0.02)
    return;
  after(between(1, 30), std::move(Run));
}

void LeaseWorld::planFaults() {
  TimePoint Start = Now;
  unsigned Count = 2 + static_cast<unsigned>(Engine() % 5);
  for (unsigned I = 0; I < Count; ++I) {
    TimePoint Begin = Start + between(500, 16000);
    Duration Time = between(300, 6000);
    switch (Engine() % 7) {
    case 0: { // One instance crashes, usually the primary.
      at(Begin, [this, Time] {
        std::size_t Id = Engine() % InstanceCount;
        for (std::size_t Each = 0; Each < InstanceCount; ++Each)
          if (Instances[Each].IsPrimary && chance() < 0.7)
            Id = Each;
        Instances[Id].Up = false;
        after(Time, [this, Id] {
          Instance &Each = Instances[Id];
          Each.Up = true;
          Each.Paused = 0;
          Term Newest = TermBegan.rbegin()->first;
          if (Each.Leads < Newest) {
            Each.IsPrimary = false;
            Each.Leads = Newest;
          }
        });
      });
      break;
    }
    case 1: { // A VM freezes.
      std::size_t Index = Engine() % Opts.Vms;
      at(Begin, [this, Index, Time] { Vms[Index]->FrozenUntil = Now + Time; });
      break;
    }
    case 2: { // A VM restarts.
      std::size_t Index = Engine() % Opts.Vms;
      at(Begin, [this, Index] {
        std::uint64_t Incarnation = Vms[Index]->Incarnation + 1;
        Vms[Index] = std::make_unique<Vm>(Now);
        Vms[Index]->Incarnation = Incarnation;
        startVm(Index);
      });
      break;
    }
    case 3:
      StoreDownFrom = Begin;
      StoreDownUntil = Begin + Time;
      break;
    default: { // Two sides are cut from each other, in one or both directions.
      std::vector<std::size_t> Nodes{StoreNode, PlatformNode};
      for (std::size_t Id = 0; Id < InstanceCount; ++Id)
        Nodes.push_back(Id);
      for (std::size_t Index = 0; Index < Opts.Vms; ++Index)
        Nodes.push_back(vmNode(Index));
      std::set<std::size_t> Side;
      for (std::size_t Node : Nodes)
        if (chance() < 0.4)
          Side.insert(Node);
      bool OneWay = chance() < 0.2;
      for (std::size_t From : Nodes)
        for (std::size_t To : Nodes) {
          bool Crosses = Side.count(From) != Side.count(To);
          if (Crosses && !(OneWay && Side.count(From)))
            Cuts.push_back(
                {.From = From, .To = To, .Begin = Begin, .End = Begin + Time});
        }
    }
    }
  }
}

void LeaseWorld::tickInstances() {
  Term Newest = TermBegan.rbegin()->first;
  std::size_t Leader = 0;
  for (std::size_t Id = 0; Id < InstanceCount; ++Id)
    if (Instances[Id].IsPrimary && Instances[Id].Leads == Newest)
      Leader = Id;
  for (std::size_t Id = 0; Id < InstanceCount; ++Id) {
    Instance &Each = Instances[Id];
    bool Reaches = Each.Up && Instances[Leader].Up && !isCut(Id, Leader) &&
                   !isCut(Leader, Id);
    // A paused replica receives nothing from a primary of a lower term.
    bool IsPaused = !Each.IsPrimary && Each.Paused > Newest;
    if (Each.Leads >= Newest || !Reaches || IsPaused) {
      Each.ReachesNewerSince.reset();
      continue;
    }
    if (!Each.ReachesNewerSince)
      Each.ReachesNewerSince = Now;
    // A replica follows the new primary at once.
    if (!Each.IsPrimary || Now - *Each.ReachesNewerSince >= SelfDemotionTime) {
      Each.IsPrimary = false;
      Each.Leads = Newest;
      Each.Paused = 0;
    }
  }
  after(milliseconds(20), [this] { tickInstances(); });
}

void LeaseWorld::promote(std::size_t Id) {
  Instance &Each = Instances[Id];
  Term Newest = TermBegan.rbegin()->first;
  bool Leads = Each.IsPrimary && Each.Leads == Newest;
  if (!Each.Up || Leads)
    return;
  ++Promotions;
  Each.IsPrimary = true;
  Each.Leads = Newest + 1;
  Each.Paused = 0;
  TermBegan[Each.Leads] = Now;
}

void LeaseWorld::receiveOrder(std::size_t Vm, std::size_t Id,
                              std::uint64_t Token,
                              std::function<void(int)> Answer) {
  if (Token < HighestOrdered)
    Violations.push_back("an order with token " + std::to_string(Token) +
                         " arrived after one with token " +
                         std::to_string(HighestOrdered));
  HighestOrdered = std::max(HighestOrdered, Token);
  auto Run = [this, Id] {
    after(between(100, 1000), [this, Id] { promote(Id); });
  };
  double Fate = chance();
  if (Fate < 0.15)
    return after(between(1000, 12000), Run); // Late and without an answer.
  bool IsRunning = Instances[Id].Up;
  if (IsRunning)
    Run();
  if (Fate < 0.25)
    return; // Without an answer.
  deliver(PlatformNode, vmNode(Vm),
          [Answer, IsRunning] { Answer(IsRunning ? 200 : 409); });
}

TargetStatus LeaseWorld::statusOf(std::size_t Id) const {
  TargetStatus Out;
  Out.IsPrimary = Instances[Id].IsPrimary;
  Out.CurrentTerm = Instances[Id].Leads;
  Out.ReceivePausedUpToTerm = Instances[Id].Paused;
  return Out;
}

void LeaseWorld::askStatus(
    std::size_t Index, std::size_t Id, std::function<void(Instance &)> Change,
    std::function<void(const TargetStatus &, TimePoint)> Hook) {
  TimePoint RequestedAt = Now;
  std::uint64_t Incarnation = Vms[Index]->Incarnation;
  deliver(vmNode(Index), Id, [=, this] {
    if (!Instances[Id].Up)
      return;
    if (Change)
      Change(Instances[Id]);
    TargetStatus Status = statusOf(Id);
    deliver(Id, vmNode(Index), [=, this] {
      Vm &Self = *Vms[Index];
      if (Self.Incarnation != Incarnation)
        return;
      if (Now < Self.FrozenUntil)
        return at(Self.FrozenUntil, [=, this] {
          if (Vms[Index]->Incarnation == Incarnation)
            Hook(Status, RequestedAt);
        });
      Hook(Status, RequestedAt);
    });
  });
}

} // namespace cicadawind::test
