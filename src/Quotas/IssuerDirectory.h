#ifndef CICADAWIND_QUOTAS_ISSUERDIRECTORY_H
#define CICADAWIND_QUOTAS_ISSUERDIRECTORY_H

#include "Core/Clock.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadawind {

/// \class IssuerDirectory
/// \brief Which VM is probably the issuer of a partition in a failure domain.
///
/// That is the one that was named last, or else the first live one in the order
/// in which VMs become issuer. A VM that did not reply is passed over for a
/// time, which is short at first, because the message may have been lost, and
/// doubles with each time that it does not reply again. choose() costs O(VMs of
/// the failure domain) at worst. Not thread safe.
class IssuerDirectory {
public:
  struct Options {
    Duration FirstSuspicion = std::chrono::milliseconds(100);
    Duration MaxSuspicion = std::chrono::seconds(1);
  };

  explicit IssuerDirectory(Options Opts) : Opts(Opts) {}

  /// Sets the other live VMs, by failure domain.
  void setVms(std::map<std::string, std::vector<std::string>> LiveVms);
  /// Returns the VM to ask, which is none of \p Tried; empty if there is none.
  std::string choose(const std::string &Domain, unsigned Partition,
                     const std::set<std::string> &Tried, TimePoint Now);
  /// Records that \p Vm is the issuer, or that none is known if it is empty.
  void recordIssuer(const std::string &Domain, unsigned Partition,
                    const std::string &Vm) {
    Named[{Domain, Partition}] = Vm;
  }
  void recordSilence(const std::string &Vm, TimePoint Now);
  void recordReply(const std::string &Vm) { Suspicions.erase(Vm); }
  bool isSuspected(const std::string &Vm, TimePoint Now) const;

private:
  using Key = std::pair<std::string, unsigned>;
  struct Suspicion {
    Duration Length = Duration::zero();
    TimePoint Until;
  };

  bool isLive(const std::string &Domain, const std::string &Vm) const;

  Options Opts;
  std::map<std::string, std::vector<std::string>> Vms;
  /// The live VMs in the order in which they become issuer.
  std::map<Key, std::vector<std::string>> Orders;
  std::map<Key, std::string> Named;
  std::map<std::string, Suspicion> Suspicions;
};

} // namespace cicadawind

#endif
