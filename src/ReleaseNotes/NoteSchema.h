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

/// One field that an entry of some kind may hold.
struct FieldRule {
  std::string_view Name;
  FieldType Type = FieldType::Text;
  /// Names the subject: needed for every action.
  bool Identity = false;
  /// Needed when the subject is added.
  bool NeededToAdd = false;
  /// Permitted range of a number.
  std::int64_t Min = 0;
  std::int64_t Max = 0;
};

/// Fields of entries of kind \p Kind.
const std::vector<FieldRule> &fieldRules(NoteKind Kind);

} // namespace internal
} // namespace cicadawind

#endif
