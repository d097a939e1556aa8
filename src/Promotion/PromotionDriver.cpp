// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Promotion/PromotionDriver.h"

#include "Async/AsyncSignal.h"
#include "Core/Random.h"
#include "Exchange/PeerExchange.h"
#include "Leases/PrimaryLease.h"
#include "Observability/Log.h"
#include "Observability/Metrics.h"
#include "Proxy/ProxyService.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <functional>
#include <set>

namespace cicadawind {
namespace internal {

static const Log Logger("promotion");
/// Minimum time between two log lines about the suspect primary of a group.
constexpr Duration DoubtLogInterval = std::chrono::milliseconds(1000);

static PromotionDriver::Options withVm(PromotionDriver::Options Opts) {
  Opts.Tokens.Vm = Opts.Vm;
  Opts.Fenced.Vm = Opts.Vm;
  Opts.Leased.Vm = Opts.Vm;
  return Opts;
}

} // namespace internal

PromotionDriver::PromotionDriver(boost::asio::io_context &Loop, Options NewOpts,
                                 ProxyService &Service, PeerExchange &Peers,
                                 ObjectStore &Store,
                                 PromotionService &Promotions, Metrics &Meter)
    : Loop(Loop), Opts(internal::withVm(std::move(NewOpts))), Service(Service),
      Peers(Peers), Meter(Meter), Tokens(Opts.Tokens, Store),
      Leases({.Vm = Opts.Vm}, Peers, Service),
      Procedure(makeProcedure(Promotions)) {
  Peers.onPromotion([this](const PromotionNotice &Notice) {
    Tokens.dropBelow(Notice.Group, Notice.Token);
    deferToPeer(Notice.Group);
  });
  Leases.onGranted(
      [this](const std::string &Group, const PromotionProposal &Proposal) {
        Tokens.dropBelow(Group, Proposal.Token);
        deferToPeer(Group);
      });
}

PromotionDriver::~PromotionDriver() = default;

std::unique_ptr<PromotionProcedure>
PromotionDriver::makeProcedure(PromotionService &Promotions) {
  if (!Opts.PlatformFences)
    return std::make_unique<LeasedPromotion>(Opts.Leased, Service, Peers,
                                             Leases, Tokens, Promotions);
  FencedPromotion::Options Fenced = Opts.Fenced;
  Fenced.IsDeferred = [this](const std::string &Group) {
    return BootClock::now() < Groups[Group].NotBefore;
  };
  return std::make_unique<FencedPromotion>(Fenced, Service, Peers, Tokens,
                                           Promotions);
}

PromotionDriver::VoterView
PromotionDriver::makeVoterView(const std::string &Group, TimePoint Now) const {
  std::hash<std::string> Hash;
  std::uint64_t GroupHash = Hash(Group);
  std::uint64_t Own = hashCombine(GroupHash, Hash(Opts.Vm));
  std::uint64_t FirstOfRegion = Own;
  std::set<std::string> Voters = Service.votersFor(Group);
  VoterView Out;
  for (const VmEntry &Peer : Peers.livePeers(Now)) {
    if (!Voters.empty() && !Voters.count(Peer.Vm))
      continue;
    ++Out.Peers;
    std::uint64_t Order = hashCombine(GroupHash, Hash(Peer.Vm));
    Out.Rank += Order < Own ? 1 : 0;
    if (Peer.Region != Peers.region() || Order >= FirstOfRegion)
      continue;
    FirstOfRegion = Order;
    Out.LeasePeer = Peer.Vm;
  }
  Out.Rank = std::min(Out.Rank, Opts.MaxRank);
  return Out;
}

const PromotionDriver::VoterView &
PromotionDriver::votersOf(const std::string &Group, TimePoint Now) {
  Peers.livePeers(Now);
  VoterView &View = Groups[Group].Voters;
  bool IsCurrent = View.LiveVersion == Peers.livePeersVersion() &&
                   View.PathsVersion == Service.pathsVersion();
  if (IsCurrent)
    return View;
  View = makeVoterView(Group, Now);
  View.LiveVersion = Peers.livePeersVersion();
  View.PathsVersion = Service.pathsVersion();
  return View;
}

std::string PromotionDriver::leasePeer(const std::string &Group,
                                       TimePoint Now) {
  return votersOf(Group, Now).LeasePeer;
}

void PromotionDriver::sweep(TimePoint Now) {
  for (const auto &[Name, Group] : Service.groups())
    checkGroup(*Group, Now);
  Leases.sweep(Now);
}

void PromotionDriver::deferToPeer(const std::string &Group) {
  GroupState &State = Groups[Group];
  State.NotBefore =
      std::max(State.NotBefore, BootClock::now() + Opts.PeerPromotionWait);
}

void PromotionDriver::queryIfSuspect(GroupDispatcher &Group, TimePoint Now) {
  if (!Group.failureDetector().isSuspect(Now))
    return;
  Peers.queryPrimary(Group.group(), Group.failureDetector().primary(), Now);
  logDoubt(Group, Now);
}

std::optional<PromotionReason>
PromotionDriver::reasonToPromote(GroupDispatcher &Group, TimePoint Now) {
  const std::string &Primary = Group.tracker().primary();
  const TargetEntry *Entry = Group.findEntry(Primary);
  queryIfSuspect(Group, Now);
  if (isLost(Group, Now))
    return PromotionReason::Lost;
  if (Entry && Entry->Leaving)
    return PromotionReason::Leaving;
  if (Primary.empty() && Group.isPrimaryMissing(Now))
    return PromotionReason::Lost;
  if (isBlocked(Group, Now))
    return PromotionReason::Blocked;
  return std::nullopt;
}

bool PromotionDriver::isLost(GroupDispatcher &Group, TimePoint Now) {
  const PrimaryFailureDetector &Detector = Group.failureDetector();
  if (!Detector.failingSince())
    return false;
  if (!Detector.isLost(votersOf(Group.group(), Now).Peers, Now))
    return false;
  // The voters are live peers. A VM that is cut off from most VMs has few or
  // none of them, and must not decide while the others may use the primary.
  return Peers.reachesMajority(Now);
}

bool PromotionDriver::isBlocked(GroupDispatcher &Group, TimePoint Now) {
  GroupState &State = Groups[Group.group()];
  const PrimaryLease *Lease = Group.guard().lease();
  bool IsReached = Lease && Lease->term() && Group.isDirect(Lease->primary()) &&
                   !Group.failureDetector().failingSince();
  if (!IsReached || Lease->isValidAt(Now) || !Lease->isBlocked()) {
    State.BlockedSince.reset();
    return false;
  }
  if (!State.BlockedSince)
    State.BlockedSince = Now;
  return Now - *State.BlockedSince > Opts.BlockedTimeout;
}

void PromotionDriver::logDoubt(GroupDispatcher &Group, TimePoint Now) {
  GroupState &State = Groups[Group.group()];
  if (Now < State.NextDoubtLog)
    return;
  State.NextDoubtLog = Now + internal::DoubtLogInterval;
  const PrimaryFailureDetector &Detector = Group.failureDetector();
  Duration Failing = Now - Detector.failingSince().value_or(Now);
  internal::Logger.info(
      "primary in doubt",
      {{"group", Group.group()},
       {"target", Detector.primary()},
       {"failing_ms", std::to_string(toMillis(Failing).count())},
       {"peers", std::to_string(Peers.livePeers(Now).size())},
       {"peers_answered", std::to_string(Detector.freshPeerReports(Now))},
       {"peer_in_touch", Detector.hasRecentPeerContact(Now) ? "yes" : "no"},
       {"reached_through", Detector.relayPeer(Now).value_or("")}});
}

void PromotionDriver::checkGroup(GroupDispatcher &Group, TimePoint Now) {
  if (!Group.isVoter() || Service.isDraining())
    return;
  GroupState &State = Groups[Group.group()];
  if (State.InProgress || Now < State.NotBefore) {
    // A leaving primary may be lost during its hand-over. The next attempt
    // needs the peers' reports to begin with.
    const TargetEntry *Entry = Group.findEntry(Group.tracker().primary());
    if (Entry && Entry->Leaving)
      queryIfSuspect(Group, Now);
    return;
  }
  std::optional<PromotionReason> Cause = reasonToPromote(Group, Now);
  if (!Cause) {
    State.DueSince.reset();
    reserveIfFirst(Group.group(), Now);
    return;
  }
  if (!State.DueSince)
    State.DueSince = Now;
  Duration Wait = votersOf(Group.group(), Now).Rank * Opts.RankDelay;
  if (Now - *State.DueSince < Wait)
    return;
  State.InProgress = true;
  spawn(Loop, runAttempt(Group.group(), Group.tracker().primary(), *Cause));
}

void PromotionDriver::reserveIfFirst(const std::string &Group, TimePoint Now) {
  if (votersOf(Group, Now).Rank > 0)
    return Tokens.dropReserved(Group);
  if (Tokens.mayReserve(Group, Now) && Procedure->needsReservation(Group))
    spawn(Loop, Tokens.reserve(Group, Procedure->reservationPlan(Group)));
}

boost::asio::awaitable<void>
PromotionDriver::runAttempt(std::string Group, std::string OldPrimary,
                            PromotionReason Reason) {
  const char *ReasonName = nameOf(Reason);
  internal::Logger.info(
      "promotion begins",
      {{"group", Group}, {"old_primary", OldPrimary}, {"why", ReasonName}});
  TimePoint Start = BootClock::now();
  PromotionEnd End = co_await Procedure->run(Group, OldPrimary, Reason);
  bool Done = End == PromotionEnd::Done;
  // Without a live peer nobody else can try.
  bool LeavesToPeers = End == PromotionEnd::Unproved &&
                       votersOf(Group, BootClock::now()).Peers > 0;
  TimePoint Now = BootClock::now();
  GroupState &State = Groups[Group];
  State.InProgress = false;
  State.DueSince.reset();
  State.BlockedSince.reset();
  if (!Done)
    State.NotBefore =
        std::max(State.NotBefore, Now + (LeavesToPeers ? Opts.UnprovedBackoff
                                                       : Opts.RetryBackoff));
  Meter.count("promotions_total",
              {{"why", ReasonName}, {"outcome", Done ? "done" : "not_done"}});
  Meter.observe("promotion_seconds", Now - Start, {{"why", ReasonName}});
}

} // namespace cicadawind
