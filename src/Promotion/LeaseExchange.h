#ifndef CICADAWIND_PROMOTION_LEASEEXCHANGE_H
#define CICADAWIND_PROMOTION_LEASEEXCHANGE_H

#include "Core/Clock.h"
#include "Leases/PromotionVote.h"
#include "Proxy/PeerMessage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

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
  /// lease.
  void requestVotes(const std::string &Group, Term Leading, TimePoint Now);
  /// Asks \p Vm for its evidence for a lease on the primary of \p Group. The
  /// evidence goes to the group's lease.
  void requestEvidence(const std::string &Vm, const std::string &Group,
                       Term Leading, TimePoint Now);
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
  /// Drops queries and proposals whose answers are ignored; called every few
  /// milliseconds.
  void sweep(TimePoint Now);

private:
  struct PendingVotes {
    std::string Group;
    Term Leading = 0;
    TimePoint RequestedAt;
    std::size_t Voters = 0;
    std::set<std::string> Answered;
    std::size_t Supports = 0;
    bool Objected = false;
  };
  struct PendingEvidence {
    std::string Group;
    Term Leading = 0;
    TimePoint RequestedAt;
  };
  struct PendingProposal {
    VoteHook Hook;
    TimePoint RequestedAt;
  };

  void handle(const PeerMessage &Message,
              const std::function<void(const PeerMessage &)> &Reply);
  void handleLeaseAnswer(const LeaseAnswer &Answer);
  /// Counts the vote and reports the outcome once it is decided.
  void recordLeaseVote(PendingVotes &Votes, const std::string &Vm,
                       LeaseVote Vote);
  /// Returns whether this VM has a valid lease on the primary of \p Group and
  /// has had contact with it within VetoWindow.
  bool reachesPrimary(GroupDispatcher &Group, TimePoint Now) const;
  /// Returns this VM's vote on \p Proposal, and gives up its lease if granted.
  PromotionVote voteOn(const std::string &Group,
                       const PromotionProposal &Proposal, TimePoint Now);
  void applyEnd(const ProposalEnd &Message, TimePoint Now);
  LeaseVote leaseVoteFor(const std::string &Group, Term Leading, TimePoint Now);
  LeaseAnswer answerTo(const LeaseQuery &Query, TimePoint Now);
  PrimaryLease *leaseOf(const std::string &Group);

  Options Opts;
  PeerExchange &Peers;
  ProxyService &Service;
  std::uint64_t LastNumber = 0;
  std::map<std::uint64_t, PendingVotes> LeaseQueries;
  std::map<std::uint64_t, PendingEvidence> EvidenceQueries;
  std::map<std::uint64_t, PendingProposal> Proposals;
  std::function<void(const std::string &Group, const PromotionProposal &)>
      GrantedHook;
};

} // namespace cicadawind

#endif
