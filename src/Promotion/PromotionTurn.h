#ifndef CICADAWIND_PROMOTION_PROMOTIONTURN_H
#define CICADAWIND_PROMOTION_PROMOTIONTURN_H

#include "Succession/PromotionRecord.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cicadawind {

/// \class PromotionTurn
/// \brief What the next claim of a fencing token for a group builds on.
struct PromotionTurn {
  PromotionRecord Latest;
  /// The promotion that another VM may have ordered without recording it as
  /// Latest; its successor is empty if there is none.
  PromotionRecord Prepared;
  /// Number of claims so far, and version of the object that records them.
  std::uint64_t Claims = 0;
  std::uint64_t Version = 0;
  /// Token that this VM has claimed in advance; it is the latest claim.
  std::optional<std::uint64_t> Reserved;
  /// The promotion that may be ordered under Reserved without the store, as the
  /// store has it.
  PromotionRecord Named;
  /// The primary that Named is to replace.
  std::string Replaces;
};

/// \class PromotionClaim
/// \brief A claimed token, and the decision that was recorded with it.
struct PromotionClaim {
  std::uint64_t Token = 0;
  PromotionRecord Decision;
};

} // namespace cicadawind

#endif
