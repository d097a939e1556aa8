// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Dispatch/GroupDispatcher.h"

#include "Observability/Log.h"

// The evidence on the group's primary and the control requests to targets, part
// of GroupDispatcher.

namespace cicadawind {
namespace internal {

static const Log Logger("dispatch");
/// Delay before a replica that has not applied a required position is tried
/// again.
constexpr Duration BehindRetryDelay = std::chrono::milliseconds(40);
/// Delay before a target that did not respond in time is read from again.
constexpr Duration TimeoutRetryDelay = std::chrono::milliseconds(500);
} // namespace internal

void GroupDispatcher::recordReply(const std::string &Instance,
                                  const TargetReply &Reply,
                                  bool IsLeadershipProof) {
  TimePoint Now = BootClock::now();
  TargetConnections *Links = find(Instance);
  // Only relays refuse a request with this code, when they have no free
  // connection to the target. The reply says nothing about the target.
  bool RefusedByRelay =
      Reply.Refused && Reply.Refused->Code == ErrorCode::TooManyConnections;
  if (RefusedByRelay) {
    if (Links)
      Links->noteBusy();
    return;
  }
  FailureDetector.recordContact(Instance, Now);
  bool Succeeded = Reply.Receipt.has_value();
  bool IsCovered = !isDirect(Instance) || Guard->covers(Instance, Reply.SentAt);
  if (IsLeadershipProof && IsCovered && Succeeded && Reply.Ready.Position) {
    std::string PreviousPrimary = Tracker.primary();
    std::uint64_t PreviousEpoch = Tracker.epoch();
    Tracker.recordLeadershipProof(Instance, *Reply.Ready.Position,
                                  Reply.SentAt);
    if (PreviousEpoch != Tracker.epoch())
      internal::Logger.info("primary proved",
                            {{"group", Opts.Group},
                             {"target", Tracker.primary()},
                             {"before", PreviousPrimary},
                             {"term", std::to_string(Tracker.term())},
                             {"epoch", std::to_string(Tracker.epoch())}});
  }
  if (Reply.Refused && Reply.Refused->Code == ErrorCode::NotPrimary) {
    if (Instance == Tracker.primary())
      internal::Logger.info("target is not primary",
                            {{"group", Opts.Group}, {"target", Instance}});
    Tracker.recordNotPrimary(Instance, Reply.SentAt);
  }
  updatePrimary();
  if (Links) {
    if (Reply.Refused && Reply.Refused->Code == ErrorCode::Overloaded)
      Links->noteBusy();
    else if (Succeeded)
      Links->noteServed();
    if (Succeeded && Reply.UsedSlot)
      recordReplyTime(Instance, Reply, Now);
  }
  InstanceView *View = viewOf(Instance);
  if (!View)
    return;
  if (Reply.Refused && Reply.Refused->Code == ErrorCode::ReplicaBehind)
    View->NotBefore = Now + internal::BehindRetryDelay;
  if (!Reply.Ready.Position)
    return;
  std::optional<Duration> Age = Tracker.ageOf(*Reply.Ready.Position, Now);
  if (Age)
    View->recordReply(*Reply.Ready.Position, toMillis(*Age), Now);
}

void GroupDispatcher::recordReplyTime(const std::string &Instance,
                                      const TargetReply &Reply, TimePoint Now) {
  TargetConnections *Links = find(Instance);
  if (!Links || !Opts.Links.UsesSlowStart)
    return;
  std::optional<Duration> PeerTime;
  if (Links->slowStart().isActive())
    PeerTime = peerReplyTime(Instance);
  Links->noteReplyTime(Now - Reply.SentAt, PeerTime, Now);
}

std::optional<Duration>
GroupDispatcher::peerReplyTime(const std::string &Instance) const {
  // A primary's statements differ from those of replicas.
  if (Instance == Tracker.primary())
    return std::nullopt;
  Duration Sum = Duration::zero();
  int Count = 0;
  for (const auto &[Name, Links] : Targets) {
    const SlowStart &Peer = Links->slowStart();
    bool IsPeer = Name != Instance && Name != Tracker.primary();
    if (!IsPeer || Peer.isActive() || !Peer.usualReplyTime())
      continue;
    Sum += *Peer.usualReplyTime();
    ++Count;
  }
  if (Count == 0)
    return std::nullopt;
  return Sum / Count;
}

void GroupDispatcher::prepareSlowStart(const TargetEntry &Entry,
                                       bool IsFirstList) {
  // This VM may have just started itself, so the targets of the first list have
  // settled unless their entries say otherwise.
  TargetConnections *Links = find(Entry.Instance);
  if (!IsFirstList)
    Links->prepareSlowStart("target started");
  else if (Entry.WarmUpHint)
    Links->prepareSlowStart("target says that it is slow");
}

bool GroupDispatcher::paceAllows(const std::string &Instance,
                                 LinkRequest &Request, bool HasAlternatives,
                                 TimePoint Now) const {
  const TargetConnections *Links = find(Instance);
  if (!Links->slowStart().isActive() ||
      Links->paceAllows(HasAlternatives, Request.SubmittedAt, Request.GiveUpAt,
                        Now))
    return true;
  // Without a free connection the request would wait in any case.
  if (Links->hasFree())
    Request.PassedOver = Instance;
  return false;
}

void GroupDispatcher::reportSlowStart(const char *Effect) const {
  if (Opts.OnSlowStart)
    Opts.OnSlowStart(Effect);
}

void GroupDispatcher::recordPeerProof(const std::string &Instance,
                                      LogPosition LogEnd,
                                      TimePoint RequestedAt) {
  if (!find(Instance))
    return;
  std::uint64_t PreviousEpoch = Tracker.epoch();
  Tracker.recordLeadershipProof(Instance, LogEnd, RequestedAt);
  updatePrimary();
  if (PreviousEpoch != Tracker.epoch())
    internal::Logger.info("primary proved to a peer",
                          {{"group", Opts.Group},
                           {"target", Instance},
                           {"term", std::to_string(Tracker.term())}});
  scheduleDispatch();
}

void GroupDispatcher::recordTimeout(const std::string &Instance) {
  TimePoint Now = BootClock::now();
  // If the path is relayed, the relay may be what did not respond. On a direct
  // path, the timeout is recorded as a failure of the target, even if a
  // session sent the statement through the fallback relay. Control requests
  // through a relay do not get here.
  if (isDirect(Instance))
    FailureDetector.recordFailure(Instance, Now);
  if (InstanceView *View = viewOf(Instance))
    View->NotBefore = Now + internal::TimeoutRetryDelay;
  if (TargetConnections *Links = find(Instance))
    Links->recordTimeout(Now);
}

std::optional<VmEntry>
GroupDispatcher::fallbackRelayFor(const std::string &Instance,
                                  TimePoint Now) const {
  if (Instance != FailureDetector.primary() || !Opts.FindRelay)
    return std::nullopt;
  std::optional<std::string> Peer = FailureDetector.relayPeer(Now);
  return Peer ? Opts.FindRelay(*Peer) : std::nullopt;
}

void GroupDispatcher::onFailure(const std::string &Instance, TimePoint Since) {
  TimePoint Now = BootClock::now();
  // A target that has answered other requests in the meantime is slow, not
  // unresponsive.
  std::optional<Duration> ContactAge =
      FailureDetector.lastContactAge(Instance, Now);
  if (!ContactAge || *ContactAge >= Now - Since)
    FailureDetector.recordFailure(Instance, Since);
  const TargetConnections *Links = find(Instance);
  InstanceView *View = viewOf(Instance);
  if (Links && View)
    View->NotBefore = std::max(View->NotBefore, Links->nextOpen());
  scheduleDispatch();
}

void GroupDispatcher::refreshProof(TimePoint Now) {
  // A VM that is no voter asks for the proof only when a caller needs one.
  bool Unconfirmed = !Tracker.primary().empty() && !Tracker.isConfirmed() &&
                     (IsVoter || !Queue.empty());
  // The evidence on a primary in doubt must not depend on traffic of callers,
  // so a proof is requested even if no read needs one.
  if (FailureDetector.failingSince())
    ProofWanted = true;
  std::optional<LeadershipProof> Newest = Tracker.newest();
  bool Direct = isDirect(Tracker.primary());
  // With a direct path, the primary is asked for a newer proof first, at
  // ProofRefreshAge. The peers are queried only if the newest proof is older
  // than twice that age.
  Duration PeerQueryAge =
      Direct ? 2 * Opts.ProofRefreshAge : Opts.RelayedPeerRefreshAge;
  bool IsOutdated = !Newest || Now - Newest->RequestedAt > PeerQueryAge;
  if (ProofWanted && IsOutdated && Opts.QueryPeers)
    Opts.QueryPeers(Opts.Group, "");
  bool PeersSuffice = !Direct && Newest && !Unconfirmed &&
                      Now - Newest->RequestedAt < Opts.RelayedTargetRefreshAge;
  if (PeersSuffice)
    return;
  if (!(ProofWanted || Unconfirmed) || !ProofTarget.empty() ||
      Tracker.primary().empty())
    return;
  ProofWanted = false;
  TargetConnections *Links = find(Tracker.primary());
  if (!Links)
    return;
  ProofTarget = Tracker.primary();
  if (!Links->hasFree())
    Links->openIfAllowed(fallbackRelayFor(Tracker.primary(), Now), {}, Now,
                         Now);
  // A target checks that it is still the primary when a transaction that may
  // write begins, so an empty transaction gives a leadership proof.
  Links->request(
      "proof",
      [](TargetLink &Link, TargetLink::ReplyHook Hook) {
        // Replies arrive in order: the second one completes the request.
        auto BeginReply = std::make_shared<std::optional<TargetReply>>();
        Link.begin(false, std::nullopt, [BeginReply](const TargetReply *Reply) {
          if (Reply)
            *BeginReply = *Reply;
        });
        Link.rollback([BeginReply, Hook](const TargetReply *RollbackReply) {
          Hook(RollbackReply && *BeginReply ? &**BeginReply : nullptr);
        });
      },
      [this, StillAlive = Alive,
       Instance = Tracker.primary()](const TargetReply *Reply) {
        if (!*StillAlive)
          return;
        ProofTarget.clear();
        if (Reply)
          recordReply(Instance, *Reply, true);
      },
      Now);
}

void GroupDispatcher::searchPrimary(TimePoint Now) {
  bool HasPrimary = !Tracker.primary().empty();
  if (HasPrimary)
    WithoutPrimarySince.reset();
  else if (!WithoutPrimarySince)
    WithoutPrimarySince = Now;
  bool IsNeeded = IsVoter || !Queue.empty();
  if (HasPrimary || !IsNeeded || Now - LastSearch < Opts.SearchInterval)
    return;
  LastSearch = Now;
  std::vector<std::string> Names;
  for (const auto &[Name, Links] : Targets)
    if (IsVoter)
      Names.push_back(Name);
  for (const std::string &Name : Names)
    askStatus(Name,
              [this](const std::string &Instance, const TargetStatus *Status) {
                if (Status && Status->IsPrimary && Tracker.primary().empty())
                  recordPrimaryClaim(Instance);
              });
  if (Opts.QueryPeers)
    Opts.QueryPeers(Opts.Group, "");
}

void GroupDispatcher::recordPrimaryClaim(const std::string &Instance) {
  Tracker.recordPrimaryClaim(Instance, true);
  updatePrimary();
  scheduleDispatch();
}

bool GroupDispatcher::isPrimaryMissing(TimePoint Now) const {
  return WithoutPrimarySince && !Targets.empty() &&
         Now - *WithoutPrimarySince > Opts.MissingPrimaryTimeout;
}

void GroupDispatcher::askStatus(const std::string &Instance, StatusHook Hook) {
  sendControlRequest(
      Instance, "status",
      [](TargetLink &Link, TargetLink::ReplyHook OnReply) {
        Link.askStatus(std::move(OnReply));
      },
      std::move(Hook));
}

void GroupDispatcher::demote(const std::string &Instance, Term Below,
                             StatusHook Hook) {
  sendControlRequest(
      Instance, "demote",
      [Below](TargetLink &Link, TargetLink::ReplyHook OnReply) {
        Link.demote(Below, std::move(OnReply));
      },
      std::move(Hook));
}

void GroupDispatcher::pause(const std::string &Instance, Term NewTerm,
                            StatusHook Hook) {
  sendControlRequest(
      Instance, "pause " + std::to_string(NewTerm),
      [NewTerm](TargetLink &Link, TargetLink::ReplyHook OnReply) {
        Link.pause(NewTerm, std::move(OnReply));
      },
      std::move(Hook));
}

void GroupDispatcher::resume(const std::string &Instance, StatusHook Hook) {
  sendControlRequest(
      Instance, "resume",
      [](TargetLink &Link, TargetLink::ReplyHook OnReply) {
        Link.resume(std::move(OnReply));
      },
      std::move(Hook));
}

void GroupDispatcher::request(const std::string &Instance,
                              const std::string &Key,
                              TargetConnections::ControlRequest Request,
                              TargetConnections::ControlReplyHook Hook) {
  TimePoint Now = BootClock::now();
  IsInUse = true;
  TargetConnections *Links = find(Instance);
  if (!Links)
    return Hook(nullptr);
  if (!Links->hasFree())
    Links->openIfAllowed(fallbackRelayFor(Instance, Now), {}, Now, Now);
  Links->request(Key, std::move(Request), std::move(Hook), Now);
}

void GroupDispatcher::sendControlRequest(
    const std::string &Instance, const std::string &Key,
    TargetConnections::ControlRequest Request, StatusHook Hook) {
  this->request(Instance, Key, std::move(Request),
                [this, StillAlive = Alive, Instance,
                 Hook = std::move(Hook)](const TargetReply *Reply) {
                  if (!*StillAlive)
                    return;
                  std::optional<TargetStatus> Status;
                  if (Reply && Reply->Rows.size() == 1)
                    Status = Opts.Codec->decodeStatus(Reply->Rows.front());
                  if (Status)
                    recordStatus(Instance, *Status, Reply->SentAt);
                  Hook(Instance, Status ? &*Status : nullptr);
                });
}

} // namespace cicadawind
