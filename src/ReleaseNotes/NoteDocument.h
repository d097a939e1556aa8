#ifndef CICADAWIND_RELEASENOTES_NOTEDOCUMENT_H
#define CICADAWIND_RELEASENOTES_NOTEDOCUMENT_H

#include "Core/Result.h"

#include <cstdint>
#include <string>

namespace cicadawind {

/// \class NoteDocument
/// \brief An accepted release note as stored and passed between daemons.
///
/// Immutable once created under its number.
struct NoteDocument {
  std::uint64_t Number = 0;
  /// Unique text of the submission; tells whose create took effect when the
  /// store's answer was lost.
  std::string Submission;
  /// The note as submitted, TOML.
  std::string Text;

  bool operator==(const NoteDocument &) const = default;
};

/// JSON text of \p Document.
std::string encodeDocument(const NoteDocument &Document);

/// Inverse of encodeDocument; BadRequest on malformed text.
Result<NoteDocument> decodeDocument(const std::string &Text);

} // namespace cicadawind

#endif
