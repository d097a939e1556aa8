#ifndef CICADAWIND_GROUPS_GROUPCOMMAND_H
#define CICADAWIND_GROUPS_GROUPCOMMAND_H

#include "Terms/PromotionCommand.h"

#include <string>
#include <variant>

namespace cicadawind {

/// Command to make an instance replicate from the primary of the open term.
struct FollowPrimary {
  std::string Instance;
  Term NewTerm = 0;
  std::string Primary;
  /// Log index beyond which the instance discards entries of earlier terms.
  LogIndex TruncateAfter = 0;
};

/// Command that GroupController returns for its driver to execute.
using GroupCommand =
    std::variant<WriteTermRecord, ReadTermRecord, FenceInstance,
                 PromoteInstance, FollowPrimary>;

} // namespace cicadawind

#endif
