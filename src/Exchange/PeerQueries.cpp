// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Exchange/PeerExchange.h"

#include "Proxy/ProxyService.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>

// The queries and reports about the primaries of groups, part of PeerExchange.

namespace cicadawind {
namespace internal {

/// Time after which reports on a query are ignored.
constexpr Duration QueryTimeout = std::chrono::milliseconds(1000);
/// Age of the last contact with a primary above which a peer's query makes this
/// VM probe it.
constexpr Duration ProbeAfter = std::chrono::milliseconds(100);
/// Age up to which a leadership proof is passed on to other VMs of the region
/// without asking for a newer one. About a quarter of the smallest MaxStaleness
/// in use.
constexpr Duration SharedProofAge = std::chrono::milliseconds(400);
/// Time for which a report to another VM waits for a newer proof.
constexpr Duration QueryLifetime = std::chrono::milliseconds(500);

} // namespace internal

void PeerExchange::handleQuery(const PrimaryQuery &Query, TimePoint Now) {
  GroupDispatcher *Group = Service.findGroup(Query.Group);
  if (Group && !Query.Instance.empty()) {
    std::optional<Duration> ContactAge =
        Group->failureDetector().lastContactAge(Query.Instance, Now);
    if (!ContactAge || *ContactAge > internal::ProbeAfter)
      Group->probePrimary();
  }
  PendingReport Waiting{.To = Sender, .Query = Query, .Since = Now};
  if (Group && Query.Instance.empty() && needsRemoteProof(*Group, Now)) {
    WaitingReports[Query.Group].push_back(std::move(Waiting));
    return queryPrimary(Query.Group, "", Now);
  }
  handleScope(Query, Now);
  sendReport(Waiting, Now);
}

PrimaryReport PeerExchange::makeReport(const PrimaryQuery &Query,
                                       TimePoint Now) const {
  PrimaryReport Report;
  Report.From = Opts.Vm;
  Report.Number = Query.Number;
  Report.Group = Query.Group;
  const std::string &Instance = Query.Instance;
  if (GroupDispatcher *Group = Service.findGroup(Report.Group)) {
    if (!Instance.empty()) {
      std::optional<Duration> ContactAge =
          Group->failureDetector().lastContactAge(Instance, Now);
      if (ContactAge)
        Report.ContactAge = toMillis(*ContactAge);
      Report.ReachesDirectly = !Group->isUnreachable(Instance);
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
  return Report;
}

void PeerExchange::sendReport(const PendingReport &Waiting, TimePoint Now) {
  const PrimaryQuery &Query = Waiting.Query;
  PrimaryReport Report = makeReport(Query, Now);
  Report.PassesOn = Query.Scope != EvidenceScope::Own;
  if (Report.PassesOn)
    Report.PassedOn =
        Shared.takeListFor({Query.Group, Query.Instance}, Query.From, Now);
  // An error is ignored, since the peer repeats its query if it gets no report.
  boost::system::error_code Ignored;
  Socket.send_to(boost::asio::buffer(encodePeerMessage(Report)), Waiting.To, 0,
                 Ignored);
}

bool PeerExchange::isRemote(const std::vector<VmEntry> &Vms) const {
  return !Vms.empty() &&
         std::none_of(Vms.begin(), Vms.end(), [&](const VmEntry &Each) {
           return Each.Region == Opts.Region;
         });
}

std::vector<VmEntry>
PeerExchange::relaysToPrimary(const std::string &Group) const {
  std::vector<VmEntry> Out;
  for (const std::string &Vm : Service.relaysToPrimary(Group))
    if (std::optional<VmEntry> Entry = Service.findPeer(Vm))
      Out.push_back(std::move(*Entry));
  return Out;
}

bool PeerExchange::needsRemoteProof(const GroupDispatcher &Group,
                                    TimePoint Now) const {
  std::optional<LeadershipProof> Proof = Group.tracker().newest();
  bool IsFresh = Proof && Now - Proof->RequestedAt < internal::SharedProofAge;
  return !IsFresh && isRemote(relaysToPrimary(Group.group()));
}

void PeerExchange::dropExpiredQueries(TimePoint Now) {
  std::erase_if(Queries, [&](const auto &Each) {
    return Now - Each.second.SentAt > internal::QueryTimeout;
  });
  for (auto &[Group, Waiting] : WaitingReports)
    std::erase_if(Waiting, [&](const PendingReport &Each) {
      return Now - Each.Since > internal::QueryLifetime;
    });
  std::erase_if(WaitingReports,
                [](const auto &Each) { return Each.second.empty(); });
}

void PeerExchange::sendWaitingReports(const std::string &Group, TimePoint Now) {
  auto It = WaitingReports.find(Group);
  if (It == WaitingReports.end())
    return;
  std::vector<PendingReport> Waiting = std::move(It->second);
  WaitingReports.erase(It);
  for (const PendingReport &Each : Waiting)
    if (Now - Each.Since < internal::QueryLifetime)
      sendReport(Each, Now);
}

void PeerExchange::handleReport(const PrimaryReport &Report, TimePoint Now) {
  auto It = Queries.find(Report.Number);
  if (It == Queries.end() || It->second.Group != Report.Group)
    return;
  Fleet.recordContact(Report.From, Now);
  Reporters.recordReport(Report.Group, Report.From);
  GroupDispatcher *Group = Service.findGroup(Report.Group);
  if (!Group)
    return;
  const PendingQuery &Query = It->second;
  if (!Query.Instance.empty())
    recordEvidence(Report, Query, Now);
  // The age is counted back from the time of the query, which is earlier than
  // that of the report. So the proof may appear older than it is, never newer.
  if (!Report.Primary.empty())
    Group->recordPeerProof(Report.Primary, Report.LogEnd,
                           Query.SentAt - Report.ProofAge);
  sendWaitingReports(Report.Group, Now);
}

bool PeerExchange::isQueryDue(QueryTimes &Times, const QueryKey &On,
                              TimePoint Now) const {
  auto Last = Times.find(On);
  if (Last != Times.end() && Now - Last->second < Opts.MinQueryInterval)
    return false;
  Times[On] = Now;
  return true;
}

void PeerExchange::queryPrimary(const std::string &Group,
                                const std::string &Instance, TimePoint Now) {
  // MinQueryInterval applies to each instance separately, so that a query about
  // a primary in doubt is not delayed by queries for leadership proofs.
  if (!isQueryDue(LastQueriedAt, {Group, Instance}, Now))
    return;
  if (Instance.empty())
    sendQuery(Group, Instance, chooseQueried(Group, Now), Now);
  else
    queryVoters(Group, Instance, Now);
}

std::vector<VmEntry> PeerExchange::findPeers(const std::set<std::string> &Names,
                                             TimePoint Now) const {
  if (Names.empty())
    return livePeers(Now);
  std::vector<VmEntry> Out;
  for (const std::string &Vm : Names)
    if (std::optional<VmEntry> Entry = Service.findPeer(Vm))
      Out.push_back(std::move(*Entry));
  return Out;
}

std::vector<VmEntry> PeerExchange::chooseQueried(const std::string &Group,
                                                 TimePoint Now) {
  // VMs that have evidence of their own; an empty set stands for all VMs.
  std::set<std::string> DirectVms = Service.relaysToPrimary(Group);
  std::vector<VmEntry> Peers = findPeers(DirectVms, Now);
  // One VM of the region asks the other region for all of them.
  if (!DirectVms.empty() && isRemote(Peers)) {
    std::optional<std::string> Vm =
        Reporters.reporterFor(Group, livePeers(Now), livePeersVersion(), Now);
    std::optional<VmEntry> Entry = Vm ? Service.findPeer(*Vm) : std::nullopt;
    if (Entry)
      return {*Entry};
  }
  // Peers of this region respond sooner and cause no traffic between regions.
  std::stable_partition(Peers.begin(), Peers.end(), [&](const VmEntry &E) {
    return E.Region == Opts.Region;
  });
  Peers.resize(std::min(Peers.size(), Opts.ProofFanout));
  // Each relay gets leadership proofs itself, so one of them is enough. The
  // query number selects it, so that the load is shared.
  if (!DirectVms.empty() && !Peers.empty())
    Peers = {Peers[LastQueryNumber % Peers.size()]};
  return Peers;
}

PrimaryQuery PeerExchange::makeQuery(const std::string &Group,
                                     const std::string &Instance,
                                     TimePoint Now) {
  PrimaryQuery Query;
  Query.From = Opts.Vm;
  Query.Number = ++LastQueryNumber;
  Query.Group = Group;
  Query.Instance = Instance;
  Queries[Query.Number] = {.Group = Group, .Instance = Instance, .SentAt = Now};
  return Query;
}

void PeerExchange::sendQuery(const std::string &Group,
                             const std::string &Instance,
                             const std::vector<VmEntry> &To, TimePoint Now) {
  PrimaryQuery Query = makeQuery(Group, Instance, Now);
  for (const VmEntry &Entry : To)
    sendTo(Entry.RouterPeer, Query);
}

void PeerExchange::broadcastPromotion(const std::string &Group,
                                      std::uint64_t Token, TimePoint Now) {
  PromotionNotice Notice{.From = Opts.Vm, .Group = Group, .Token = Token};
  for (const VmEntry &Entry : livePeers(Now))
    sendTo(Entry.RouterPeer, Notice);
}

} // namespace cicadawind
