#ifndef CICADAWIND_LEASES_PROMOTIONVOTE_H
#define CICADAWIND_LEASES_PROMOTIONVOTE_H

#include "Core/LogPosition.h"

#include <cstdint>
#include <string>

namespace cicadawind {

/// A VM's vote on another VM's lease.
enum class LeaseVote {
  /// The VM has promised no newer term.
  Supports,
  /// The VM knows a newer term or has granted a proposal for one.
  Objects,
  /// The VM has started too recently to know what it promised.
  Unknown,
};

/// Why a VM proposes a promotion.
enum class ProposalKind {
  /// The primary is lost. VMs that still reach it refuse the proposal, the
  /// others give up their leases on it.
  Lost,
  /// The primary is leaving. It is demoted before the order is sent, so the VMs
  /// keep their leases.
  Planned,
  /// An earlier promotion was not finished.
  Blocked,
};

/// \class PromotionProposal
/// \brief What a VM that wants to replace the primary of a group asks the other
/// VMs to promise.
struct PromotionProposal {
  /// The VM that proposes.
  std::string Holder;
  /// Its fencing token; higher than that of every earlier proposal.
  std::uint64_t Token = 0;
  /// Term that the promotion opens.
  Term NewTerm = 0;
  /// Instance to promote; empty until it is chosen.
  std::string Successor;
  ProposalKind Kind = ProposalKind::Lost;
};

/// \class PromotionVote
/// \brief A VM's answer to a PromotionProposal.
struct PromotionVote {
  /// Whether the VM promises what the proposal asks for.
  bool Granted = false;
  /// Whether the VM gave up its lease on every primary of a term below the
  /// proposed one.
  bool GaveUp = false;
  /// Whether the vote counts towards the majority. It does not shortly after
  /// the VM has started, because the VM may have forgotten an earlier promise.
  bool Counts = false;
  /// Whether the VM has run for so long that every order which it may have
  /// forgotten at its start is over.
  bool RemembersOrders = false;
  /// Whether the VM refused the proposal because it reaches the primary.
  bool ReachesPrimary = false;
  /// Highest token that the VM has seen for the group.
  std::uint64_t HighestToken = 0;
  /// Highest term in which the VM knows an instance to lead.
  Term KnownTerm = 0;
  /// Highest term that an earlier proposal with a successor was to open; it may
  /// have been opened.
  Term NamedTerm = 0;
  /// Instance that an earlier proposal named and that may still be promoted;
  /// empty if there is none.
  std::string PendingSuccessor;
  /// Token of that proposal.
  std::uint64_t PendingToken = 0;
};

} // namespace cicadawind

#endif
