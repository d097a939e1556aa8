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
/// \brief A configuration change that an operator submits: lists the subjects
/// that are added, changed and withdrawn.
///
/// Written in TOML:
/// \code
///   author = "maria"
///   base = 12                 # optional; see Base
///   [[add.database]]
///   name = "bodega-1"
///   staleness_allowance_ms = 2000
///   [[withdraw.vm]]
///   name = "vm-3"
/// \endcode
struct ReleaseNote {
  /// Maximum length of a note, in bytes.
  static constexpr std::size_t MaxBytes = std::size_t{256} * 1024;

  std::string Author;
  /// Number of the note on which the change is based, if stated. The note is
  /// refused if a note after that number has an entry for the same subject.
  std::optional<std::uint64_t> Base;
  std::vector<NoteEntry> Entries;

  /// Parses \p Text. The error lists all validation errors, one on each line,
  /// as "origin:line: message".
  static Result<ReleaseNote> parse(const std::string &Text,
                                   const std::string &Origin);

  /// Returns the configuration that results from applying this note to
  /// \p Config, with the number Config.Number + 1. Errors contain the line of
  /// the entry.
  Result<ServiceConfig> apply(ServiceConfig Config,
                              const std::string &Origin) const;

  /// Returns the first subject for which both notes have entries; empty if they
  /// do not conflict.
  std::string conflictWith(const ReleaseNote &Other) const;
};

} // namespace cicadawind

#endif
