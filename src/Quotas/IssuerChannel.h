#ifndef CICADAWIND_QUOTAS_ISSUERCHANNEL_H
#define CICADAWIND_QUOTAS_ISSUERCHANNEL_H

#include "Core/Clock.h"

#include <cstddef>
#include <set>
#include <string>

namespace cicadawind {

/// \class IssuerChannel
/// \brief State of this VM's requests to the issuer of one partition in one
/// failure domain: at most one at a time, to one VM after another until the
/// issuer is found. Not thread safe.
class IssuerChannel {
public:
  bool isBusy() const { return IsBusy; }
  bool isPaused(TimePoint Now) const { return Now < PausedUntil; }
  /// Returns the VMs that are not the issuer or did not reply.
  const std::set<std::string> &tried() const { return Tried; }

  void begin() { IsBusy = true; }
  /// The issuer replied.
  void succeed() {
    IsBusy = false;
    Tried.clear();
  }
  /// \p Vm did not reply or is not the issuer. After MaxAttempts no further VM
  /// is tried for the time \p Pause.
  void fail(const std::string &Vm, Duration Pause, TimePoint Now) {
    IsBusy = false;
    Tried.insert(Vm);
    if (Tried.size() >= MaxAttempts)
      pause(Pause, Now);
  }
  /// No VM is tried for the time \p Pause.
  void pause(Duration Pause, TimePoint Now) {
    PausedUntil = Now + Pause;
    Tried.clear();
  }

private:
  static constexpr std::size_t MaxAttempts = 3;

  bool IsBusy = false;
  std::set<std::string> Tried;
  TimePoint PausedUntil;
};

} // namespace cicadawind

#endif
