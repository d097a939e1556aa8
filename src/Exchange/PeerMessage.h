#ifndef CICADAWIND_EXCHANGE_PEERMESSAGE_H
#define CICADAWIND_EXCHANGE_PEERMESSAGE_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"
#include "Core/Result.h"
#include "Leases/PromotionVote.h"
#include "Membership/ContactAge.h"
#include "Membership/FleetMention.h"
#include "Membership/VmEntry.h"
#include "Quotas/QuotaMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cicadawind {

/// Announces the sender. Sent to some of the peers every
/// PeerExchange::Options::HelloInterval, and to all when the configuration or
/// Self changes.
struct PeerHello {
  VmEntry Self;
  /// Version of the sender's active configuration.
  std::uint64_t ConfigVersion = 0;
  /// Revision of the store that the sender's list of targets reflects.
  std::uint64_t TargetsRevision = 0;
  /// Hash of that list, which is the same on all VMs with the same targets.
  std::uint64_t TargetsHash = 0;
  /// The latest reads of the store, by the VMs that read it; see StoreReaders.
  std::vector<ContactAge> StoreReads;
  /// Other VMs whose entries have changed.
  std::vector<FleetMention> Others;
  /// Contact ages of some of the other VMs that the sender knows.
  std::vector<ContactAge> Ages;
  /// Whether the sender asks for a hello in return, because it has not heard of
  /// the receiver yet.
  bool WantsReply = false;
};

/// Whose evidence a PrimaryQuery asks for besides the receiver's own. Releases
/// that do not know it report their own.
enum class EvidenceScope {
  Own,
  /// That of the voters in the receiver's region.
  Region,
  /// That of the voters in all other regions.
  OtherRegions,
};

/// Asks the receiver for its evidence on the primary of a group.
struct PrimaryQuery {
  std::string From;
  /// Identifies the query; the report repeats it.
  std::uint64_t Number = 0;
  std::string Group;
  /// The primary that the sender cannot reach; empty if the sender only needs a
  /// newer leadership proof.
  std::string Instance;
  EvidenceScope Scope = EvidenceScope::Own;
};

/// Evidence of a VM on a primary, as another VM passes it on.
struct ReportedEvidence {
  std::string Vm;
  /// Time since that VM reported this, rounded up.
  Millis Age = Millis::zero();
  /// See PrimaryReport.
  std::optional<Millis> ContactAge;
  bool ReachesDirectly = false;
};

/// The sender's evidence on a primary, in reply to a PrimaryQuery.
struct PrimaryReport {
  std::string From;
  std::uint64_t Number = 0;
  std::string Group;
  /// Time since the sender's last contact with the queried instance; empty if
  /// it had none or does not regard that instance as the primary.
  std::optional<Millis> ContactAge;
  /// Whether the sender may be able to connect to that instance without a
  /// relay: false if a direct connection could not be opened, or a request over
  /// a direct path timed out, and no direct connection has been opened since.
  /// Also false if the sender does not know the instance.
  bool ReachesDirectly = false;
  /// The instance of the newest leadership proof that the sender has; empty if
  /// it has none, and then the next two members mean nothing.
  std::string Primary;
  /// End of the primary's log in that proof.
  LogPosition LogEnd;
  /// Time since that proof was requested, rounded up.
  Millis ProofAge = Millis::zero();
  /// Whether the sender passes on the evidence in the scope of the query, and
  /// what of it the receiver has not got yet.
  bool PassesOn = false;
  std::vector<ReportedEvidence> PassedOn;
  /// Time since the query arrived, not rounded up.
  Millis Held = Millis::zero();
};

/// Announces that the sender replaces the primary of a group, so that other VMs
/// do not start a promotion at the same time.
struct PromotionNotice {
  std::string From;
  std::string Group;
  /// The fencing token that the sender uses; 0 while it has none.
  std::uint64_t Token = 0;
};

/// Asks the receiver for its votes on the sender's leases on the primaries of
/// groups, and for its own evidence for such leases.
struct LeaseQuery {
  struct Item {
    std::string Group;
    /// Term that the primary leads.
    Term Leading = 0;
  };

  std::string From;
  /// Identifies the query; the answer repeats it.
  std::uint64_t Number = 0;
  std::vector<Item> Items;
};

/// The sender's votes, in reply to a LeaseQuery.
struct LeaseAnswer {
  struct Item {
    LeaseVote Vote = LeaseVote::Unknown;
    /// Time since the sender requested its own evidence for that lease, rounded
    /// up; empty if it has none.
    std::optional<Millis> EvidenceAge;
    /// Whether that evidence comes from all replicas.
    bool IsOfAllReplicas = false;
  };

  std::string From;
  std::uint64_t Number = 0;
  /// In the order of the query's items.
  std::vector<Item> Items;
};

/// Asks the receiver to promise what a proposal needs.
struct ProposalRequest {
  std::uint64_t Number = 0;
  std::string Group;
  PromotionProposal Proposal;
};

/// The sender's vote, in reply to a ProposalRequest.
struct ProposalAnswer {
  std::string From;
  std::uint64_t Number = 0;
  PromotionVote Vote;
};

/// Says how the sender's proposal ended.
struct ProposalEnd {
  enum class Outcome {
    /// No order was sent.
    Cancelled,
    /// No order was sent, and no earlier order may still be carried out.
    CancelledAll,
    /// Every order was answered.
    Settled,
    /// The successor leads.
    Completed,
  };

  std::string From;
  std::string Group;
  std::uint64_t Token = 0;
  Outcome End = Outcome::Cancelled;
  /// Term that the successor leads; only set for Completed.
  Term Leading = 0;
  /// Whether every order was answered; only set for Completed.
  bool IsSettled = false;
};

/// A message about the rate limit of client accounts.
struct PeerQuotaMessage {
  std::string From;
  QuotaMessage Message;
};

using PeerMessage =
    std::variant<PeerHello, PrimaryQuery, PrimaryReport, PromotionNotice,
                 LeaseQuery, LeaseAnswer, ProposalRequest, ProposalAnswer,
                 ProposalEnd, PeerQuotaMessage>;

/// Encodes \p Message in CBOR, small enough for a datagram.
std::string encodePeerMessage(const PeerMessage &Message);

/// Inverse of encodePeerMessage; fails with BadRequest if \p Bytes are
/// malformed.
Result<PeerMessage> decodePeerMessage(const std::string &Bytes);

} // namespace cicadawind

#endif
