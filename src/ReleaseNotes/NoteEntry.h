#ifndef CICADAWIND_RELEASENOTES_NOTEENTRY_H
#define CICADAWIND_RELEASENOTES_NOTEENTRY_H

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace cicadawind {

/// What a release note does to a subject.
enum class NoteAction { Add, Change, Withdraw };

/// What a release note's entry is about.
enum class NoteKind { Database, Target, Vm, Limits };

/// Value of one field of an entry.
using NoteValue = std::variant<std::string, std::int64_t, bool>;

/// \class NoteEntry
/// \brief One table of a release note, with checked field names and types.
struct NoteEntry {
  NoteAction Action = NoteAction::Add;
  NoteKind Kind = NoteKind::Database;
  std::map<std::string, NoteValue> Fields;
  /// Line of the table in the submitted file.
  std::size_t Line = 0;

  /// Text of field \p Key, or empty.
  std::string text(const std::string &Key) const;

  /// Identity of the subject, such as "target/bodega-1/bodega-1-a". Two notes
  /// that name the same subject conflict.
  std::string subject() const;
};

} // namespace cicadawind

#endif
