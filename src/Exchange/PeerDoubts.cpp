// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Exchange/PeerExchange.h"

#include "Proxy/ProxyService.h"

#include <algorithm>

// The evidence on primaries in doubt, part of PeerExchange.

namespace cicadawind {
namespace internal {

/// Bytes of the headers of a datagram.
constexpr std::size_t DatagramHeaders = 28;
/// Time for which reports are gathered before they are passed on. Most of those
/// on one query arrive within it.
constexpr Duration GatheringTime = std::chrono::milliseconds(6);

static bool contains(const std::vector<std::string> &Names,
                     const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

} // namespace internal

PeerExchange::VoterPeers PeerExchange::votersOf(const std::string &Group,
                                                TimePoint Now) const {
  VoterPeers Out;
  for (VmEntry &Each : findPeers(Service.votersFor(Group), Now))
    if (Each.Region == Opts.Region)
      Out.Near.push_back(std::move(Each));
    else
      Out.Far[Each.Region].push_back(std::move(Each));
  return Out;
}

void PeerExchange::queryVoters(const std::string &Group,
                               const std::string &Instance, TimePoint Now) {
  VoterPeers Voters = votersOf(Group, Now);
  std::size_t FarCount = 0;
  for (const auto &[Region, Vms] : Voters.Far)
    FarCount += Vms.size();
  if ((Voters.Near.size() + 1) * FarCount <= Opts.MaxDirectPairs) {
    std::vector<VmEntry> All = Voters.Near;
    for (const auto &[Region, Vms] : Voters.Far)
      All.insert(All.end(), Vms.begin(), Vms.end());
    return sendQuery(Group, Instance, All, Now);
  }
  std::vector<VmEntry> OwnRegion = Voters.Near;
  OwnRegion.push_back(self());
  EvidenceReporters::Choice Chosen =
      DoubtReporters.choose(Group, OwnRegion, Now);
  PrimaryQuery Query = makeQuery(Group, Instance, Now);
  for (const VmEntry &Each : Voters.Near) {
    bool IsReporter = internal::contains(Chosen.Vms, Each.Vm);
    Query.Scope = IsReporter ? EvidenceScope::OtherRegions : EvidenceScope::Own;
    if (IsReporter)
      DoubtReporters.recordAsked(Group, Each.Vm, Now);
    sendTo(Each.RouterPeer, Query);
  }
  if (internal::contains(Chosen.Vms, Opts.Vm))
    queryOtherRegions(Group, Instance, Now);
  if (Chosen.AreFirstSilent)
    for (const auto &[Region, Vms] : Voters.Far)
      queryDirectly(Group, Instance, Vms, OwnRegion.size(), Now);
}

void PeerExchange::queryOwnRegion(const std::string &Group,
                                  const std::string &Instance, TimePoint Now) {
  QueryKey On(Group, Instance);
  // This VM's own queries bring the same reports.
  auto Own = LastQueriedAt.find(On);
  if (Own != LastQueriedAt.end() && Now - Own->second < Opts.MinQueryInterval)
    return;
  if (isQueryDue(OwnRegionQueriedAt, On, Now))
    sendQuery(Group, Instance, votersOf(Group, Now).Near, Now);
}

std::size_t PeerExchange::ownPlace(const std::string &Group,
                                   const VoterPeers &Voters, TimePoint Now) {
  std::vector<VmEntry> OwnRegion = Voters.Near;
  OwnRegion.push_back(self());
  EvidenceReporters::Choice Chosen =
      DoubtReporters.choose(Group, std::move(OwnRegion), Now);
  auto It = std::find(Chosen.Vms.begin(), Chosen.Vms.end(), Opts.Vm);
  return static_cast<std::size_t>(It - Chosen.Vms.begin());
}

void PeerExchange::queryOtherRegions(const std::string &Group,
                                     const std::string &Instance,
                                     TimePoint Now) {
  if (!isQueryDue(OtherRegionsQueriedAt, {Group, Instance}, Now))
    return;
  VoterPeers Voters = votersOf(Group, Now);
  // The reporters of a region ask different ones of the other region, so that
  // the loss of one of each delays at most one of two ways.
  std::size_t Place = ownPlace(Group, Voters, Now);
  PrimaryQuery Query = makeQuery(Group, Instance, Now);
  Query.Scope = EvidenceScope::Region;
  for (const auto &[Region, Vms] : Voters.Far) {
    EvidenceReporters::Choice Chosen = DoubtReporters.choose(Group, Vms, Now);
    if (!Chosen.Vms.empty()) {
      const std::string &Vm = Chosen.Vms[Place % Chosen.Vms.size()];
      DoubtReporters.recordAsked(Group, Vm, Now);
      if (std::optional<VmEntry> Entry = Service.findPeer(Vm))
        sendTo(Entry->RouterPeer, Query);
    }
    if (Chosen.AreFirstSilent)
      queryDirectly(Group, Instance, Vms, Voters.Near.size() + 1, Now);
  }
}

void PeerExchange::queryDirectly(const std::string &Group,
                                 const std::string &Instance,
                                 const std::vector<VmEntry> &Voters,
                                 std::size_t NearCount, TimePoint Now) {
  PrimaryQuery Query = makeQuery(Group, Instance, Now);
  std::size_t Bytes =
      encodePeerMessage(Query).size() + internal::DatagramHeaders;
  double Budget = Opts.DirectQueryBudget / static_cast<double>(NearCount);
  // The query number selects the first one, so that all are asked in turn.
  for (std::size_t I = 0; I < Voters.size(); ++I) {
    // A report takes about as much as its query.
    if (!DirectBudget.take(2 * Bytes, Budget, Now))
      return;
    const VmEntry &Each = Voters[(Query.Number + I) % Voters.size()];
    sendTo(Each.RouterPeer, Query);
  }
}

void PeerExchange::handleScope(const PrimaryQuery &Query, TimePoint Now) {
  if (Query.Scope == EvidenceScope::Own || Query.Instance.empty())
    return;
  Shared.recordQuery({Query.Group, Query.Instance}, Query.Scope, Query.From,
                     Query.Number, Now);
  if (Query.Scope == EvidenceScope::Region)
    queryOwnRegion(Query.Group, Query.Instance, Now);
  else
    queryOtherRegions(Query.Group, Query.Instance, Now);
}

void PeerExchange::recordEvidence(const PrimaryReport &Report,
                                  const PendingQuery &Query, TimePoint Now) {
  PrimaryFailureDetector &Detector =
      Service.findGroup(Query.Group)->failureDetector();
  if (Detector.primary() == Query.Instance)
    Detector.recordPeerReport(Report.From, Query.Instance, Report.ContactAge,
                              Report.ReachesDirectly, Now);
  // The report was sent no earlier than this, by this VM's clock.
  TimePoint SentAt = std::min(Query.SentAt + Report.Held, Now);
  if (std::optional<VmEntry> From = Service.findPeer(Report.From))
    Shared.record({Query.Group, Query.Instance},
                  {.Vm = Report.From,
                   .IsNear = From->Region == Opts.Region,
                   .ContactAge = Report.ContactAge,
                   .ReachesDirectly = Report.ReachesDirectly,
                   .At = SentAt});
  if (Report.PassesOn)
    DoubtReporters.recordReport(Query.Group, Report.From);
  scheduleLists();
  if (Report.PassedOn.empty())
    return;
  std::set<std::string> Voters = Service.votersFor(Query.Group);
  for (const ReportedEvidence &Item : Report.PassedOn)
    if (Item.Vm != Opts.Vm)
      recordPassedOn(Item, Query, Voters, SentAt - Item.Age);
}

void PeerExchange::recordPassedOn(const ReportedEvidence &Item,
                                  const PendingQuery &Query,
                                  const std::set<std::string> &Voters,
                                  TimePoint At) {
  std::optional<VmEntry> Vm = Service.findPeer(Item.Vm);
  SharedEvidence::Evidence New{.Vm = Item.Vm,
                               .IsNear = Vm && Vm->Region == Opts.Region,
                               .ContactAge = Item.ContactAge,
                               .ReachesDirectly = Item.ReachesDirectly,
                               .At = At};
  if (!Shared.record({Query.Group, Query.Instance}, New))
    return;
  PrimaryFailureDetector &Detector =
      Service.findGroup(Query.Group)->failureDetector();
  bool IsVoter = Vm && (Voters.empty() || Voters.count(Item.Vm));
  // Any VM may veto, but only voters count towards the majority.
  if (Detector.primary() == Query.Instance && (IsVoter || Item.ContactAge))
    Detector.recordPeerReport(Item.Vm, Query.Instance, Item.ContactAge,
                              Vm && Item.ReachesDirectly, At);
}

void PeerExchange::scheduleLists() {
  if (AreListsScheduled || !Shared.hasSubscriptions())
    return;
  AreListsScheduled = true;
  ListTimer.expires_after(internal::GatheringTime);
  ListTimer.async_wait(
      [this, StillAlive = Alive](const boost::system::error_code &Code) {
        if (!*StillAlive || Code)
          return;
        AreListsScheduled = false;
        sendDueLists(BootClock::now());
      });
}

void PeerExchange::sendDueLists(TimePoint Now) {
  for (SharedEvidence::DueList &Each : Shared.takeDueLists(Now)) {
    std::optional<VmEntry> To = Service.findPeer(Each.To);
    if (!To)
      continue;
    PrimaryQuery Query;
    Query.Number = Each.Number;
    Query.Group = Each.On.first;
    Query.Instance = Each.On.second;
    PrimaryReport Report = makeReport(Query, Now);
    Report.PassesOn = true;
    Report.PassedOn = std::move(Each.Listed);
    Report.Held = toMillis(Each.Held);
    sendTo(To->RouterPeer, Report);
  }
}

} // namespace cicadawind
