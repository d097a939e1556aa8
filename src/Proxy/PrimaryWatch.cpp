#include "Proxy/PrimaryWatch.h"

namespace cicadawind {

void PrimaryWatch::setPrimary(const std::string &Instance, TimePoint Now) {
  if (Instance == Primary)
    return;
  Primary = Instance;
  HeardAt.reset();
  FailingSince.reset();
  Peers.clear();
  (void)Now;
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
                            std::optional<Duration> Heard, TimePoint Now) {
  Peers[Peer] = PeerEvidence{.Instance = Instance, .Heard = Heard, .At = Now};
}

std::optional<Duration> PrimaryWatch::heard(const std::string &Instance,
                                            TimePoint Now) const {
  if (Instance != Primary || !HeardAt)
    return std::nullopt;
  return Now - *HeardAt;
}

bool PrimaryWatch::isSuspect(TimePoint Now) const {
  return FailingSince && Now - *FailingSince >= Opts.SuspectAfter;
}

bool PrimaryWatch::isLost(std::size_t KnownPeers, TimePoint Now) const {
  if (!FailingSince || Now - *FailingSince < Opts.LostAfter)
    return false;
  std::size_t Answered = 0;
  for (const auto &[Name, Evidence] : Peers) {
    bool Counts =
        Evidence.Instance == Primary && Now - Evidence.At <= Opts.PeerAge;
    if (!Counts)
      continue;
    ++Answered;
    Duration SinceHeard =
        Evidence.Heard.value_or(Opts.PeerVeto) + (Now - Evidence.At);
    if (SinceHeard < Opts.PeerVeto)
      return false;
  }
  // This VM counts as one of the majority.
  return 2 * (Answered + 1) > KnownPeers + 1;
}

} // namespace cicadawind
