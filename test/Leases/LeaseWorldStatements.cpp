#include "Leases/LeaseWorldVm.h"

#include <set>
#include <sstream>

// What the VMs of a LeaseWorld do while they have a primary.

namespace cicadawind::test {

using std::chrono::milliseconds;

void LeaseWorld::startVm(std::size_t Index) {
  Vm &Self = *Vms[Index];
  Self.LastContact = Now;
  after(between(0, 25), [this, Index, Incarnation = Self.Incarnation] {
    if (Vms[Index]->Incarnation == Incarnation)
      tickVm(Index);
  });
}

void LeaseWorld::learnPrimary(std::size_t Index, std::size_t Id,
                              const TargetStatus &Status,
                              TimePoint RequestedAt) {
  Vm &Self = *Vms[Index];
  std::string Name = instanceName(Id);
  if (Status.IsPrimary)
    Self.Claims[Name] = Status.CurrentTerm;
  else
    Self.Claims.erase(Name);
  choosePrimary(Index);
  Self.Lease.recordStatus(Name, Status, RequestedAt);
  if (Name == Self.Lease.primary() && Status.IsPrimary)
    Self.LastContact = Now;
  if (Status.IsPrimary)
    Self.Promise.recordLeader(Status.CurrentTerm);
}

void LeaseWorld::choosePrimary(std::size_t Index) {
  Vm &Self = *Vms[Index];
  std::string Best;
  for (const auto &[Name, Leads] : Self.Claims)
    if (Best.empty() || Leads > Self.Claims[Best])
      Best = Name;
  Self.Lease.setPrimary(Best);
  std::vector<std::string> Others;
  for (std::size_t Id = 0; Id < InstanceCount; ++Id)
    if (instanceName(Id) != Best)
      Others.push_back(instanceName(Id));
  Self.Lease.setReplicas(Others, Now);
}

void LeaseWorld::tickVm(std::size_t Index) {
  Vm &Self = *Vms[Index];
  auto Again = [this, Index, Incarnation = Self.Incarnation] {
    if (Vms[Index]->Incarnation == Incarnation)
      tickVm(Index);
  };
  if (Now < Self.FrozenUntil)
    return at(Self.FrozenUntil, Again);
  after(TickInterval, Again);
  std::set<std::string> Due;
  bool HasPeer = Index % 2 == 1;
  if (HasPeer && Self.Lease.peerEvidenceDue(Now))
    askPeer(Index, Index - 1);
  for (const std::string &Name : Self.Lease.statusDue(HasPeer, Now))
    Due.insert(Name);
  bool Searches = !Self.Lease.isValidAt(Now) && Now >= Self.NextSearch;
  if (Searches) {
    Self.NextSearch = Now + milliseconds(100);
    for (std::size_t Id = 0; Id < InstanceCount; ++Id)
      Due.insert(instanceName(Id));
  }
  for (const std::string &Name : Due) {
    std::size_t Id = instanceId(Name);
    askStatus(Index, Id, nullptr,
              [this, Index, Id](const TargetStatus &Status, TimePoint At) {
                learnPrimary(Index, Id, Status, At);
              });
  }
  if (Self.Lease.votesDue(Now))
    voteForLease(Index);
  if (chance() < 0.5)
    write(Index);
  else
    read(Index);
  bool IsSilent = Now - Self.LastContact > SilenceLimit;
  bool MayStart = IsSilent && !Self.Current && Now >= Self.NextAttempt &&
                  !Self.Promise.isHeldByOther(vmName(Index), Now);
  bool Starts = MayStart && chance() < 0.1;
  // Besides, a VM may suspect a primary by mistake.
  Starts = Starts || (!Self.Current && chance() < 0.0005);
  if (Starts)
    startAttempt(Index);
}

void LeaseWorld::askPeer(std::size_t Index, std::size_t Other) {
  TimePoint RequestedAt = Now;
  Term Leading = *Vms[Index]->Lease.term();
  std::uint64_t Incarnation = Vms[Index]->Incarnation;
  deliver(vmNode(Index), vmNode(Other), [=, this] {
    const Vm &Peer = *Vms[Other];
    std::optional<TimePoint> At = Peer.Lease.shareableEvidenceAt(Now);
    if (Now < Peer.FrozenUntil || Peer.Lease.term() != Leading || !At)
      return;
    Duration Age = Now - *At;
    bool IsOfAll = Peer.Lease.needsAllReplicas();
    deliver(vmNode(Other), vmNode(Index), [=, this] {
      Vm &Self = *Vms[Index];
      if (Self.Incarnation == Incarnation && Now >= Self.FrozenUntil)
        Self.Lease.recordPeerEvidence(Leading, RequestedAt - Age, IsOfAll);
    });
  });
}

void LeaseWorld::voteForLease(std::size_t Index) {
  struct Tally {
    std::size_t Supports = 0;
    std::size_t Answers = 0;
    bool Objected = false;
  };
  Vm &Self = *Vms[Index];
  auto Votes = std::make_shared<Tally>();
  TimePoint RequestedAt = Now;
  Term Leading = *Self.Lease.term();
  for (std::size_t Other = 0; Other < Vms.size(); ++Other) {
    auto Record = [=, this, Incarnation = Self.Incarnation](LeaseVote Vote) {
      if (Vms[Index]->Incarnation != Incarnation ||
          Now < Vms[Index]->FrozenUntil)
        return;
      ++Votes->Answers;
      Votes->Supports += Vote == LeaseVote::Supports ? 1 : 0;
      Votes->Objected |= Vote == LeaseVote::Objects;
      using Outcome = PrimaryLease::VoteOutcome;
      if (2 * Votes->Supports > Vms.size())
        Vms[Index]->Lease.recordVotes(Leading, Outcome::Supported, RequestedAt);
      else if (2 * Votes->Answers > Vms.size() && !Votes->Objected)
        Vms[Index]->Lease.recordVotes(Leading, Outcome::NoObjection,
                                      RequestedAt);
    };
    if (Other == Index) {
      Record(Self.Promise.leaseVote(Leading, Now));
      continue;
    }
    deliver(vmNode(Index), vmNode(Other), [=, this] {
      if (Now < Vms[Other]->FrozenUntil)
        return;
      LeaseVote Vote = Vms[Other]->Promise.leaseVote(Leading, Now);
      deliver(vmNode(Other), vmNode(Index), [=] { Record(Vote); });
    });
  }
}

void LeaseWorld::read(std::size_t Index) {
  Vm &Self = *Vms[Index];
  if (!Self.Lease.isValidAt(Now))
    return;
  std::size_t Id = instanceId(Self.Lease.primary());
  TimePoint Began = Now;
  deliver(vmNode(Index), Id, [=, this] {
    const Instance &Server = Instances[Id];
    if (!Server.Up || !Server.IsPrimary)
      return;
    ++Reads;
    for (const Commit &Each : Acknowledged)
      if (Each.AckedAt < Began && Each.WrittenIn > Server.Leads)
        Violations.push_back("a read at " + instanceName(Id) + " in term " +
                             std::to_string(Server.Leads) +
                             " missed a write of term " +
                             std::to_string(Each.WrittenIn));
  });
}

void LeaseWorld::write(std::size_t Index) {
  Vm &Self = *Vms[Index];
  if (!Self.Lease.isValidAt(Now))
    return;
  std::size_t Id = instanceId(Self.Lease.primary());
  std::uint64_t Incarnation = Self.Incarnation;
  Duration Work =
      chance() < Opts.SlowWrites ? between(100, 3000) : between(1, 20);
  deliver(vmNode(Index), Id, [=, this] {
    after(Work, [=, this] {
      const Instance &Server = Instances[Id];
      if (!Server.Up || !Server.IsPrimary)
        return;
      Commit Done{.Instance = Id, .WrittenIn = Server.Leads, .At = Now};
      deliver(Id, vmNode(Index), [=, this] {
        if (Vms[Index]->Incarnation == Incarnation)
          finishWrite(Index, Done, Now);
      });
    });
  });
}

void LeaseWorld::finishWrite(std::size_t Index, const Commit &Done,
                             TimePoint RepliedAt) {
  Vm &Self = *Vms[Index];
  std::uint64_t Incarnation = Self.Incarnation;
  auto Again = [=, this] {
    if (Vms[Index]->Incarnation == Incarnation)
      finishWrite(Index, Done, RepliedAt);
  };
  if (Now < Self.FrozenUntil)
    return at(Self.FrozenUntil, Again);
  bool SameTerm = Self.Lease.primary() == instanceName(Done.Instance) &&
                  Self.Lease.term() == Done.WrittenIn;
  bool IsCovered = SameTerm && Self.Lease.isValidAt(RepliedAt);
  if (Opts.Guards.CheckReplies && !IsCovered) {
    if (Now - RepliedAt < milliseconds(800))
      after(TickInterval, Again);
    return; // In doubt: not acknowledged.
  }
  ++AcknowledgedWrites;
  auto Newer = TermBegan.find(Done.WrittenIn + 1);
  if (Newer != TermBegan.end() && Newer->second <= Done.At) {
    std::ostringstream Text;
    Text << vmName(Index) << " acknowledged a write at "
         << instanceName(Done.Instance) << " that was committed in term "
         << Done.WrittenIn << " "
         << std::chrono::duration_cast<milliseconds>(Done.At - Newer->second)
                .count()
         << " ms after the next term began";
    Violations.push_back(Text.str());
  }
  Commit Acked = Done;
  Acked.AckedAt = Now;
  Acknowledged.push_back(Acked);
}

} // namespace cicadawind::test
