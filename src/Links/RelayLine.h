#ifndef CICADAWIND_LINKS_RELAYLINE_H
#define CICADAWIND_LINKS_RELAYLINE_H

#include "Core/Clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace cicadawind {

/// \class RelayLine
/// \brief The additions to a target's line protocol with which one VM asks
/// another to relay: one opening line, and words before each request.
///
/// The opening line is "CARRY group instance". A request is "priority
/// milliseconds line" or "priority milliseconds @account line", where
/// milliseconds is the time that the request may wait for a connection, account
/// is the client account that it belongs to, and line is the request as a
/// target receives it. The line that opens the session at the target follows
/// the opening line without these words.
struct RelayLine {
  std::string Group;
  std::string Instance;
  unsigned Priority = 0;
  /// Time that the request may wait for a connection.
  Millis MaxWait = Millis::zero();
  /// Empty if accounts are not told apart.
  std::string_view Account;
  /// The line as it is sent to a target.
  std::string_view Line;

  /// Returns the opening line, including its line end.
  static std::string openingFor(const std::string &Group,
                                const std::string &Instance);
  /// Returns the words that precede a request.
  static std::string prefixFor(unsigned Priority, Millis MaxWait,
                               std::string_view Account);

  /// Parses an opening line and sets Group and Instance. Returns nothing if
  /// \p Text is no opening line.
  static std::optional<RelayLine> parseOpening(std::string_view Text);
  /// Parses a request and sets the other fields; Account and Line refer to
  /// \p Text.
  /// Returns nothing if \p Text is malformed.
  static std::optional<RelayLine> parseRequest(std::string_view Text);
};

} // namespace cicadawind

#endif
