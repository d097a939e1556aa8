#ifndef CICADAWIND_STATEMENTS_STATEMENT_H
#define CICADAWIND_STATEMENTS_STATEMENT_H

#include <string>
#include <string_view>

namespace cicadawind {

/// Kind of a statement, as far as routing distinguishes statements.
enum class StatementKind {
  Begin,
  BeginReadOnly,
  Commit,
  Rollback,
  Read,
  Write,
  SetValue,
  Prepare,
  ExecutePrepared,
  ClosePrepared,
};

/// Returns the name of \p Kind in logs and metrics, such as "read".
std::string_view toString(StatementKind Kind);

/// \class Statement
/// \brief One statement of a caller, parsed only as far as routing requires.
struct Statement {
  StatementKind Kind = StatementKind::Read;
  /// Id that the caller gave to this request.
  std::string Id;
  /// Text exactly as the caller sent it.
  std::string Text;
  /// Name of the session value or prepared statement; empty for kinds that have
  /// none.
  std::string Name;
  /// Text after the name: a value, a template, or arguments.
  std::string Rest;
  /// Whether the prepared template writes; only set for Prepare.
  bool PreparesWrite = false;
};

} // namespace cicadawind

#endif
