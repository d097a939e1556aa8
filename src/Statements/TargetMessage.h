#ifndef CICADAWIND_STATEMENTS_TARGETMESSAGE_H
#define CICADAWIND_STATEMENTS_TARGETMESSAGE_H

#include "Core/ErrorCode.h"
#include "Core/LogPosition.h"

#include <optional>
#include <string>
#include <variant>

namespace cicadawind {

/// State of a session after a request.
enum class SessionPhase { Idle, InTransaction, FailedTransaction };

/// One row of a result.
struct RowMessage {
  std::string Text;
};

/// A request succeeded. \c Receipt proves that the target ran this request.
struct CompletedMessage {
  std::string Receipt;
};

/// A request failed.
struct ErrorMessage {
  ErrorCode Code = ErrorCode::Internal;
  std::string Text;
};

/// The target is ready for the next request.
struct ReadyMessage {
  SessionPhase Phase = SessionPhase::Idle;
  /// End of the log that the target has applied; not set if the target reports
  /// none.
  std::optional<LogPosition> Position;
};

/// A line that is not a message of the protocol.
struct InvalidMessage {};

/// Any message from a target.
using TargetMessage = std::variant<RowMessage, CompletedMessage, ErrorMessage,
                                   ReadyMessage, InvalidMessage>;

} // namespace cicadawind

#endif
