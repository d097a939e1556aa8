#ifndef CICADAWIND_LEASES_PROMOTIONPROMISE_H
#define CICADAWIND_LEASES_PROMOTIONPROMISE_H

#include "Core/Clock.h"
#include "Leases/PromotionVote.h"

namespace cicadawind {

/// \class PromotionPromise
/// \brief What one VM has promised about promotions of one group on a platform
/// that does not fence them.
///
/// A VM grants proposals in the order of their tokens, to one holder at a time.
/// Any two majorities share a VM, so no order with a lower token is sent after
/// one with a higher token, and two holders do not order at the same time.
/// Performs no input or output and reads no clock. Each call takes constant
/// time. Not thread safe.
class PromotionPromise {
public:
  struct Options {
    /// Time for which a granted proposal excludes those of other VMs. Its
    /// holder may order only within this time.
    Duration Exclusive = std::chrono::milliseconds(2000);
    /// Time for which a named successor is the only one that may be promoted.
    /// Covers an order that the platform carries out late.
    Duration OrderLifetime = std::chrono::milliseconds(15000);
    /// Time after the VM's start during which its votes on proposals do not
    /// count. Not less than Exclusive.
    Duration Quarantine = std::chrono::milliseconds(2000);
  };

  PromotionPromise(Options Opts, TimePoint StartedAt)
      : Opts(Opts), StartedAt(StartedAt) {}

  /// Grants or refuses \p Proposal.
  PromotionVote vote(const PromotionProposal &Proposal, TimePoint Now);
  /// Records that \p Holder ended the proposal \p Token without an order. If a
  /// majority held it and no VM knew of a pending successor (\p EndsEarlier),
  /// this ends all earlier proposals, too. Returns whether leases may be
  /// renewed again.
  bool cancel(const std::string &Holder, std::uint64_t Token, bool EndsEarlier);
  /// Records that every order of the proposal \p Token of \p Holder was
  /// answered, so that none of them is carried out later.
  void settle(const std::string &Holder, std::uint64_t Token);
  /// Records that an instance leads term \p Leading.
  void recordLeader(Term Leading);
  /// Records that the proposal \p Token of \p Holder succeeded and its
  /// successor leads term \p Leading. Returns whether that ends the proposal
  /// that this VM granted last.
  bool complete(const std::string &Holder, std::uint64_t Token, Term Leading);

  /// Returns this VM's vote on a lease on the primary of term \p Leading.
  LeaseVote leaseVote(Term Leading, TimePoint Now) const;
  /// Returns whether another VM than \p Vm holds an unexpired proposal.
  bool isHeldByOther(const std::string &Vm, TimePoint Now) const {
    return Holder != Vm && Now < ExclusiveUntil;
  }
  std::uint64_t highestToken() const { return HighestToken; }

private:
  void recordSuccessor(const PromotionProposal &Proposal, TimePoint Now);
  bool countsForProposals(TimePoint Now) const {
    return Now - StartedAt >= Opts.Quarantine;
  }
  /// An order that this VM has forgotten may be carried out until then.
  bool remembersOrders(TimePoint Now) const {
    return Now - StartedAt >= Opts.OrderLifetime;
  }

  Options Opts;
  TimePoint StartedAt;
  std::string Holder;
  std::uint64_t HighestToken = 0;
  TimePoint ExclusiveUntil;
  /// This VM objects to leases on primaries of a term below BlockedBelow; 0 if
  /// no proposal is open.
  Term BlockedBelow = 0;
  /// Whether a proposal was open when the last one was granted.
  bool WasBlockedBefore = false;
  Term KnownTerm = 0;
  /// The successor that a granted proposal named last, and its token. An order
  /// for it may be carried out until PendingUntil.
  std::string Successor;
  std::uint64_t SuccessorToken = 0;
  /// Highest term that a proposal with a successor was to open.
  Term NamedTerm = 0;
  TimePoint PendingUntil;
  /// Highest token of a proposal whose orders were all answered.
  std::uint64_t SettledToken = 0;
  /// Time until which orders of earlier proposals for the same successor may be
  /// carried out.
  TimePoint EarlierPendingUntil;
};

} // namespace cicadawind

#endif
