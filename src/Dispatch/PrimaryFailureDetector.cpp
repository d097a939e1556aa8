#include "Dispatch/PrimaryFailureDetector.h"

#include <cassert>

namespace cicadawind {

PrimaryFailureDetector::PrimaryFailureDetector(Options Opts) : Opts(Opts) {
  assert(Opts.MaxReportedContactAge < Opts.VetoWindow && "no report counts");
}

void PrimaryFailureDetector::setPrimary(const std::string &Instance) {
  if (Instance == Primary)
    return;
  Primary = Instance;
  LastContactAt.reset();
  FailingSince.reset();
  Peers.clear();
}

void PrimaryFailureDetector::recordContact(const std::string &Instance,
                                           TimePoint Now) {
  if (Instance != Primary)
    return;
  LastContactAt = Now;
  FailingSince.reset();
}

void PrimaryFailureDetector::recordFailure(const std::string &Instance,
                                           TimePoint Since) {
  if (Instance == Primary && !FailingSince)
    FailingSince = Since;
}

void PrimaryFailureDetector::recordPeerReport(
    const std::string &Peer, const std::string &Instance,
    std::optional<Duration> ContactAge, bool ReachesDirectly, TimePoint Now) {
  Peers[Peer] = PeerEvidence{.Instance = Instance,
                             .ContactAge = ContactAge,
                             .ReachesDirectly = ReachesDirectly,
                             .ReceivedAt = Now};
}

std::optional<Duration>
PrimaryFailureDetector::lastContactAge(const std::string &Instance,
                                       TimePoint Now) const {
  if (Instance != Primary || !LastContactAt)
    return std::nullopt;
  return Now - *LastContactAt;
}

std::optional<Duration>
PrimaryFailureDetector::peerContactAge(const PeerEvidence &Evidence,
                                       TimePoint Now) const {
  if (Evidence.Instance != Primary || !Evidence.ContactAge)
    return std::nullopt;
  Duration Age = *Evidence.ContactAge + (Now - Evidence.ReceivedAt);
  if (Age >= Opts.VetoWindow)
    return std::nullopt;
  return Age;
}

bool PrimaryFailureDetector::hasRecentPeerContact(TimePoint Now) const {
  for (const auto &[Name, Evidence] : Peers)
    if (peerContactAge(Evidence, Now))
      return true;
  return false;
}

std::optional<std::string>
PrimaryFailureDetector::relayPeer(TimePoint Now) const {
  std::optional<std::string> Best;
  Duration LeastAge = Opts.VetoWindow;
  for (const auto &[Name, Evidence] : Peers) {
    std::optional<Duration> Age = peerContactAge(Evidence, Now);
    if (!Evidence.ReachesDirectly || !Age || *Age >= LeastAge)
      continue;
    LeastAge = *Age;
    Best = Name;
  }
  return Best;
}

std::size_t PrimaryFailureDetector::freshPeerReports(TimePoint Now) const {
  Duration MaxAge = Opts.VetoWindow - Opts.MaxReportedContactAge;
  std::size_t Count = 0;
  for (const auto &[Name, Evidence] : Peers)
    if (Evidence.Instance == Primary && Now - Evidence.ReceivedAt < MaxAge)
      ++Count;
  return Count;
}

bool PrimaryFailureDetector::isSuspect(TimePoint Now) const {
  return FailingSince && Now - *FailingSince >= Opts.SuspectAfter;
}

bool PrimaryFailureDetector::isLost(std::size_t OtherVoters,
                                    TimePoint Now) const {
  if (!FailingSince || Now - *FailingSince < Opts.LostAfter)
    return false;
  if (hasRecentPeerContact(Now))
    return false;
  // This VM's own evidence counts towards the majority.
  return 2 * (freshPeerReports(Now) + 1) > OtherVoters + 1;
}

} // namespace cicadawind
