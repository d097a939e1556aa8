#ifndef CICADAWIND_STATEMENTS_CALLERMESSAGE_H
#define CICADAWIND_STATEMENTS_CALLERMESSAGE_H

#include "Statements/Statement.h"

#include <string>
#include <variant>

namespace cicadawind {

/// A caller opens its session on \p Database.
struct OpenSession {
  std::string Database;
};

/// A caller ends its session.
struct EndSession {};

/// A message that cannot be understood. \p Id is the request's, where it could
/// be read.
struct MalformedMessage {
  std::string Id;
  std::string Reason;
};

/// Whatever a caller may send.
using CallerMessage =
    std::variant<OpenSession, Statement, EndSession, MalformedMessage>;

} // namespace cicadawind

#endif
