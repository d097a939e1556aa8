#ifndef CICADAWIND_SUCCESSION_PROMOTIONDECISION_H
#define CICADAWIND_SUCCESSION_PROMOTIONDECISION_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"

#include <cstdint>
#include <string>

namespace cicadawind {

/// \class PromotionDecision
/// \brief The decision to promote one target, with the evidence and the token
/// on which it was made.
///
/// Nothing of it is ever renewed: all its orders name the same target and carry
/// the same token, so that the platform refuses them once it has carried out a
/// later decision. Another target or token needs another decision.
struct PromotionDecision {
  std::string Group;
  /// The primary to replace; empty if none was known.
  std::string OldPrimary;
  /// Whether OldPrimary is replaced although it is reached.
  bool IsPlanned = false;
  std::string Successor;
  /// End of the successor's log when it was chosen.
  LogPosition Received;
  /// Term that the promotion opens.
  Term Opens = 0;
  std::uint64_t Token = 0;
  /// Time after which it is not ordered any more.
  TimePoint ValidUntil;
};

} // namespace cicadawind

#endif
