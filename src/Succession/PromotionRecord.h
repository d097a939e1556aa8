#ifndef CICADAWIND_SUCCESSION_PROMOTIONRECORD_H
#define CICADAWIND_SUCCESSION_PROMOTIONRECORD_H

#include "Core/LogPosition.h"

#include <cstdint>
#include <string>

namespace cicadawind {

/// \class PromotionRecord
/// \brief The latest promotion that was decided for a group, as the platform's
/// store has it.
///
/// Each claim of a fencing token reads the record and replaces it by a
/// conditional update, so the record that came with a token says what was
/// decided under all lower tokens.
struct PromotionRecord {
  /// False if the store has a record that does not say what was decided last.
  bool IsKnown = true;
  /// Number of the claim with which it was decided; 0 if there is none.
  std::uint64_t Claim = 0;
  /// Instance that was to be promoted; empty if there is no decision.
  std::string Successor;
  /// End of the successor's log when it was chosen.
  LogPosition Received;
  /// Term that the promotion opens.
  Term Opens = 0;
  /// Revision of a list of targets that has the successor.
  std::uint64_t ListRevision = 0;

  bool operator==(const PromotionRecord &) const = default;
};

} // namespace cicadawind

#endif
