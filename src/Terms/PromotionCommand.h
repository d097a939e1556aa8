#ifndef CICADAWIND_TERMS_PROMOTIONCOMMAND_H
#define CICADAWIND_TERMS_PROMOTIONCOMMAND_H

#include "Terms/TermRecord.h"

#include <cstdint>
#include <string>
#include <variant>

namespace cicadawind {

/// Command to write \p Record if the stored version still is
/// \p ExpectedVersion.
struct WriteTermRecord {
  TermRecord Record;
  std::uint64_t ExpectedVersion = 0;
};

/// Command to read the stored record.
struct ReadTermRecord {};

/// Command to fence an instance: the instance promises \p NewTerm and reports
/// the end of its log.
struct FenceInstance {
  std::string Instance;
  Term NewTerm = 0;
};

/// Command to make an instance the primary of \p NewTerm.
struct PromoteInstance {
  std::string Instance;
  Term NewTerm = 0;
};

/// Command that a promotion returns for its driver to execute.
using PromotionCommand = std::variant<WriteTermRecord, ReadTermRecord,
                                      FenceInstance, PromoteInstance>;

/// Outcome of a conditional write. Unknown if the store did not reply.
enum class StoreWriteOutcome { Accepted, Conflict, Unknown };

} // namespace cicadawind

#endif
