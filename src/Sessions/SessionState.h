#ifndef CICADAWIND_SESSIONS_SESSIONSTATE_H
#define CICADAWIND_SESSIONS_SESSIONSTATE_H

#include "Sessions/SessionPosition.h"

#include <map>
#include <string>

namespace cicadawind {

/// \class SessionState
/// \brief Consistency state of one session.
///
/// Holds one position for each database that the session has used. Positions
/// only increase. The caller sends the state with each request and receives the
/// new state in the response, as a token of TokenCodec. The router keeps no
/// copy between requests. A value type.
class SessionState {
public:
  /// Maximum number of databases that one session may use.
  static constexpr std::size_t MaxDatabases = 64;

  const std::map<std::string, SessionPosition> &positions() const {
    return Positions;
  }

  /// Returns the position of \p Database; a zero position if the session has
  /// not used it.
  SessionPosition position(const std::string &Database) const;

  /// Returns whether \p Database may be added without exceeding MaxDatabases.
  bool hasRoomFor(const std::string &Database) const;

  /// Records that the session read or wrote \p Position.
  void observe(const std::string &Database, LogPosition Position);

  /// Records a write of unknown outcome. \p KeyHash is the hash of its
  /// idempotency key, or 0 without one.
  void markOutcomeUnknown(const std::string &Database, std::uint64_t KeyHash);

  /// Records that the outcome of the write with \p KeyHash is known now. Has no
  /// effect if \p KeyHash is 0 or belongs to another write.
  void resolveUnknown(const std::string &Database, std::uint64_t KeyHash);

  /// Replaces the position of \p Database. Used for decoding tokens.
  void set(const std::string &Database, SessionPosition Entry);

  bool operator==(const SessionState &) const = default;

private:
  std::map<std::string, SessionPosition> Positions;
};

/// Returns the hash of an idempotency key for SessionPosition; 0 only for an
/// empty key.
std::uint64_t hashKey(const std::string &IdempotencyKey);

} // namespace cicadawind

#endif
