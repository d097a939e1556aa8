#ifndef CICADAWIND_STATEMENTS_STATEMENTCODEC_H
#define CICADAWIND_STATEMENTS_STATEMENTCODEC_H

#include "Core/Error.h"
#include "Statements/CallerMessage.h"
#include "Statements/TargetMessage.h"
#include "Statements/TargetRequest.h"
#include "Statements/TargetStatus.h"

#include <optional>
#include <string>
#include <string_view>

namespace cicadawind {

/// \class StatementCodec
/// \brief Converts between protocol lines and typed messages, for callers and
/// for targets.
///
/// Decoders take a line without its terminator; encoders append whole lines to
/// \p Out. Implementations are stateless and thread safe. Each call is linear
/// in the length of its input.
class StatementCodec {
public:
  virtual ~StatementCodec() = default;

  /// Decodes a line that was received from a caller.
  virtual CallerMessage decodeCaller(std::string_view Line) const = 0;
  virtual void encodeRow(std::string &Out, std::string_view Row) const = 0;
  virtual void encodeCompleted(std::string &Out,
                               std::string_view Receipt) const = 0;
  virtual void encodeError(std::string &Out, ErrorCode Code,
                           std::string_view Text) const = 0;
  /// Encodes the end of a response. \p Position is only given if the recipient
  /// is another VM, which reads it as the log position of a target.
  virtual void encodeReady(std::string &Out, SessionPhase Phase,
                           std::optional<LogPosition> Position) const = 0;

  /// Decodes a line that was encoded for a target. A VM that relays a
  /// connection to a target uses this to read the requests of another VM.
  virtual TargetRequest decodeTargetRequest(std::string_view Line) const = 0;
  /// Decodes a line that was received from a target.
  virtual TargetMessage decodeTarget(std::string_view Line) const = 0;
  /// Encodes the request that opens a connection to the target \p Instance of
  /// \p Group for the statements of the client account \p Account; empty if
  /// they belong to none.
  virtual void encodeOpen(std::string &Out, std::string_view Group,
                          std::string_view Account,
                          std::string_view Instance) const = 0;
  /// Encodes a caller's read, write or commit. If \p MinPosition is given, the
  /// target must refuse the request unless it has applied the log up to that
  /// position.
  virtual void
  encodeStatement(std::string &Out, std::string_view Id, std::string_view Text,
                  std::optional<LogPosition> MinPosition) const = 0;
  /// Returns the text of a statement that executes the prepared statement
  /// \p Name with \p Arguments.
  virtual std::string executeText(std::string_view Name,
                                  std::string_view Arguments) const = 0;
  virtual void encodeBegin(std::string &Out, bool ReadOnly,
                           std::optional<LogPosition> MinPosition) const = 0;
  virtual void encodeRollback(std::string &Out) const = 0;
  virtual void encodeSetValue(std::string &Out, std::string_view Name,
                              std::string_view Value) const = 0;
  virtual void encodePrepare(std::string &Out, std::string_view Name,
                             bool Writes, std::string_view Template) const = 0;
  virtual void encodeReset(std::string &Out) const = 0;
  virtual void encodeStatusRequest(std::string &Out) const = 0;
  /// Encodes the request that turns a target into a replica if it is the
  /// primary of a term below \p Below.
  virtual void encodeDemote(std::string &Out, Term Below) const = 0;
  /// Encodes the request that makes a replica stop receiving the log of a
  /// primary of a term below \p NewTerm.
  virtual void encodePause(std::string &Out, Term NewTerm) const = 0;
  /// Encodes the request that makes a replica receive the log again.
  virtual void encodeResume(std::string &Out) const = 0;
  /// Decodes the row that a target returns for a status request; returns
  /// nothing if the row is malformed.
  virtual std::optional<TargetStatus>
  decodeStatus(std::string_view Row) const = 0;
};

} // namespace cicadawind

#endif
