#ifndef CICADAWIND_QUOTAS_QUOTAMESSAGE_H
#define CICADAWIND_QUOTAS_QUOTAMESSAGE_H

#include "Core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cicadawind {

/// Bounds of the messages below, so that each fits a datagram.
constexpr std::size_t MaxPermitItems = 24;
constexpr std::size_t MaxPermitNameBytes = 900;
constexpr unsigned MaxPermitsOfItem = 10000;

/// Asks the receiver for its vote for the sender as the issuer of a partition.
struct IssuerClaim {
  std::string FailureDomain;
  unsigned Partition = 0;
  /// Identifies the sender's process.
  std::uint64_t Incarnation = 0;
  /// Increases with each claim of that process.
  std::uint64_t Number = 0;
  /// Number of VMs of the failure domain that the sender knows.
  std::uint64_t DomainSize = 0;
};

/// The sender's vote, in reply to an IssuerClaim.
struct IssuerVote {
  unsigned Partition = 0;
  /// Those of the claim.
  std::uint64_t Incarnation = 0;
  std::uint64_t Number = 0;
  bool Granted = false;
  /// Time for which the sender has issued no permit of the partition, not
  /// rounded up.
  Millis Idle = Millis::zero();
};

/// Says that the sender makes no use of votes for its claims up to Number.
struct IssuerRelease {
  std::string FailureDomain;
  unsigned Partition = 0;
  std::uint64_t Incarnation = 0;
  std::uint64_t Number = 0;
};

/// Asks the receiver, as the issuer of a partition, for permits.
struct PermitRequest {
  struct Item {
    std::string Account;
    unsigned Count = 0;
  };

  unsigned Partition = 0;
  /// Identifies the request; the reply repeats it.
  std::uint64_t Number = 0;
  std::vector<Item> Items;
};

/// The sender's permits, in reply to a PermitRequest.
struct PermitReply {
  struct Item {
    unsigned Granted = 0;
    /// If fewer permits were granted than asked for: time after which there
    /// may be one.
    Millis RetryAfter = Millis::zero();
  };

  std::uint64_t Number = 0;
  /// Whether the sender is the issuer of the partition. If not, Issuer is the
  /// VM that it takes for the issuer; empty if it knows none.
  bool IsIssuer = false;
  std::string Issuer;
  /// In the order of the request's items; empty unless IsIssuer.
  std::vector<Item> Items;
};

using QuotaMessage = std::variant<IssuerClaim, IssuerVote, IssuerRelease,
                                  PermitRequest, PermitReply>;

} // namespace cicadawind

#endif
