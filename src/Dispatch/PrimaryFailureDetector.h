#ifndef CICADAWIND_DISPATCH_PRIMARYFAILUREDETECTOR_H
#define CICADAWIND_DISPATCH_PRIMARYFAILUREDETECTOR_H

#include "Core/Clock.h"

#include <map>
#include <optional>
#include <string>

namespace cicadawind {

/// \class PrimaryFailureDetector
/// \brief Decides whether the primary of a group has failed, from this VM's
/// evidence and from the reports of its peers.
///
/// This VM's evidence is the time of its last contact with the primary and the
/// time since which its attempts to reach the primary have failed. Once that
/// makes the primary suspect, the owner of the detector queries the peers. A
/// peer that has had recent contact with the primary vetoes its replacement, so
/// a VM does not replace a primary that only it cannot reach. A majority of the
/// voters, which are the VMs that connect to a target of the group without a
/// relay, must have reported. This VM's own evidence counts as one report. So a
/// VM that is partitioned from its peers replaces nothing either, as long as
/// its PeerExchange counts them as live. The class performs no input or output
/// and reads no clock; it is not thread safe.
class PrimaryFailureDetector {
public:
  struct Options {
    /// Time for which attempts must have failed before the primary is suspect.
    Duration SuspectAfter = std::chrono::milliseconds(150);
    /// Time for which attempts must have failed before the primary is lost, if
    /// the peers' reports allow it; see isLost().
    Duration LostAfter = std::chrono::milliseconds(600);
    /// A peer vetoes if its last contact with the primary is more recent than
    /// this.
    Duration VetoWindow = std::chrono::milliseconds(500);
    /// Age of the contact that a peer which reaches the primary reports at
    /// most. Its report counts towards the majority while a veto in it holds:
    /// until it is VetoWindow less this old.
    Duration MaxReportedContactAge = std::chrono::milliseconds(150);
  };

  explicit PrimaryFailureDetector(Options Opts);

  /// Sets the primary that is observed; an empty \p Instance stands for none.
  /// Discards all evidence if the primary changes.
  void setPrimary(const std::string &Instance);
  /// Records that \p Instance replied or accepted a connection at \p Now.
  /// Ignored unless \p Instance is the primary.
  void recordContact(const std::string &Instance, TimePoint Now);
  /// Records that attempts to reach \p Instance have failed since \p Since.
  /// Has no effect if \p Instance is not the primary, or if a failure has been
  /// recorded already since the last contact.
  void recordFailure(const std::string &Instance, TimePoint Since);
  /// Records the report of \p Peer that arrived at \p Now. \p ContactAge is
  /// the time since the peer's last contact with \p Instance, or empty if it
  /// has had none; for \p ReachesDirectly, see PrimaryReport.
  void recordPeerReport(const std::string &Peer, const std::string &Instance,
                        std::optional<Duration> ContactAge,
                        bool ReachesDirectly, TimePoint Now);

  const std::string &primary() const { return Primary; }
  /// Returns the time since this VM's last contact with \p Instance; empty if
  /// there was none or \p Instance is not the primary.
  std::optional<Duration> lastContactAge(const std::string &Instance,
                                         TimePoint Now) const;
  /// Returns whether a peer has had contact with the primary within the veto
  /// window.
  bool hasRecentPeerContact(TimePoint Now) const;
  /// Returns the peer that can relay to the primary: of those that reach it
  /// directly and have had contact within the veto window, the one with the
  /// most recent contact. Empty if there is none.
  std::optional<std::string> relayPeer(TimePoint Now) const;
  /// Returns the number of peers whose reports on the primary count; see
  /// MaxReportedContactAge.
  std::size_t freshPeerReports(TimePoint Now) const;
  /// Returns whether the primary is suspect, so that it should be probed and
  /// the peers queried.
  bool isSuspect(TimePoint Now) const;
  /// Returns whether the primary should be replaced: attempts have failed for
  /// LostAfter, no peer vetoes, and a majority of the voters, which are this VM
  /// and \p OtherVoters live peers, has reported.
  bool isLost(std::size_t OtherVoters, TimePoint Now) const;
  /// Returns the time since which attempts have failed; empty if none has
  /// failed since the last contact.
  std::optional<TimePoint> failingSince() const { return FailingSince; }

private:
  struct PeerEvidence {
    std::string Instance;
    std::optional<Duration> ContactAge;
    bool ReachesDirectly = false;
    TimePoint ReceivedAt;
  };

  /// Returns the time since the peer's last contact with the current primary;
  /// empty if it had none within the veto window.
  std::optional<Duration> peerContactAge(const PeerEvidence &Evidence,
                                         TimePoint Now) const;

  Options Opts;
  std::string Primary;
  std::optional<TimePoint> LastContactAt;
  std::optional<TimePoint> FailingSince;
  std::map<std::string, PeerEvidence> Peers;
};

} // namespace cicadawind

#endif
