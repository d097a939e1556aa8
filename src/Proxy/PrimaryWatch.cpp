#include "Proxy/PrimaryWatch.h"

namespace cicadawind {

void PrimaryWatch::setPrimary(const std::string &Instance) {
  if (Instance == Primary)
    return;
  Primary = Instance;
  HeardAt.reset();
  FailingSince.reset();
  Peers.clear();
}

void PrimaryWatch::noteContact(const std::string &Instance, TimePoint Now) {
  if (Instance != Primary)
    return;
  HeardAt = Now;
  FailingSince.reset();
}

void PrimaryWatch::noteFailure(const std::string &Instance, TimePoint Now) {
  if (Instance == Primary && !FailingSince)
    FailingSince = Now;
}

void PrimaryWatch::notePeer(const std::string &Peer,
                            const std::string &Instance,
                            std::optional<Duration> Heard, bool Reaches,
                            TimePoint Now) {
  Peers[Peer] = PeerEvidence{
      .Instance = Instance, .Heard = Heard, .Reaches = Reaches, .At = Now};
}

std::optional<Duration> PrimaryWatch::heard(const std::string &Instance,
                                            TimePoint Now) const {
  if (Instance != Primary || !HeardAt)
    return std::nullopt;
  return Now - *HeardAt;
}

std::optional<Duration> PrimaryWatch::heardBy(const PeerEvidence &Evidence,
                                              TimePoint Now) const {
  if (Evidence.Instance != Primary || !Evidence.Heard)
    return std::nullopt;
  Duration Since = *Evidence.Heard + (Now - Evidence.At);
  if (Since >= Opts.PeerVeto)
    return std::nullopt;
  return Since;
}

bool PrimaryWatch::isPeerInTouch(TimePoint Now) const {
  for (const auto &[Name, Evidence] : Peers)
    if (heardBy(Evidence, Now))
      return true;
  return false;
}

std::optional<std::string> PrimaryWatch::relayPeer(TimePoint Now) const {
  std::optional<std::string> Best;
  Duration Least = Opts.PeerVeto;
  for (const auto &[Name, Evidence] : Peers) {
    std::optional<Duration> Since = heardBy(Evidence, Now);
    if (!Evidence.Reaches || !Since || *Since >= Least)
      continue;
    Least = *Since;
    Best = Name;
  }
  return Best;
}

std::size_t PrimaryWatch::peersAnswered(TimePoint Now) const {
  std::size_t Count = 0;
  for (const auto &[Name, Evidence] : Peers)
    if (Evidence.Instance == Primary && Now - Evidence.At <= Opts.PeerAge)
      ++Count;
  return Count;
}

bool PrimaryWatch::isSuspect(TimePoint Now) const {
  return FailingSince && Now - *FailingSince >= Opts.SuspectAfter;
}

bool PrimaryWatch::isLost(std::size_t KnownPeers, TimePoint Now) const {
  if (!FailingSince || Now - *FailingSince < Opts.LostAfter)
    return false;
  if (isPeerInTouch(Now))
    return false;
  // This VM counts as one of the majority.
  return 2 * (peersAnswered(Now) + 1) > KnownPeers + 1;
}

} // namespace cicadawind
