#ifndef CICADAWIND_CORE_LOGPOSITION_H
#define CICADAWIND_CORE_LOGPOSITION_H

#include <compare>
#include <cstdint>
#include <string>

namespace cicadawind {

/// Number of a primary's tenure; grows with every promotion.
using Term = std::uint64_t;

/// Index of an entry in a database's log; continues across terms.
using LogIndex = std::uint64_t;

/// \class LogPosition
/// \brief Point in a database's log: the term that wrote it and its index.
///
/// Ordered by term first, so that the greatest of several positions is the
/// most advanced log.
struct LogPosition {
  Term WrittenIn = 0;
  LogIndex Index = 0;

  // NOLINTNEXTLINE
  auto operator<=>(const LogPosition &) const = default;
};

/// "term.index".
std::string toString(LogPosition Position);

} // namespace cicadawind

#endif
