#include "Statements/Statement.h"

namespace cicadawind {

std::string_view toString(StatementKind Kind) {
  switch (Kind) {
  case StatementKind::Begin:
  case StatementKind::BeginReadOnly:
    return "begin";
  case StatementKind::Commit:
    return "commit";
  case StatementKind::Rollback:
    return "rollback";
  case StatementKind::Read:
    return "read";
  case StatementKind::Write:
    return "write";
  case StatementKind::SetValue:
    return "set";
  case StatementKind::Prepare:
    return "prepare";
  case StatementKind::ExecutePrepared:
    return "execute";
  case StatementKind::ClosePrepared:
    return "close";
  }
  return "unknown";
}

} // namespace cicadawind
