#ifndef CICADAWIND_QUOTAS_QUORUMWITNESS_H
#define CICADAWIND_QUOTAS_QUORUMWITNESS_H

#include "Core/Clock.h"
#include "Quotas/QuotaTimes.h"

#include <cstdint>
#include <optional>

namespace cicadawind {

/// \class QuorumWitness
/// \brief This VM's hold on the vote that the platform's store has in a failure
/// domain of two VMs, for the case that this VM does not reach the other one.
///
/// The store has one object for each domain, which is replaced by conditional
/// updates. A hold lasts for WitnessTimes::HoldTime from the sending of an
/// update that was accepted. Another VM takes over only if the object has not
/// changed for TakeoverTime, which is longer, since this VM saw it: its first
/// update then names the version that it saw. So two VMs never hold it at the
/// same time, whether their calls are lost, late or carried out late, and even
/// if the store comes back from an older copy, whose versions are of another
/// era. Performs no input or output and reads no clock. Not thread safe.
class QuorumWitness {
public:
  enum class Call { None, Read, Write };

  explicit QuorumWitness(WitnessTimes Times) : Times(Times) {}

  /// Returns the call to make now, if the witness \p IsWanted. It counts as
  /// begun; its outcome must be recorded.
  Call next(bool IsWanted, TimePoint Now);
  /// Version of the object that a write is to replace; 0 if there is none.
  std::uint64_t expectedVersion() const { return Version.value_or(0); }
  /// Records the version that a read returned; empty if it failed.
  void recordRead(std::optional<std::uint64_t> Read, TimePoint Now);
  /// Records that a write sent at \p SentAt was accepted as \p Written.
  void recordAccepted(std::uint64_t Written, TimePoint SentAt, TimePoint Now);
  /// Records that a write was not accepted, or that its outcome is unknown.
  void recordRefused();
  /// Returns whether this VM holds the witness until \p Time at least.
  bool isHeldUntil(TimePoint Time) const {
    return HeldUntil && Time <= *HeldUntil;
  }

private:
  bool isHeld(TimePoint Now) const { return isHeldUntil(Now); }

  WitnessTimes Times;
  bool IsCalling = false;
  TimePoint NextCall;
  /// The version of the object as this VM knows it.
  std::optional<std::uint64_t> Version;
  /// Since when the object is known to have that version.
  TimePoint SeenAt;
  std::optional<TimePoint> HeldUntil;
};

} // namespace cicadawind

#endif
