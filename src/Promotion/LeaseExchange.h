#ifndef CICADAWIND_PROMOTION_LEASEEXCHANGE_H
#define CICADAWIND_PROMOTION_LEASEEXCHANGE_H

#include "Core/Clock.h"
#include "Exchange/PeerMessage.h"
#include "Leases/PromotionVote.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cicadawind {

class GroupDispatcher;
class PrimaryLease;
class PeerExchange;
class ProxyService;

/// \class LeaseExchange
/// \brief Exchanges votes on leases and on promotions with the other VMs, for
/// the groups whose platform does not fence promotions.
///
/// Answers the queries and proposals of other VMs from this VM's promises, and
/// passes their votes on. Runs on the loop's thread.
class LeaseExchange {
public:
  struct Options {
    std::string Vm;
    /// Time after which answers to a query or proposal are ignored.
    Duration AnswerTimeout = std::chrono::milliseconds(1000);
    /// A VM refuses to replace a primary with which it has had contact within
    /// this time.
    Duration VetoWindow = std::chrono::milliseconds(350);
  };
  /// Receives the vote of \p Vm on a proposal that was sent at \p RequestedAt.
  using VoteHook = std::function<void(
      const std::string &Vm, const PromotionVote &Vote, TimePoint RequestedAt)>;

  LeaseExchange(Options Opts, PeerExchange &Peers, ProxyService &Service);

  /// Asks all VMs for their votes on this VM's lease on the primary of
  /// \p Group, which leads term \p Leading. The outcome goes to the group's
  /// lease. The next sweep() sends the request, together with those for other
  /// groups.
  void requestVotes(const std::string &Group, Term Leading);
  /// Likewise, asks \p Vm for its evidence for a lease on the primary of
  /// \p Group. The evidence goes to the group's lease.
  void requestEvidence(const std::string &Vm, const std::string &Group,
                       Term Leading);
  /// Sends \p Proposal to the VMs \p To, which may include this one. \p Hook
  /// receives each vote.
  void propose(const std::string &Group, const PromotionProposal &Proposal,
               const std::set<std::string> &To, VoteHook Hook, TimePoint Now);
  /// Tells all VMs, including this one, how this VM's proposal ended. Sets
  /// \p Message's sender.
  void end(ProposalEnd Message, TimePoint Now);
  /// Sets the hook that is called when this VM has granted the proposal of
  /// another VM.
  void onGranted(
      std::function<void(const std::string &Group, const PromotionProposal &)>
          Hook) {
    GrantedHook = std::move(Hook);
  }
  /// Sends the requests that wait, and drops queries and proposals whose
  /// answers are ignored; called every few milliseconds.
  void sweep(TimePoint Now);

private:
  /// A query for votes or, if Voters is 0, for the evidence of one VM.
  struct PendingQuery {
    struct Tally {
      std::size_t Supports = 0;
      bool Objected = false;
    };

    std::vector<LeaseQuery::Item> Items;
    TimePoint RequestedAt;
    std::size_t Voters = 0;
    std::set<std::string> Answered;
    /// By item.
    std::vector<Tally> Tallies;
  };
  struct PendingProposal {
    VoteHook Hook;
    TimePoint RequestedAt;
  };

  void handle(const PeerMessage &Message,
              const std::function<void(const PeerMessage &)> &Reply);
  /// Sends a query with \p Items to \p To. \p Voters is the number of VMs whose
  /// majority decides, or 0 if the query is for evidence only.
  std::uint64_t sendQuery(std::vector<LeaseQuery::Item> Items,
                          const std::set<std::string> &To, std::size_t Voters,
                          TimePoint Now);
  void handleLeaseAnswer(const LeaseAnswer &Answer);
  /// Counts the votes and passes on the outcomes that are decided.
  void recordVotes(PendingQuery &Query, const LeaseAnswer &Answer);
  void recordVote(const PendingQuery &Query, std::size_t Index);
  void recordEvidence(const PendingQuery &Query, const LeaseAnswer &Answer);
  /// Returns whether this VM has a valid lease on the primary of \p Group and
  /// has had contact with it within VetoWindow.
  bool reachesPrimary(GroupDispatcher &Group, TimePoint Now) const;
  /// Returns this VM's vote on \p Proposal, and gives up its lease if granted.
  PromotionVote voteOn(const std::string &Group,
                       const PromotionProposal &Proposal, TimePoint Now);
  void applyEnd(const ProposalEnd &Message, TimePoint Now);
  LeaseAnswer answerTo(const LeaseQuery &Query, TimePoint Now);
  LeaseAnswer::Item answerTo(const LeaseQuery::Item &Asked, TimePoint Now);
  PrimaryLease *leaseOf(const std::string &Group);

  Options Opts;
  PeerExchange &Peers;
  ProxyService &Service;
  std::uint64_t LastNumber = 0;
  /// Requests that wait for the next sweep; those for evidence by VM.
  std::vector<LeaseQuery::Item> VoteRequests;
  std::map<std::string, std::vector<LeaseQuery::Item>> EvidenceRequests;
  std::map<std::uint64_t, PendingQuery> Queries;
  std::map<std::uint64_t, PendingProposal> Proposals;
  std::function<void(const std::string &Group, const PromotionProposal &)>
      GrantedHook;
};

} // namespace cicadawind

#endif
