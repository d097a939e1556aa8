#ifndef CICADAWIND_CORE_LOGPOSITION_H
#define CICADAWIND_CORE_LOGPOSITION_H

#include <compare>
#include <cstdint>
#include <string>

namespace cicadawind {

/// Number of a period in which at most one instance is primary. Increases with
/// every attempted promotion.
using Term = std::uint64_t;

/// Index of an entry in a database's log. Continues across terms.
using LogIndex = std::uint64_t;

/// \class LogPosition
/// \brief Position in a database's log: the term in which the entry was
/// written, and its index.
///
/// Positions are ordered by term and then by index. The greatest of several
/// positions is therefore the end of the most advanced log.
struct LogPosition {
  Term WrittenIn = 0;
  LogIndex Index = 0;

  // NOLINTNEXTLINE
  auto operator<=>(const LogPosition &) const = default;
};

/// Returns \p Position as "term.index".
std::string toString(LogPosition Position);

} // namespace cicadawind

#endif
