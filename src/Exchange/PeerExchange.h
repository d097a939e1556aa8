#ifndef CICADAWIND_EXCHANGE_PEEREXCHANGE_H
#define CICADAWIND_EXCHANGE_PEEREXCHANGE_H

#include "Core/Random.h"
#include "Exchange/ByteBudget.h"
#include "Exchange/PeerMessage.h"
#include "Exchange/SharedEvidence.h"
#include "Exchange/StateFetches.h"
#include "Http/HttpMessage.h"
#include "Leases/VoterList.h"
#include "Membership/EvidenceReporters.h"
#include "Membership/FleetGossip.h"
#include "Membership/ProofReporters.h"
#include "Membership/StoreReaders.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadawind {

class GroupDispatcher;
class HttpClient;
class HttpServer;
class ProxyService;

/// \class PeerExchange
/// \brief Exchanges membership, configuration versions and evidence on
/// primaries with the proxies of other VMs.
///
/// Datagrams carry hellos, queries, reports and notices. State that does not
/// fit a datagram is fetched over HTTP from the peer that has it. FleetGossip
/// chooses the VMs that get hellos, both the periodic ones and those that
/// announce a newer configuration, so that their number does not grow with the
/// fleet. Only a VM that leaves tells all others itself. The age that
/// a peer reports for a leadership proof is counted back from the time at which
/// this VM sent its query, so that the result does not depend on the clocks of
/// other VMs. Runs on the loop's thread.
class PeerExchange {
public:
  struct Options {
    std::string Vm;
    std::string FailureDomain;
    std::string Region;
    /// IP address at which other VMs reach this one.
    std::string Address;
    /// IP address on which this VM listens; empty if it is Address.
    std::string BindAddress;
    /// UDP port for datagrams and TCP port for HTTP. The same on all seeds.
    std::uint16_t Port = 0;
    /// Port on which this VM relays connections of other VMs to targets.
    std::uint16_t RelayPort = 0;
    /// IP addresses of the VMs that get a hello while no peer is known.
    std::vector<std::string> SeedAddresses;
    Duration HelloInterval = std::chrono::milliseconds(1000);
    /// Time between the hellos to listed VMs of which nothing was heard yet.
    Duration ProbesInterval = std::chrono::milliseconds(100);
    /// See FleetGossip::Options.
    Duration PeerTimeout = std::chrono::seconds(8);
    /// Time after the start at which the live peers count as the whole fleet,
    /// even if the store's list of VMs could not be read.
    Duration DiscoveryTimeout = std::chrono::milliseconds(1000);
    /// Minimum time between two queries about the same group and primary.
    Duration MinQueryInterval = std::chrono::milliseconds(80);
    /// Maximum number of peers that one query for a leadership proof goes to.
    std::size_t ProofFanout = 3;
    /// Pairs of a voter of this region and one of another up to which each asks
    /// the other itself about a primary in doubt. As many as a group has where
    /// VMs relay.
    std::size_t MaxDirectPairs = 20;
    /// Bytes a second that all VMs of this region may send to others, and get
    /// in reply, for queries about primaries in doubt that bypass the
    /// EvidenceReporters. A quarter of a link of 30 Mbit/s.
    double DirectQueryBudget = 30e6 / 8 / 4;
    RandomSource Random;
  };

  PeerExchange(boost::asio::io_context &Loop, Options Opts, HttpClient &Http,
               ProxyService &Service);
  ~PeerExchange();

  /// Binds the port and starts to listen for datagrams and HTTP requests;
  /// throws if the port is in use.
  void start();

  void setSeeds(std::vector<std::string> Addresses) {
    Opts.SeedAddresses = std::move(Addresses);
  }

  /// Sends the hellos that are due and drops expired queries; called every few
  /// milliseconds.
  void sweep(TimePoint Now);

  /// Sends a hello to some VMs, because the configuration or this VM's entry
  /// has changed. Those that apply the configuration do the same.
  void announce();
  /// Tells all usable VMs that this VM is leaving.
  void broadcastLeaving();

  /// Applies a list of VMs from the store or a peer and sends a hello to some
  /// of them.
  void contactListed(const std::vector<VmEntry> &Entries);

  /// Queries peers about the primary of \p Group. If \p Instance is given, it
  /// is the primary in doubt, and all live voters are asked for their evidence;
  /// those of other regions through EvidenceReporters, if there are many.
  /// If it is empty, a few peers are asked for a newer leadership proof; if the
  /// primary is in another region and reached through relays, one VM of this
  /// region asks them for all VMs of the region. Does nothing within
  /// MinQueryInterval after the same query.
  void queryPrimary(const std::string &Group, const std::string &Instance,
                    TimePoint Now);

  /// Tells all live peers that this VM replaces the primary of \p Group.
  /// \p Token is the fencing token that it uses, or 0 while it has none.
  void broadcastPromotion(const std::string &Group, std::uint64_t Token,
                          TimePoint Now);
  /// Sets the hook that is called for each such notice of a peer.
  void onPromotion(std::function<void(const PromotionNotice &)> Hook) {
    NoticeHook = std::move(Hook);
  }

  /// Sends \p Message to those of the other VMs named in \p Vms whose address
  /// is known.
  void send(const std::set<std::string> &Vms, const PeerMessage &Message);
  /// Sets the hook that is called for each message about leases and proposals.
  /// \p Reply sends a message back to its sender.
  using ReplyFunction = std::function<void(const PeerMessage &)>;
  void onLeaseMessage(
      std::function<void(const PeerMessage &, const ReplyFunction &Reply)>
          Hook) {
    LeaseHook = std::move(Hook);
  }

  /// Sends \p Message to the VM \p Vm, if its address is known.
  void send(const std::string &Vm, const QuotaMessage &Message);
  /// Sets the hook that is called for each message about rate limits.
  void onQuotaMessage(
      std::function<void(const std::string &From, const QuotaMessage &)> Hook) {
    QuotaHook = std::move(Hook);
  }

  /// Sets the hook that responds to HTTP requests other than for the state.
  void onRequest(std::function<HttpResponse(const HttpRequest &)> Hook) {
    RequestHook = std::move(Hook);
  }

  /// Sets whether this VM could read the store when it last tried.
  void setStoreReachable(bool Reachable);
  /// Returns whether this VM may read the store; see StoreReaders.
  bool mayReadStore(TimePoint Now) const { return Readers.mayRead(Now); }

  VmEntry self() const;
  const std::string &region() const { return Opts.Region; }
  /// See FleetGossip::livePeers().
  const std::vector<VmEntry> &livePeers(TimePoint Now) const {
    return Fleet.livePeers(Now);
  }
  /// Returns the time since the last contact after which a VM no longer counts
  /// as live.
  Duration peerTimeout(TimePoint Now) const {
    return Fleet.currentTimeout(Now);
  }
  /// Returns whether this VM comes first among the live VMs of its failure
  /// domain, so that it does what one of them is enough for.
  bool isFirstOfDomain(TimePoint Now) const;
  /// Returns a number that increases whenever livePeers() has changed.
  std::uint64_t livePeersVersion() const { return Fleet.liveVersion(); }
  const MemberTable &members() const { return Fleet.members(); }
  /// Returns whether the live peers and the voters count as the whole fleet.
  /// Without a list of VMs, the live peers of a VM with seeds do not, if there
  /// are none.
  bool knowsFleet(TimePoint Now) const;
  /// Returns the VMs whose majority decides about leases and promotions.
  std::set<std::string> voters(TimePoint Now) const {
    return Voters.voters(Now);
  }
  /// Like voters(), with other times.
  std::set<std::string> voters(TimePoint Now,
                               const VoterList::Lifetimes &Times) const {
    return Voters.voters(Now, Times);
  }
  /// Returns the VMs that announced at least \p Age ago that they leave.
  std::set<std::string> departed(TimePoint Now, Duration Age) const {
    return Voters.departed(Now, Age);
  }
  /// Returns whether this VM and its live peers are more than half of voters(),
  /// of which those that had only just started when they were listed count only
  /// if they were heard of.
  bool reachesMajority(TimePoint Now) const {
    VoterList::Lifetimes Times{.CountsProvisional = false};
    return 2 * (livePeers(Now).size() + 1) > voters(Now, Times).size();
  }
  /// Returns whether any VM has reported contact with \p Vm.
  bool hasHeardOf(const std::string &Vm) const { return Fleet.hasContact(Vm); }

private:
  struct PendingQuery {
    std::string Group;
    std::string Instance;
    TimePoint SentAt;
  };

  /// A query whose report waits for a newer leadership proof.
  struct PendingReport {
    boost::asio::ip::udp::endpoint To;
    PrimaryQuery Query;
    TimePoint Since;
  };

  using QueryKey = std::pair<std::string, std::string>;
  /// When something was last done for a group and instance.
  using QueryTimes = std::map<QueryKey, TimePoint>;

  /// The live voters of a group, without this VM.
  struct VoterPeers {
    std::vector<VmEntry> Near;
    /// Those of other regions, by region.
    std::map<std::string, std::vector<VmEntry>> Far;
  };

  /// Waits for the next datagram, handles it and continues.
  void receiveNext();
  void handleDatagram(const std::string &Bytes, TimePoint Now);
  void handleHello(const PeerHello &Hello, TimePoint Now);
  void handleQuery(const PrimaryQuery &Query, TimePoint Now);
  void handleReport(const PrimaryReport &Report, TimePoint Now);
  PrimaryReport makeReport(const PrimaryQuery &Query, TimePoint Now) const;
  void sendReport(const PendingReport &Waiting, TimePoint Now);
  /// Sends the reports about \p Group that waited for a newer proof.
  void sendWaitingReports(const std::string &Group, TimePoint Now);
  void dropExpiredQueries(TimePoint Now);
  void sendQuery(const std::string &Group, const std::string &Instance,
                 const std::vector<VmEntry> &To, TimePoint Now);
  /// Returns a query of a new number, whose reports are accepted.
  PrimaryQuery makeQuery(const std::string &Group, const std::string &Instance,
                         TimePoint Now);
  /// Returns whether MinQueryInterval has passed since the time in \p Times,
  /// and sets it to \p Now in that case.
  bool isQueryDue(QueryTimes &Times, const QueryKey &On, TimePoint Now) const;
  /// Returns the peers that a query for a leadership proof goes to.
  std::vector<VmEntry> chooseQueried(const std::string &Group, TimePoint Now);
  /// Returns the VMs \p Names whose addresses are known, or all live peers if
  /// there are no names.
  std::vector<VmEntry> findPeers(const std::set<std::string> &Names,
                                 TimePoint Now) const;

  // Evidence on primaries in doubt; see EvidenceReporters and SharedEvidence.

  VoterPeers votersOf(const std::string &Group, TimePoint Now) const;
  /// Asks all voters about \p Instance, which is in doubt.
  void queryVoters(const std::string &Group, const std::string &Instance,
                   TimePoint Now);
  /// Asks the voters of this region for a VM of another one.
  void queryOwnRegion(const std::string &Group, const std::string &Instance,
                      TimePoint Now);
  /// Asks the reporters of other regions for the VMs of this one.
  void queryOtherRegions(const std::string &Group, const std::string &Instance,
                         TimePoint Now);
  /// Asks \p Voters, of another region, without reporters, as far as
  /// DirectQueryBudget allows for a region of \p NearCount VMs.
  void queryDirectly(const std::string &Group, const std::string &Instance,
                     const std::vector<VmEntry> &Voters, std::size_t NearCount,
                     TimePoint Now);
  /// Returns the place of this VM among the reporters of its region.
  std::size_t ownPlace(const std::string &Group, const VoterPeers &Voters,
                       TimePoint Now);
  /// Handles the scope of \p Query.
  void handleScope(const PrimaryQuery &Query, TimePoint Now);
  /// Records the sender's evidence in \p Report, and what it passes on.
  void recordEvidence(const PrimaryReport &Report, const PendingQuery &Query,
                      TimePoint Now);
  /// Records \p Item, which was true at \p At. \p Voters are the voters of the
  /// group; empty if all VMs are.
  void recordPassedOn(const ReportedEvidence &Item, const PendingQuery &Query,
                      const std::set<std::string> &Voters, TimePoint At);
  void sendDueLists(TimePoint Now);
  /// Sends the lists that are due a moment later, with all that arrives until
  /// then.
  void scheduleLists();
  /// Returns whether all \p Vms are in other regions.
  bool isRemote(const std::vector<VmEntry> &Vms) const;
  /// Returns the live peers that relay to the primary of \p Group; none if VMs
  /// connect directly.
  std::vector<VmEntry> relaysToPrimary(const std::string &Group) const;
  /// Returns whether a report on \p Group has to wait for a newer leadership
  /// proof from another region.
  bool needsRemoteProof(const GroupDispatcher &Group, TimePoint Now) const;
  void handleNotice(const PromotionNotice &Notice);
  void handleQuota(const PeerQuotaMessage &Message);
  void sendTo(const std::string &Address, const PeerMessage &Message);
  /// Returns a hello that says nothing of other VMs.
  PeerHello ownHello() const;
  /// Returns a hello with what this VM tells of other VMs.
  PeerHello makeHello(TimePoint Now);
  void sendHello(const VmEntry &To, TimePoint Now);
  void sendHelloToSeeds(TimePoint Now);
  /// Returns whether this VM reads the store. If not, it applies the targets of
  /// its peers, too.
  bool readsStore(TimePoint Now) const;
  /// Returns the state that this VM has.
  StateFetches::OwnState ownState(TimePoint Now) const;
  /// Returns whether the sender of \p Hello lacks a state that this VM has. It
  /// is told at once, since it may not hear of that for seconds otherwise.
  bool lacksState(const PeerHello &Hello) const;
  /// Records that \p Hello announces a state which this VM lacks.
  void recordNewerState(const PeerHello &Hello, TimePoint Now);
  /// Starts the fetches of announced states that are due.
  void fetchIfDue(TimePoint Now);
  /// Takes a higher incarnation if \p Other, an entry of this VM that a peer
  /// has, supersedes this VM's own.
  void adoptIncarnation(const VmEntry &Other);
  boost::asio::awaitable<void> fetchAndApplyState(StateFetches::Attempt From);
  /// Responds to an HTTP request of a peer or an operator.
  HttpResponse respond(const HttpRequest &Request);
  HttpResponse stateResponse(const HttpRequest &Request);
  /// Tells a peer since when targets leave, as far as this VM knows.
  HttpResponse departuresResponse() const;
  /// Asks a live peer since when targets leave, if this VM does not know it.
  void fetchDeparturesIfDue(TimePoint Now);
  boost::asio::awaitable<void> fetchDepartures(VmEntry From);
  /// Starts to fetch the entries of all VMs that \p From knows, unless a fetch
  /// is in progress.
  void fetchMembers(const VmEntry &From);
  boost::asio::awaitable<void> fetchAndRecordMembers(VmEntry From);
  HttpResponse membersResponse() const;
  /// Sends hellos to listed VMs of which nothing was heard yet, if due.
  void sendProbes(TimePoint Now);
  /// Passes the live peers on to the service if they have changed, once they
  /// are the whole fleet.
  void updateServicePeers(TimePoint Now);
  /// If this VM knows a later incarnation of \p From than the one in \p From,
  /// sends it a hello with that entry, so that it takes a higher one.
  void reportLaterIncarnation(const VmEntry &From);

  boost::asio::io_context &Loop;
  Options Opts;
  HttpClient &Http;
  ProxyService &Service;
  FleetGossip Fleet;
  StoreReaders Readers;
  /// False after destruction, for callbacks that may run later.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  boost::asio::ip::udp::socket Socket;
  /// Sender of the datagram in Buffer.
  boost::asio::ip::udp::endpoint Sender;
  std::array<char, 8192> Buffer;
  std::unique_ptr<HttpServer> StateServer;
  std::uint64_t Incarnation;
  bool Leaving = false;
  bool StoreReachable = true;
  bool FetchingMembers = false;
  TimePoint StartedAt;
  /// Whether a list of VMs has been read from the store or a peer.
  bool HasList = false;
  /// Version of the live peers that the service has; empty if it has none.
  std::optional<std::uint64_t> ServiceLiveVersion;
  /// The last response to a fetch of the state, since many peers fetch the same
  /// after a change, and the versions that it leads from and to.
  struct StateVersion {
    std::uint64_t Config = 0;
    std::uint64_t TargetsRevision = 0;

    bool operator==(const StateVersion &) const = default;
  };
  std::string EncodedState;
  StateVersion EncodedFrom;
  StateVersion EncodedTo;
  TimePoint EncodedAt;
  /// When a peer may be asked again since when targets leave, and the time
  /// between the next two such calls.
  TimePoint NextDepartures;
  Duration DeparturesInterval = Duration::zero();
  /// Whether the next fetch asks for all targets, because the changes that a
  /// peer sent did not lead to its list.
  bool NeedsWholeState = false;
  StateFetches Fetches;
  /// Queries whose reports are still accepted, by number.
  std::map<std::uint64_t, PendingQuery> Queries;
  /// When each query was last sent, by group and instance.
  QueryTimes LastQueriedAt;
  /// When this VM last asked its region, and other ones, for other VMs.
  QueryTimes OwnRegionQueriedAt;
  QueryTimes OtherRegionsQueriedAt;
  std::uint64_t LastQueryNumber = 0;
  std::map<std::string, std::vector<PendingReport>> WaitingReports;
  ProofReporters Reporters;
  EvidenceReporters DoubtReporters;
  SharedEvidence Shared;
  boost::asio::steady_timer ListTimer;
  bool AreListsScheduled = false;
  ByteBudget DirectBudget;
  std::function<void(const PromotionNotice &)> NoticeHook;
  std::function<void(const PeerMessage &, const ReplyFunction &)> LeaseHook;
  std::function<void(const std::string &From, const QuotaMessage &)> QuotaHook;
  VoterList Voters;
  /// Addresses of the VMs that the store listed, by name.
  std::map<std::string, std::string> ListedAddresses;
  std::function<HttpResponse(const HttpRequest &)> RequestHook;
  TimePoint NextHello;
  TimePoint NextProbes;
};

} // namespace cicadawind

#endif
