#ifndef CICADAWIND_STATEMENTS_CALLERMESSAGE_H
#define CICADAWIND_STATEMENTS_CALLERMESSAGE_H

#include "Statements/Statement.h"

#include <string>
#include <variant>

namespace cicadawind {

/// Request of a caller to open its session on \c Database.
struct OpenSession {
  std::string Database;
  /// API key of the caller; empty if it gave none.
  std::string Key;
};

/// Request of a caller to end its session.
struct EndSession {};

/// A message of a caller that cannot be decoded. \c Id is the id of the request
/// if that much could be decoded, and empty otherwise.
struct MalformedMessage {
  std::string Id;
  std::string Reason;
};

/// Any message from a caller.
using CallerMessage =
    std::variant<OpenSession, Statement, EndSession, MalformedMessage>;

} // namespace cicadawind

#endif
