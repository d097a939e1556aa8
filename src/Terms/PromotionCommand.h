#ifndef CICADAWIND_TERMS_PROMOTIONCOMMAND_H
#define CICADAWIND_TERMS_PROMOTIONCOMMAND_H

#include "Terms/TermRecord.h"

#include <cstdint>
#include <string>
#include <variant>

namespace cicadawind {

/// Write \p Record if the stored version still is \p ExpectedVersion.
struct WriteTermRecord {
  TermRecord Record;
  std::uint64_t ExpectedVersion = 0;
};

/// Read the stored record.
struct ReadTermRecord {};

/// Make an instance promise \p NewTerm and report its log.
struct FenceInstance {
  std::string Instance;
  Term NewTerm = 0;
};

/// Open an instance as primary of \p NewTerm.
struct PromoteInstance {
  std::string Instance;
  Term NewTerm = 0;
};

/// One step that a promotion asks its driver to take.
using PromotionCommand = std::variant<WriteTermRecord, ReadTermRecord,
                                      FenceInstance, PromoteInstance>;

/// How a conditional write ended.
enum class StoreWriteOutcome { Accepted, Conflict, Unknown };

} // namespace cicadawind

#endif
