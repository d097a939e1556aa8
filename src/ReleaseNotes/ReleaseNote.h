#ifndef CICADAWIND_RELEASENOTES_RELEASENOTE_H
#define CICADAWIND_RELEASENOTES_RELEASENOTE_H

#include "Core/Result.h"
#include "ReleaseNotes/NoteEntry.h"
#include "ReleaseNotes/ServiceConfig.h"

#include <optional>
#include <string>
#include <vector>

namespace cicadawind {

/// \class ReleaseNote
/// \brief What operators submit: a list of what is added, changed and
/// withdrawn.
///
/// Written in TOML:
/// \code
///   author = "maria"
///   base = 12                 # optional: refuse if any later note exists
///   [[add.database]]
///   name = "bodega-1"
///   staleness_allowance_ms = 2000
///   [[withdraw.vm]]
///   name = "vm-3"
/// \endcode
struct ReleaseNote {
  /// Longest note, in bytes.
  static constexpr std::size_t MaxBytes = std::size_t{256} * 1024;

  std::string Author;
  std::optional<std::uint64_t> Base;
  std::vector<NoteEntry> Entries;

  /// Parses \p Text. The error lists every fault, one a line, as
  /// "origin:line: key: what".
  static Result<ReleaseNote> parse(const std::string &Text,
                                   const std::string &Origin);

  /// Configuration that results from applying this note to \p Config as
  /// number Config.Number + 1. Errors name the entry's line.
  Result<ServiceConfig> apply(ServiceConfig Config,
                              const std::string &Origin) const;

  /// First subject that both notes name; empty when they do not conflict.
  std::string conflictWith(const ReleaseNote &Other) const;
};

} // namespace cicadawind

#endif
