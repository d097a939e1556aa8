#ifndef CICADAWIND_TEST_LEASES_LEASEWORLDVM_H
#define CICADAWIND_TEST_LEASES_LEASEWORLDVM_H

#include "Leases/LeaseWorld.h"
#include "Statements/TargetStatus.h"

#include <map>
#include <memory>
#include <string>

// The VMs of a LeaseWorld and its constants, for its source files only.

namespace cicadawind::test {

constexpr std::size_t InstanceCount = 3;
/// Numbers of the store and the platform among the nodes of the network.
constexpr std::size_t StoreNode = 100;
constexpr std::size_t PlatformNode = 101;
constexpr Duration TickInterval = std::chrono::milliseconds(25);
constexpr Duration OrderTimeout = std::chrono::milliseconds(400);
constexpr Duration AttemptLimit = std::chrono::milliseconds(4000);
/// Time without a reply of the primary after which a VM may replace it.
constexpr Duration SilenceLimit = std::chrono::milliseconds(600);
/// Time after which a replaced primary that reaches the new one steps down.
constexpr Duration SelfDemotionTime = std::chrono::milliseconds(1000);

inline std::string instanceName(std::size_t Id) {
  return std::string(1, static_cast<char>('a' + Id));
}
inline std::size_t instanceId(const std::string &Name) {
  return static_cast<std::size_t>(Name[0] - 'a');
}
inline std::string vmName(std::size_t Index) {
  return "vm-" + std::to_string(Index);
}

/// An attempt of a VM to replace the primary.
struct LeaseWorld::Attempt {
  Attempt(PromotionBallot::Options Opts) : Ballot(std::move(Opts)) {}
  PromotionBallot Ballot;
  std::uint64_t Serial = 0;
  TimePoint Since;
  bool Ordered = false;
  bool OrderOutstanding = false;
  bool Asked = false;
  std::map<std::string, TargetStatus> Statuses;
};

/// A VM with its lease and its promises.
struct LeaseWorld::Vm {
  Vm(TimePoint Now) : Lease({}, Now), Promise({}, Now), Started(Now) {}
  PrimaryLease Lease;
  PromotionPromise Promise;
  TimePoint Started;
  std::uint64_t Incarnation = 0;
  TimePoint FrozenUntil;
  TimePoint LastContact;
  TimePoint NextAttempt;
  TimePoint NextSearch;
  /// Highest term that an attempt of this VM learned of.
  Term HighestTerm = 1;
  /// Primaries that instances claimed to be, with the term of each.
  std::map<std::string, Term> Claims;
  std::unique_ptr<Attempt> Current;
};

} // namespace cicadawind::test

#endif
