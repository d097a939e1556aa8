#ifndef CICADAWIND_LEASES_VOTERLIST_H
#define CICADAWIND_LEASES_VOTERLIST_H

#include "Core/Clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace cicadawind {

/// \class VoterList
/// \brief The VMs whose majority decides about leases and promotions.
///
/// A VM that does not answer may still hold a lease, so a VM is counted long
/// after its last contact, and also if this VM knows it only by name. Two VMs
/// whose lists differ by a few VMs that come or go still have majorities that
/// share a VM. Performs no input or output and reads no clock. voters() costs
/// O(VMs). Not thread safe.
class VoterList {
public:
  /// Times for which VMs are counted.
  struct Lifetimes {
    /// Time for which a VM is counted after its last contact.
    Duration ForgetAfter = std::chrono::minutes(5);
    /// Time for which a VM is counted after it announced that it leaves. Covers
    /// the time that a planned stop may take.
    Duration LeavingLifetime = std::chrono::seconds(60);
    /// Time for which a VM is counted that is only listed in the store, after
    /// the first contact with any peer. Peers name the VMs that they know
    /// meanwhile; the store also lists VMs that are gone for good.
    Duration ListedLifetime = std::chrono::seconds(10);
    /// Whether a VM counts that is only listed, and had only just started when
    /// it wrote its entry.
    bool CountsProvisional = true;
  };
  struct Options {
    std::string OwnVm;
    Lifetimes Times;
  };

  explicit VoterList(Options Opts) : Opts(std::move(Opts)) {}

  /// Records a message of \p Vm.
  void recordContact(const std::string &Vm, bool IsLeaving, TimePoint Now);
  /// Records that a peer named \p Vm, with which some VM had contact at \p
  /// ContactAt. If this VM has not heard of it before, it counts as seen now,
  /// because it may be held up rather than gone.
  void recordNamed(const std::string &Vm, TimePoint ContactAt, TimePoint Now);
  /// Records whether \p Vm, whose entry a peer sent, has announced that it
  /// leaves.
  void recordLeaving(const std::string &Vm, bool IsLeaving, TimePoint Now);
  /// Records that the store lists \p Vm; see VmEntry::Provisional.
  void recordListed(const std::string &Vm, bool IsProvisional = false);

  /// Returns the names of the VMs that count, including this one.
  std::set<std::string> voters(TimePoint Now) const {
    return voters(Now, Opts.Times);
  }
  /// Like voters(), with other times.
  std::set<std::string> voters(TimePoint Now, const Lifetimes &Times) const;
  /// Returns the VMs that announced at least \p Age before \p Now that they
  /// leave, and have not started again.
  std::set<std::string> departed(TimePoint Now, Duration Age) const;

private:
  struct Entry {
    /// Last contact of any VM, or when a peer first named the VM.
    std::optional<TimePoint> SeenAt;
    std::optional<TimePoint> LeavingSince;
    bool IsProvisional = false;
  };

  bool counts(const Entry &Each, TimePoint Now, const Lifetimes &Times) const;

  Options Opts;
  std::map<std::string, Entry> Entries;
  std::optional<TimePoint> FirstContactAt;
};

} // namespace cicadawind

#endif
