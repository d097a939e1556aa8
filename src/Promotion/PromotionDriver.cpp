// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Promotion/PromotionDriver.h"

#include "Async/AsyncSignal.h"
#include "Core/Random.h"
#include "Leases/PrimaryLease.h"
#include "Observability/Log.h"
#include "Observability/Metrics.h"
#include "Proxy/PeerExchange.h"
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
  Peers.onPromotion(
      [this](const PromotionNotice &Notice) { deferToPeer(Notice.Group); });
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

std::string PromotionDriver::leasePeer(const std::string &Group,
                                       TimePoint Now) const {
  std::hash<std::string> Hash;
  std::uint64_t First = hashCombine(Hash(Group), Hash(Opts.Vm));
  std::string Out;
  std::set<std::string> Voters = Service.votersFor(Group);
  std::string OwnRegion = Peers.self().Region;
  for (const VmEntry &Peer : Peers.livePeers(Now)) {
    bool Counts = Peer.Region == OwnRegion &&
                  (Voters.empty() || Voters.count(Peer.Vm) != 0);
    std::uint64_t Order = hashCombine(Hash(Group), Hash(Peer.Vm));
    if (!Counts || Order >= First)
      continue;
    First = Order;
    Out = Peer.Vm;
  }
  return Out;
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

std::size_t PromotionDriver::rankFor(const std::string &Group,
                                     TimePoint Now) const {
  std::hash<std::string> Hash;
  std::uint64_t Own = hashCombine(Hash(Group), Hash(Opts.Vm));
  std::set<std::string> Voters = Service.votersFor(Group);
  std::size_t Rank = 0;
  for (const VmEntry &Peer : Peers.livePeers(Now)) {
    bool Counts = Voters.empty() || Voters.count(Peer.Vm) != 0;
    if (Counts && hashCombine(Hash(Group), Hash(Peer.Vm)) < Own)
      ++Rank;
  }
  return std::min(Rank, Opts.MaxRank);
}

std::optional<PromotionReason>
PromotionDriver::reasonToPromote(GroupDispatcher &Group, TimePoint Now) {
  const std::string &Primary = Group.tracker().primary();
  const TargetEntry *Entry = Group.findEntry(Primary);
  if (Entry && Entry->Leaving)
    return PromotionReason::Leaving;
  if (Group.failureDetector().isSuspect(Now)) {
    Peers.queryPrimary(Group.group(), Group.failureDetector().primary(), Now);
    logDoubt(Group, Now);
  }
  if (Group.failureDetector().isLost(liveVoters(Group.group(), Now), Now))
    return PromotionReason::Lost;
  if (Primary.empty() && Group.isPrimaryMissing(Now))
    return PromotionReason::Lost;
  if (isBlocked(Group, Now))
    return PromotionReason::Blocked;
  return std::nullopt;
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

std::size_t PromotionDriver::liveVoters(const std::string &Group,
                                        TimePoint Now) const {
  std::set<std::string> Voters = Service.votersFor(Group);
  std::size_t Count = 0;
  for (const VmEntry &Peer : Peers.livePeers(Now))
    Count += Voters.empty() || Voters.count(Peer.Vm) != 0 ? 1 : 0;
  return Count;
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
  GroupState &State = Groups[Group.group()];
  if (State.InProgress || Now < State.NotBefore || Service.isDraining() ||
      !Group.isVoter())
    return;
  std::optional<PromotionReason> Cause = reasonToPromote(Group, Now);
  if (!Cause) {
    State.DueSince.reset();
    reserveIfFirst(Group.group(), Now);
    return;
  }
  if (!State.DueSince)
    State.DueSince = Now;
  Duration Wait = rankFor(Group.group(), Now) * Opts.RankDelay;
  if (Now - *State.DueSince < Wait)
    return;
  State.InProgress = true;
  spawn(Loop, runAttempt(Group.group(), Group.tracker().primary(), *Cause));
}

void PromotionDriver::reserveIfFirst(const std::string &Group, TimePoint Now) {
  if (Tokens.needsReservation(Group, Now) && rankFor(Group, Now) == 0)
    spawn(Loop, Tokens.reserve(Group));
}

boost::asio::awaitable<void>
PromotionDriver::runAttempt(std::string Group, std::string OldPrimary,
                            PromotionReason Reason) {
  const char *ReasonName = nameOf(Reason);
  internal::Logger.info(
      "promotion begins",
      {{"group", Group}, {"old_primary", OldPrimary}, {"why", ReasonName}});
  TimePoint Start = BootClock::now();
  bool Done = co_await Procedure->run(Group, OldPrimary, Reason);
  TimePoint Now = BootClock::now();
  GroupState &State = Groups[Group];
  State.InProgress = false;
  State.DueSince.reset();
  State.BlockedSince.reset();
  if (!Done)
    State.NotBefore = std::max(State.NotBefore, Now + Opts.RetryBackoff);
  Meter.count("promotions_total",
              {{"why", ReasonName}, {"outcome", Done ? "done" : "not_done"}});
  Meter.observe("promotion_seconds", Now - Start, {{"why", ReasonName}});
}

} // namespace cicadawind
