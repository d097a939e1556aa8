#ifndef CICADAWIND_RELEASENOTES_NOTESCHEMA_H
#define CICADAWIND_RELEASENOTES_NOTESCHEMA_H

#include "ReleaseNotes/NoteEntry.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace cicadawind {
namespace internal {

/// Type of a field's value.
enum class FieldType { Text, Number, Flag };

/// Rule for a field that an entry of some kind may have.
struct FieldRule {
  std::string_view Name;
  FieldType Type = FieldType::Text;
  /// Whether the field identifies the subject. It is then required for every
  /// action.
  bool Identity = false;
  /// Whether the field is required to add the subject.
  bool RequiredToAdd = false;
  /// Range of permitted numbers, both ends included.
  std::int64_t Min = 0;
  std::int64_t Max = 0;
};

/// Returns the rules for the fields of entries of kind \p Kind.
const std::vector<FieldRule> &fieldRules(NoteKind Kind);

} // namespace internal
} // namespace cicadawind

#endif
