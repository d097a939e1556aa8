#ifndef CICADAWIND_LINKS_RELAYLINE_H
#define CICADAWIND_LINKS_RELAYLINE_H

#include "Core/Clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace cicadawind {

/// \class RelayLine
/// \brief The additions to a target's line protocol with which one VM asks
/// another to relay: one opening line, and two words before each request.
///
/// The opening line is "CARRY group instance". A request is "priority
/// milliseconds line", where milliseconds is the time that the request may wait
/// for a connection and line is the request as a target receives it. The line
/// that opens the session at the target follows the opening line without these
/// two words.
struct RelayLine {
  std::string Group;
  std::string Instance;
  unsigned Priority = 0;
  /// Time that the request may wait for a connection.
  Millis MaxWait = Millis::zero();
  /// The line as it is sent to a target.
  std::string_view Line;

  /// Returns the opening line, including its line end.
  static std::string openingFor(const std::string &Group,
                                const std::string &Instance);
  /// Returns the words that precede a request.
  static std::string prefixFor(unsigned Priority, Millis MaxWait);

  /// Parses an opening line and sets Group and Instance. Returns nothing if
  /// \p Text is no opening line.
  static std::optional<RelayLine> parseOpening(std::string_view Text);
  /// Parses a request and sets the other fields; Line refers to \p Text.
  /// Returns nothing if \p Text is malformed.
  static std::optional<RelayLine> parseRequest(std::string_view Text);
};

} // namespace cicadawind

#endif
