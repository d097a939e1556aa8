// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Exchange/PeerExchange.h"

#include "Proxy/ProxyService.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>

// The queries and reports about the primaries of groups, part of PeerExchange.

namespace cicadawind {
namespace internal {

/// Age of the last contact with a primary above which a peer's query makes this
/// VM probe it.
constexpr Duration ProbeAfter = std::chrono::milliseconds(100);

} // namespace internal

void PeerExchange::handleQuery(const PrimaryQuery &Query, TimePoint Now) {
  PrimaryReport Report;
  Report.From = Opts.Vm;
  Report.Number = Query.Number;
  Report.Group = Query.Group;
  GroupDispatcher *Group = Service.findGroup(Query.Group);
  if (Group) {
    if (!Query.Instance.empty()) {
      std::optional<Duration> ContactAge =
          Group->failureDetector().lastContactAge(Query.Instance, Now);
      if (ContactAge)
        Report.ContactAge = toMillis(*ContactAge);
      Report.ReachesDirectly = !Group->isUnreachable(Query.Instance);
      if (!ContactAge || *ContactAge > internal::ProbeAfter)
        Group->probePrimary();
    }
    const PrimaryTracker &Tracker = Group->tracker();
    std::optional<LeadershipProof> Proof = Tracker.newest();
    // Before the primary is confirmed, the newest proof is an earlier one's.
    if (Proof && Tracker.isConfirmed()) {
      Report.Primary = Tracker.primary();
      Report.LogEnd = Proof->LogEnd;
      // Rounded up: with an understated age, the peer might serve reads that
      // miss writes they must see.
      Report.ProofAge = toMillis(Now - Proof->RequestedAt) + Millis(1);
    }
  }
  // An error is ignored, since the peer repeats its query if it gets no report.
  boost::system::error_code Ignored;
  Socket.send_to(boost::asio::buffer(encodePeerMessage(Report)), Sender, 0,
                 Ignored);
}

void PeerExchange::handleReport(const PrimaryReport &Report, TimePoint Now) {
  auto It = Queries.find(Report.Number);
  if (It == Queries.end() || It->second.Group != Report.Group)
    return;
  Fleet.recordContact(Report.From, Now);
  GroupDispatcher *Group = Service.findGroup(Report.Group);
  if (!Group)
    return;
  const PendingQuery &Query = It->second;
  if (!Query.Instance.empty())
    Group->failureDetector().recordPeerReport(Report.From, Query.Instance,
                                              Report.ContactAge,
                                              Report.ReachesDirectly, Now);
  // The age is counted back from the time of the query, which is earlier than
  // that of the report. So the proof may appear older than it is, never newer.
  if (!Report.Primary.empty())
    Group->recordPeerProof(Report.Primary, Report.LogEnd,
                           Query.SentAt - Report.ProofAge);
}

void PeerExchange::queryPrimary(const std::string &Group,
                                const std::string &Instance, TimePoint Now) {
  // MinQueryInterval applies to each instance separately, so that a query about
  // a primary in doubt is not delayed by queries for leadership proofs.
  QueryKey Key(Group, Instance);
  auto LastQueried = LastQueriedAt.find(Key);
  if (LastQueried != LastQueriedAt.end() &&
      Now - LastQueried->second < Opts.MinQueryInterval)
    return;
  LastQueriedAt[Key] = Now;
  // VMs that have evidence of their own; an empty set stands for all VMs.
  std::set<std::string> DirectVms = Instance.empty()
                                        ? Service.relaysToPrimary(Group)
                                        : Service.votersFor(Group);
  std::vector<VmEntry> Peers;
  if (DirectVms.empty())
    Peers = livePeers(Now);
  for (const std::string &Vm : DirectVms)
    if (std::optional<VmEntry> Entry = Service.findPeer(Vm))
      Peers.push_back(std::move(*Entry));
  if (Instance.empty()) {
    // Peers of this region respond sooner and cause no traffic between regions.
    std::stable_partition(Peers.begin(), Peers.end(), [&](const VmEntry &E) {
      return E.Region == Opts.Region;
    });
    Peers.resize(std::min(Peers.size(), Opts.ProofFanout));
  }
  // Each relay gets leadership proofs itself, so one of them is enough. The
  // query number selects it, so that the load is shared.
  if (Instance.empty() && !DirectVms.empty() && !Peers.empty())
    Peers = {Peers[LastQueryNumber % Peers.size()]};
  PrimaryQuery Query;
  Query.From = Opts.Vm;
  Query.Number = ++LastQueryNumber;
  Query.Group = Group;
  Query.Instance = Instance;
  Queries[Query.Number] = {.Group = Group, .Instance = Instance, .SentAt = Now};
  for (const VmEntry &Entry : Peers)
    sendTo(Entry.RouterPeer, Query);
}

void PeerExchange::broadcastPromotion(const std::string &Group,
                                      std::uint64_t Token, TimePoint Now) {
  PromotionNotice Notice{.From = Opts.Vm, .Group = Group, .Token = Token};
  for (const VmEntry &Entry : livePeers(Now))
    sendTo(Entry.RouterPeer, Notice);
}

} // namespace cicadawind
