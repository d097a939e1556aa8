#ifndef CICADAWIND_TARGETS_STATEMENTCALL_H
#define CICADAWIND_TARGETS_STATEMENTCALL_H

#include "Core/LogPosition.h"

#include <string>

namespace cicadawind {

/// Whether a statement may change data.
enum class StatementKind { Read, Write };

/// \class StatementCall
/// \brief A statement to be sent to a target.
struct StatementCall {
  /// The target repeats the id in its reply. A reply with another id is not
  /// accepted.
  std::string Id;
  std::string Text;
  StatementKind Kind = StatementKind::Read;
  /// Term that is current as far as the sender knows. A target that is in
  /// another term refuses the statement.
  Term ExpectedTerm = 0;
  /// The target stores the key with the write. If the write is repeated with
  /// the same key, the target returns the first reply. Empty without a key.
  std::string IdempotencyKey;
};

/// \class StatementReply
/// \brief A target's complete reply to a statement.
struct StatementReply {
  /// JSON text of the rows.
  std::string Rows;
  /// Log position that the statement saw or wrote.
  LogPosition Position;
  /// Term in which the statement ran.
  Term ExecutedTerm = 0;
  /// Whether the statement changed state that belongs to the connection.
  bool Tainted = false;
};

} // namespace cicadawind

#endif
