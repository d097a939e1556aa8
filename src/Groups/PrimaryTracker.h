#ifndef CICADAWIND_GROUPS_PRIMARYTRACKER_H
#define CICADAWIND_GROUPS_PRIMARYTRACKER_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"
#include "Groups/FreshnessSamples.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cicadawind {

/// \class SessionWrite
/// \brief The latest acknowledged write of a session.
struct SessionWrite {
  LogPosition Position;
  /// Time at which its reply arrived.
  TimePoint AcknowledgedAt;
  /// Value of PrimaryTracker::epoch at that time.
  std::uint64_t Epoch = 0;
};

/// \class LeadershipProof
/// \brief Proof that a target was primary when it replied to a request.
struct LeadershipProof {
  /// Time at which the request was sent.
  TimePoint RequestedAt;
  /// End of the target's log in its reply.
  LogPosition LogEnd;
};

/// \class PrimaryTracker
/// \brief Tracks the primary of a group, as one VM knows it, and determines the
/// log position that a read requires.
///
/// Records leadership proofs: replies that a target only gives while it is
/// primary, with the end of its log. Such a reply to a request sent at time t
/// covers every write acknowledged before t, no matter which VM relayed the
/// write. Entries of the registry, status replies and refusals are only hints
/// about which instance to try as primary.
///
/// Used for groups whose targets verify that they are primary.
/// GroupController is used for groups that confirm writes by majority. Performs
/// no input or output. Costs O(log samples) per call. Not thread safe.
class PrimaryTracker {
public:
  /// Records that \p Instance proved that it was primary after
  /// \p RequestedAt, with its log ending at \p LogEnd. Ignores replies that
  /// arrive out of order.
  void recordLeadershipProof(const std::string &Instance, LogPosition LogEnd,
                             TimePoint RequestedAt);

  /// Records that \p Instance refused a request sent at \p RequestedAt because
  /// it is not primary.
  void recordNotPrimary(const std::string &Instance, TimePoint RequestedAt);

  /// Records whether \p Instance claims to be primary, in the registry or in a
  /// status reply. If \p Instance claims to be primary and is not primary(), it
  /// replaces primary(), even a confirmed one, and is not confirmed yet.
  void recordPrimaryClaim(const std::string &Instance, bool ClaimsPrimary);

  /// Discards what is known of \p Instance, which was removed or restarted
  /// without its data.
  void forget(const std::string &Instance);

  /// Returns the instance to try as primary; empty if none is known.
  const std::string &primary() const { return Primary; }
  /// Returns whether a leadership proof confirmed the primary. Otherwise
  /// primary() is only a hint.
  bool isConfirmed() const { return Confirmed; }
  /// Returns a counter that increases whenever a leadership proof confirms an
  /// instance that was not the confirmed primary, or a new term.
  std::uint64_t epoch() const { return Epoch; }
  Term term() const { return WrittenIn; }

  /// Returns the position that a replica must have applied for a read to run
  /// there. The read must see \p LastWrite and every write acknowledged before
  /// \p MustSeeBefore; it may miss later writes. Returns nothing if no
  /// leadership proof covers these writes.
  std::optional<LogPosition>
  requiredPosition(TimePoint MustSeeBefore,
                   const std::optional<SessionWrite> &LastWrite) const;

  /// Returns the age at \p Now of data that includes \p Applied; empty if
  /// unknown.
  std::optional<Duration> ageOf(LogPosition Applied, TimePoint Now) const;

  /// Returns the newest proof; empty if there is none or primary() is empty.
  /// While the primary is not confirmed, this may be a proof of an earlier
  /// primary.
  std::optional<LeadershipProof> newest() const;

private:
  FreshnessSamples Samples{FreshnessSamples::Options{}};
  std::string Primary;
  bool Confirmed = false;
  /// Latest request time of a leadership proof.
  TimePoint ConfirmedAt;
  /// Term of the log that the samples refer to.
  Term WrittenIn = 0;
  std::uint64_t Epoch = 0;
  /// Send time of the latest request that each instance refused because it was
  /// not primary.
  std::map<std::string, TimePoint> NotPrimaryRequestAt;
};

} // namespace cicadawind

#endif
