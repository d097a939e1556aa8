// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Dispatch/GroupDispatcher.h"

#include "Leases/PrimaryLease.h"
#include "Observability/Log.h"
#include "Statements/TargetStatus.h"

#include <algorithm>

// The use of the group's primary under a lease, part of GroupDispatcher.

namespace cicadawind {
namespace internal {

static const Log Logger("lease");
/// Interval at which a primary that was replaced is demoted until it reports
/// that it is a replica. It doubles up to MaxDemotionInterval, because a
/// primary that is cut off cannot be reached.
constexpr Duration DemotionInterval = std::chrono::milliseconds(300);
constexpr Duration MaxDemotionInterval = std::chrono::milliseconds(2400);

} // namespace internal

std::vector<std::string> GroupDispatcher::replicasByDistance() const {
  std::vector<std::string> Out;
  for (const InstanceView &View : Views)
    if (View.Name != Tracker.primary())
      Out.push_back(View.Name);
  auto Distance = [this](const std::string &Name) {
    auto View =
        std::find_if(Views.begin(), Views.end(), [&](const InstanceView &Each) {
          return Each.Name == Name;
        });
    if (View->FailureDomain == Opts.FailureDomain)
      return 0;
    return View->Region == Opts.Region ? 1 : 2;
  };
  std::stable_sort(Out.begin(), Out.end(),
                   [&](const std::string &A, const std::string &B) {
                     return Distance(A) < Distance(B);
                   });
  return Out;
}

void GroupDispatcher::updatePrimary() {
  FailureDetector.setPrimary(Tracker.primary());
  Guard->setPrimary(Tracker.primary());
  Guard->setReplicas(replicasByDistance(), BootClock::now());
}

void GroupDispatcher::recordStatus(const std::string &Instance,
                                   const TargetStatus &Status,
                                   TimePoint RequestedAt) {
  Guard->recordStatus(Instance, Status, RequestedAt);
  std::string Newer = Guard->newerPrimary();
  if (!Newer.empty() && find(Newer)) {
    internal::Logger.info("target leads a newer term",
                          {{"group", Opts.Group},
                           {"target", Newer},
                           {"term", std::to_string(Status.CurrentTerm)},
                           {"before", Tracker.primary()}});
    recordPrimaryClaim(Newer);
  }
  if (!Confirmations.empty())
    settleConfirmations(BootClock::now());
  if (!Queue.empty())
    scheduleDispatch();
}

void GroupDispatcher::refreshLease(TimePoint Now) {
  // A VM that uses relays relies on their leases.
  if (isDirect(Tracker.primary())) {
    requestLeaseEvidence(Now);
    std::optional<Term> Leading = Guard->votesDue(Now);
    if (Leading && Opts.RequestVotes)
      Opts.RequestVotes(Opts.Group, *Leading);
  }
  logLeaseChange(Now);
  demoteReplaced(Now);
}

void GroupDispatcher::logLeaseChange(TimePoint Now) {
  const PrimaryLease *Lease = Guard->lease();
  if (!Lease)
    return;
  bool HasLease = isDirect(Lease->primary()) && Lease->isValidAt(Now);
  if (HasLease == std::exchange(HadLease, HasLease))
    return;
  std::optional<TimePoint> Until = Lease->validUntil();
  internal::Logger.info(
      HasLease ? "lease on the primary held" : "lease on the primary ended",
      {{"group", Opts.Group},
       {"target", Lease->primary()},
       {"term", Lease->term() ? std::to_string(*Lease->term()) : ""},
       {"remaining_ms",
        Until ? std::to_string(toMillis(*Until - Now).count()) : ""},
       {"blocked", Lease->isBlocked() ? "yes" : "no"},
       {"superseded", Lease->isSuperseded() ? "yes" : "no"},
       {"waiting", std::to_string(Queue.size())}});
}

void GroupDispatcher::requestLeaseEvidence(TimePoint Now) {
  std::optional<Term> Leading = Guard->peerEvidenceDue(Now);
  if (Leading && Opts.FindLeasePeer) {
    LeasePeer = Opts.FindLeasePeer(Opts.Group);
    if (!LeasePeer.empty() && Opts.RequestEvidence)
      Opts.RequestEvidence(LeasePeer, Opts.Group, *Leading);
  }
  for (const std::string &Instance : Guard->statusDue(!LeasePeer.empty(), Now))
    askStatus(Instance, [](const std::string &, const TargetStatus *) {});
}

void GroupDispatcher::demoteReplaced(TimePoint Now) {
  if (!IsVoter || Now < NextDemotion || !Guard->lease())
    return;
  for (const auto &[Name, Links] : Targets) {
    bool IsDoubtful = Links->entry().ClaimsPrimary && Name != Tracker.primary();
    if (IsDoubtful && !Tracker.primary().empty())
      askStatus(Name, [](const std::string &, const TargetStatus *) {});
  }
  std::optional<Term> Leading = Guard->lease()->term();
  std::vector<std::string> Replaced = Guard->replacedPrimaries();
  DemotionBackoff =
      Replaced.empty()
          ? internal::DemotionInterval
          : std::min(std::max(2 * DemotionBackoff, internal::DemotionInterval),
                     internal::MaxDemotionInterval);
  NextDemotion = Now + DemotionBackoff;
  for (const std::string &Name : Replaced) {
    internal::Logger.info("replaced primary is demoted",
                          {{"group", Opts.Group},
                           {"target", Name},
                           {"below_term", std::to_string(*Leading)}});
    demote(Name, *Leading, [](const std::string &, const TargetStatus *) {});
  }
}

bool GroupDispatcher::isWriteConfirmed(const std::string &Instance,
                                       TimePoint RepliedAt) const {
  // A relay has confirmed the write before it passed the reply on.
  return !isDirect(Instance) || Guard->covers(Instance, RepliedAt);
}

void GroupDispatcher::confirmWrite(const std::string &Instance,
                                   TimePoint RepliedAt, TimePoint GiveUpAt,
                                   std::function<void(bool)> Hook) {
  Confirmations.push_back({.Instance = Instance,
                           .RepliedAt = RepliedAt,
                           .GiveUpAt = GiveUpAt,
                           .Hook = std::move(Hook)});
}

void GroupDispatcher::settleConfirmations(TimePoint Now) {
  std::vector<PendingConfirmation> Waiting = std::exchange(Confirmations, {});
  for (PendingConfirmation &Each : Waiting) {
    bool IsCovered = Guard->covers(Each.Instance, Each.RepliedAt);
    bool IsReplaced =
        !Tracker.primary().empty() && Tracker.primary() != Each.Instance;
    if (!IsCovered && !IsReplaced && Now < Each.GiveUpAt) {
      Confirmations.push_back(std::move(Each));
      continue;
    }
    if (!IsCovered)
      internal::Logger.info(
          "write not confirmed, as the lease on the primary ended",
          {{"group", Opts.Group},
           {"target", Each.Instance},
           {"waited_ms",
            std::to_string(toMillis(Now - Each.RepliedAt).count())}});
    Each.Hook(IsCovered);
  }
}

} // namespace cicadawind
