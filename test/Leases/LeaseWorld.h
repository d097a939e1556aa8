#ifndef CICADAWIND_TEST_LEASES_LEASEWORLD_H
#define CICADAWIND_TEST_LEASES_LEASEWORLD_H

#include "Leases/Leases.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace cicadawind::test {

/// Guards of the protocol. A test switches one off to show that the schedules
/// detect its absence.
struct LeaseGuards {
  /// Orders wait until no VM can use the old primary.
  bool WaitForLeases = true;
  /// A write is acknowledged only if the lease was still valid when its reply
  /// arrived.
  bool CheckReplies = true;
  /// Proposals are granted in the order of their tokens, to one holder at a
  /// time.
  bool OrderProposals = true;
  /// A VM gives up its lease when it grants a proposal.
  bool GiveUpLeases = true;
  /// A promotion keeps to the successor that an unanswered order named.
  bool KeepSuccessor = true;
  /// VMs that have just started are no majority that knows all earlier orders.
  bool KnowEarlierOrders = true;
};

/// \class LeaseWorld
/// \brief A group on a platform without fencing, and VMs that use and replace
/// its primary, in virtual time.
///
/// Messages are delayed, lost and cut in one or both directions. VMs freeze and
/// restart, instances crash and restart, the store is unavailable for a while,
/// and the platform carries out orders late or without an answer. Everything
/// follows from the seed.
class LeaseWorld {
public:
  struct Options {
    std::uint64_t Seed = 1;
    LeaseGuards Guards;
    unsigned Vms = 5;
    /// Part of the writes that take up to 3 s.
    double SlowWrites = 0.05;
    Duration Length = std::chrono::seconds(25);
  };

  explicit LeaseWorld(Options Opts);
  ~LeaseWorld();

  /// Runs the whole schedule.
  void run();

  /// What went wrong, in the order in which it was seen.
  std::vector<std::string> Violations;
  unsigned AcknowledgedWrites = 0;
  unsigned Reads = 0;
  unsigned Promotions = 0;

private:
  struct Instance {
    bool Up = true;
    bool IsPrimary = false;
    Term Leads = 1;
    Term Paused = 0;
    /// When the instance, a replaced primary, first could reach a newer one.
    std::optional<TimePoint> ReachesNewerSince;
  };
  struct Commit {
    std::size_t Instance = 0;
    Term WrittenIn = 0;
    TimePoint At;
    TimePoint AckedAt;
  };
  struct Attempt;
  struct Vm;
  struct Event {
    TimePoint At;
    std::uint64_t Number;
    std::function<void()> Run;
    bool operator<(const Event &Other) const {
      return At != Other.At ? At > Other.At : Number > Other.Number;
    }
  };

  double chance() { return std::uniform_real_distribution<>(0, 1)(Engine); }
  Duration between(int MinMs, int MaxMs);
  void at(TimePoint When, std::function<void()> Run);
  void after(Duration Delay, std::function<void()> Run) {
    at(Now + Delay, std::move(Run));
  }
  /// Delivers \p Run from node \p From to node \p To, unless it is lost or the
  /// path is cut.
  void deliver(std::size_t From, std::size_t To, std::function<void()> Run);
  bool isCut(std::size_t From, std::size_t To) const;
  std::size_t vmNode(std::size_t Vm) const { return 10 + Vm; }

  void planFaults();
  void tickInstances();
  void promote(std::size_t Id);
  void receiveOrder(std::size_t Vm, std::size_t Id, std::uint64_t Token,
                    std::function<void(int)> Answer);
  TargetStatus statusOf(std::size_t Id) const;
  /// Sends a control request; \p Change is applied at the instance first.
  void askStatus(std::size_t Vm, std::size_t Id,
                 std::function<void(Instance &)> Change,
                 std::function<void(const TargetStatus &, TimePoint)> Hook);

  void startVm(std::size_t Index);
  void tickVm(std::size_t Index);
  void write(std::size_t Index);
  void read(std::size_t Index);
  void finishWrite(std::size_t Index, const Commit &Done, TimePoint RepliedAt);
  void voteForLease(std::size_t Index);
  void askPeer(std::size_t Index, std::size_t Other);
  void learnPrimary(std::size_t Index, std::size_t Id,
                    const TargetStatus &Status, TimePoint RequestedAt);
  void choosePrimary(std::size_t Index);

  void startAttempt(std::size_t Index);
  void propose(std::size_t Index, std::uint64_t Serial);
  void advance(std::size_t Index, std::uint64_t Serial);
  void order(std::size_t Index, std::uint64_t Serial);
  void settle(std::size_t Index);
  void complete(std::size_t Index, const PromotionProposal &Proposal,
                Term Opened);
  void endAttempt(std::size_t Index, bool MayCancel);
  Attempt *attemptOf(std::size_t Index, std::uint64_t Serial);

  Options Opts;
  std::mt19937_64 Engine;
  TimePoint Now;
  std::uint64_t LastEvent = 0;
  std::priority_queue<Event> Events;
  std::vector<Instance> Instances;
  std::vector<std::unique_ptr<Vm>> Vms;
  std::vector<Commit> Acknowledged;
  /// When each term began to be served.
  std::map<Term, TimePoint> TermBegan;
  std::uint64_t StoredToken = 0;
  std::uint64_t HighestOrdered = 0;
  std::string LastHolder;
  TimePoint StoreDownFrom, StoreDownUntil;
  struct Cut {
    std::size_t From, To;
    TimePoint Begin, End;
  };
  std::vector<Cut> Cuts;
  std::uint64_t LastSerial = 0;
};

} // namespace cicadawind::test

#endif
