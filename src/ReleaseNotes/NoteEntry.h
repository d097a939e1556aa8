#ifndef CICADAWIND_RELEASENOTES_NOTEENTRY_H
#define CICADAWIND_RELEASENOTES_NOTEENTRY_H

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace cicadawind {

/// Action of a release note's entry on its subject.
enum class NoteAction { Add, Change, Withdraw };

/// Kind of the subject of a release note's entry.
enum class NoteKind { Database, Target, Vm, Limits };

/// Value of a field of an entry.
using NoteValue = std::variant<std::string, std::int64_t, bool>;

/// \class NoteEntry
/// \brief One table of a release note, with checked field names and types.
struct NoteEntry {
  NoteAction Action = NoteAction::Add;
  NoteKind Kind = NoteKind::Database;
  std::map<std::string, NoteValue> Fields;
  /// Line of the table in the submitted file.
  std::size_t Line = 0;

  /// Returns the text of field \p Key; empty if the entry has no such text.
  std::string text(const std::string &Key) const;

  /// Returns the identity of the subject, such as "target/bodega-1/bodega-1-a".
  /// Two notes with entries for the same subject conflict.
  std::string subject() const;
};

} // namespace cicadawind

#endif
